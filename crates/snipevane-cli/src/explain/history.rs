//! History of one job or task in causal order, together with site-wide events of the same period.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};

use serde::Serialize;
use snipevane_core::events::EventKind;
use snipevane_fleet::events;

use super::line::LogLine;

/// Time before the first and after the last log line of a job from which events of the site are
/// also shown, in milliseconds.
const CONTEXT_MS: u64 = 2_000;

/// Events that affect all jobs active at the time.
const GLOBAL_EVENTS: [&EventKind; 13] = [
    &events::PROCESS_STARTED,
    &events::STOPPING,
    &events::CONFIG_IN_FORCE,
    &events::STORE_LOST,
    &events::STORE_REGAINED,
    &events::ADVISOR_LOST,
    &events::ADVISOR_REGAINED,
    &events::VM_LIST_LOST,
    &events::VM_LIST_REGAINED,
    &events::SCHEDULER_LOST,
    &events::TERM_WON,
    &events::TERM_ENDED,
    &events::JOBS_ADOPTED,
];

/// Minion events, which affect a job only if one of its runs was on that minion.
const MINION_EVENTS: [&EventKind; 4] = [
    &events::MINION_LOST,
    &events::MINION_REGAINED,
    &events::MINION_SLOW,
    &events::MINION_FAILING,
];

/// Information that is missing from the logs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "gap")]
pub enum Gap {
    /// The logger of a process dropped lines of an event kind.
    LinesDropped {
        /// VM of the process.
        node: String,
        /// Number of the event's kind.
        event: u64,
        /// Number of dropped lines.
        lines: u64,
    },
    /// A process held an earlier term, but the logs contain none of its lines.
    NoLog {
        /// VM of the process.
        node: String,
    },
    /// No line shows how the job was submitted.
    NoBeginning,
    /// No line shows how the job ended.
    NoEnd,
}

/// History of a job, step or task.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct History {
    /// Identifier of the job, step or task.
    pub id: String,
    /// Log lines in causal order.
    pub lines: Vec<LogLine>,
    /// Information that is missing from the logs.
    pub gaps: Vec<Gap>,
}

impl History {
    /// Collects the history of a job, step or task. Returns `None` if no line concerns it.
    pub(super) fn collect(id: &str, all: &[LogLine]) -> Option<Self> {
        let own: Vec<&LogLine> = all.iter().filter(|line| line.concerns(id)).collect();
        let from = own.iter().map(|line| line.unix_ms).min()?;
        let to = own.iter().map(|line| line.unix_ms).max()?;
        let span = from.saturating_sub(CONTEXT_MS)..=to + CONTEXT_MS;
        let minions: BTreeSet<String> =
            own.iter().filter_map(|line| line.field("minion")).collect();
        let context = all.iter().filter(|line| {
            let on_minion = line
                .field("minion")
                .is_some_and(|minion| minions.contains(&minion));
            let is_relevant =
                is_any(line, &GLOBAL_EVENTS) || (is_any(line, &MINION_EVENTS) && on_minion);
            span.contains(&line.unix_ms) && is_relevant && !line.concerns(id)
        });
        let mut lines: Vec<LogLine> = context.chain(own.iter().copied()).cloned().collect();
        sort_causally(&mut lines);
        let in_span: Vec<&LogLine> = all
            .iter()
            .filter(|line| span.contains(&line.unix_ms))
            .collect();
        let gaps = gaps(&own, &in_span, all);
        Some(Self {
            id: id.to_owned(),
            lines,
            gaps,
        })
    }
}

/// Sorts lines by time, but puts those of a later term after all those of earlier terms, since the
/// clocks of VMs differ.
fn sort_causally(lines: &mut [LogLine]) {
    lines.sort_by_key(|line| line.unix_ms);
    let mut latest_of_term: BTreeMap<u64, u64> = BTreeMap::new();
    for line in lines.iter() {
        if let Some(term) = line.number("fence") {
            let latest = latest_of_term.entry(term).or_default();
            *latest = (*latest).max(line.unix_ms);
        }
    }
    let after_earlier_terms = |line: &LogLine| {
        let term = line.number("fence").unwrap_or(0);
        let earlier = latest_of_term.range(..term).map(|(_, latest)| *latest);
        earlier.max().unwrap_or(0).max(line.unix_ms)
    };
    lines.sort_by_cached_key(|line| (after_earlier_terms(line), line.number("fence")));
}

fn gaps(own: &[&LogLine], in_span: &[&LogLine], all: &[LogLine]) -> Vec<Gap> {
    let mut gaps = Vec::new();
    for line in in_span
        .iter()
        .filter(|line| is(line, &events::LINES_DROPPED))
    {
        gaps.push(Gap::LinesDropped {
            node: line.node.clone(),
            event: line.number("of_event").unwrap_or(0),
            lines: line.number("lines").unwrap_or(0),
        });
    }
    let logged: BTreeSet<&str> = all.iter().map(|line| line.node.as_str()).collect();
    // The field `after` names the holder of the previous term.
    let terms_won = in_span.iter().filter(|line| is(line, &events::TERM_WON));
    let previous_holders: BTreeSet<String> =
        terms_won.filter_map(|line| line.field("after")).collect();
    for node in previous_holders {
        if node != "none" && !logged.contains(node.as_str()) {
            gaps.push(Gap::NoLog { node });
        }
    }
    let start_events = [
        &events::JOB_ACCEPTED,
        &events::JOB_ENQUEUED,
        &events::REQUEST_REFUSED,
    ];
    if !own.iter().any(|line| is_any(line, &start_events)) {
        gaps.push(Gap::NoBeginning);
    }
    let end_events = [&events::JOB_ENDED, &events::REQUEST_REFUSED];
    if !own.iter().any(|line| is_any(line, &end_events)) {
        gaps.push(Gap::NoEnd);
    }
    gaps
}

fn is(line: &LogLine, kind: &EventKind) -> bool {
    line.event == Some(kind.number)
}

fn is_any(line: &LogLine, kinds: &[&EventKind]) -> bool {
    kinds.iter().any(|kind| is(line, kind))
}

impl Display for History {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let start = self.lines.first().map_or(0, |line| line.unix_ms);
        writeln!(f, "{}, from {start} ms", self.id)?;
        for line in &self.lines {
            let after = line.unix_ms as f64 / 1_000.0 - start as f64 / 1_000.0;
            let number = line
                .event
                .map_or_else(String::new, |number| format!("SV{number} "));
            write!(f, "{after:>9.3} s  {:<14} {number}{}", line.node, line.text)?;
            for name in line.fields.keys().filter(|name| *name != "level") {
                write!(f, " {name}={}", line.field(name).unwrap_or_default())?;
            }
            writeln!(f)?;
        }
        for gap in &self.gaps {
            writeln!(f, "missing: {gap}")?;
        }
        Ok(())
    }
}

impl Display for Gap {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::LinesDropped { node, event, lines } => {
                write!(f, "{lines} lines of SV{event} of {node} were left out")
            }
            Self::NoLog { node } => write!(f, "the log of {node}"),
            Self::NoBeginning => f.write_str("how it was submitted"),
            Self::NoEnd => f.write_str("how it ended"),
        }
    }
}
