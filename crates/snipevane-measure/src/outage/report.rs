//! What the platform saw of the writes.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;
use snipevane_platform::Importance;

use super::OutageSettings;
use super::demand::DueRow;

/// Writes of one second.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    attempts: u32,
    applied: u32,
}

/// Collects what the platform sees.
pub(super) struct Log {
    start: Instant,
    down: OutageSeconds,
    rows: usize,
    seconds: Vec<Second>,
    /// When each row that isn't written yet was submitted first.
    unwritten: HashMap<SmolStr, Instant>,
    written_since: HashSet<SmolStr>,
    caught_up: Option<Duration>,
    longest_essential: Duration,
}

/// Start and end of the outage, in whole seconds since the start.
#[derive(Clone, Copy, Debug)]
struct OutageSeconds {
    from: usize,
    until: usize,
}

/// Writes that the platform saw, in commits a second.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct OutageReport {
    /// How the nodes wrote.
    pub policy: &'static str,
    /// Mean of the commits sent before the outage.
    pub before_mean: f64,
    /// Mean of the commits sent during the outage.
    pub outage_mean: f64,
    /// Most commits sent in a second of the outage, its first one left out.
    pub outage_peak: u32,
    /// Most commits sent in a second after the outage.
    pub after_peak: u32,
    /// Commits refused over the platform's rate after the outage.
    pub after_refused: u32,
    /// Seconds from the end of the outage until every row was written again.
    pub caught_up_s: Option<f64>,
    /// Longest wait of an essential row from the end of the outage on, in seconds.
    pub longest_essential_s: f64,
}

impl Log {
    pub(super) fn new(settings: &OutageSettings, start: Instant) -> Self {
        let from = settings.before.as_secs() as usize;
        let until = from + settings.outage.as_secs() as usize;
        let total = until + settings.after.as_secs() as usize;
        Self {
            start,
            down: OutageSeconds { from, until },
            rows: settings.nodes * (settings.bookkeeping_rows + 1),
            seconds: vec![Second::default(); total + 1],
            unwritten: HashMap::new(),
            written_since: HashSet::new(),
            caught_up: None,
            longest_essential: Duration::ZERO,
        }
    }

    /// Counts a commit that reached the platform.
    pub(super) fn attempt(&mut self, now: Instant, applied: bool) {
        let second = &mut self.seconds[(now - self.start).as_secs() as usize];
        second.attempts += 1;
        second.applied += u32::from(applied);
    }

    /// Takes in a row that a node has to write.
    pub(super) fn submitted(&mut self, row: &DueRow, now: Instant) {
        self.unwritten.entry(row.key.clone()).or_insert(now);
    }

    /// Takes in a row that was written.
    pub(super) fn written(&mut self, row: &DueRow, now: Instant) {
        let submitted = self.unwritten.remove(&row.key);
        let back = self.start + Duration::from_secs(self.down.until as u64);
        let Some(since) = now.checked_duration_since(back) else {
            return;
        };
        if row.importance == Importance::Essential
            && let Some(submitted) = submitted
        {
            let wait = now - submitted.max(back);
            self.longest_essential = self.longest_essential.max(wait);
        }
        self.written_since.insert(row.key.clone());
        if self.caught_up.is_none() && self.written_since.len() == self.rows {
            self.caught_up = Some(since);
        }
    }

    pub(super) fn report(self, policy: &'static str) -> OutageReport {
        let OutageSeconds { from, until } = self.down;
        let before = &self.seconds[..from];
        let outage = &self.seconds[from..until];
        let after = &self.seconds[until..];
        let refused = after.iter().map(|second| second.attempts - second.applied);
        OutageReport {
            policy,
            before_mean: mean(before),
            outage_mean: mean(outage),
            outage_peak: peak(outage.get(1..).unwrap_or_default()),
            after_peak: peak(after),
            after_refused: refused.sum(),
            caught_up_s: self.caught_up.map(|time| time.as_secs_f64()),
            longest_essential_s: self.longest_essential.as_secs_f64(),
        }
    }
}

impl fmt::Display for OutageReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.policy)?;
        writeln!(f, "  commits/s before, mean        {:.1}", self.before_mean)?;
        writeln!(f, "  commits/s in outage, mean     {:.1}", self.outage_mean)?;
        writeln!(f, "  commits/s in outage, most     {}", self.outage_peak)?;
        writeln!(f, "  commits/s after, most         {}", self.after_peak)?;
        writeln!(f, "  commits refused after         {}", self.after_refused)?;
        match self.caught_up_s {
            Some(seconds) => writeln!(f, "  all rows written again after  {seconds:.1} s")?,
            None => writeln!(f, "  all rows written again after  never")?,
        }
        let longest = self.longest_essential_s;
        write!(f, "  longest wait, essential       {longest:.1} s")
    }
}

fn mean(seconds: &[Second]) -> f64 {
    let attempts: u32 = seconds.iter().map(|second| second.attempts).sum();
    f64::from(attempts) / seconds.len().max(1) as f64
}

fn peak(seconds: &[Second]) -> u32 {
    let attempts = seconds.iter().map(|second| second.attempts);
    attempts.max().unwrap_or_default()
}
