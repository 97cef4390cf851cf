//! Counts what happens at the listeners' limits.

use parking_lot::Mutex;
use smol_str::{SmolStr, ToSmolStr};
use snipevane_listeners::Incident;
use std::collections::BTreeMap;

/// Name of the closing of a connection whose answer wasn't read.
const UNREAD_ANSWER: &str = "unread_answer";

/// Counts of incidents, by listener and kind.
#[derive(Debug, Default)]
pub(crate) struct Incidents(Mutex<BTreeMap<(&'static str, &'static str), Count>>);

#[derive(Clone, Debug, Default)]
struct Count {
    total: u64,
    reported: u64,
    last_reason: SmolStr,
}

/// Incidents of one kind at one listener.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct IncidentCount {
    /// Name of the listener.
    pub(crate) listener: &'static str,
    /// Name of the kind.
    pub(crate) kind: &'static str,
    /// Number of incidents.
    pub(crate) count: u64,
    /// Error that caused the last one; empty if no error did.
    pub(crate) reason: SmolStr,
}

impl Incidents {
    /// Counts an incident at a listener.
    pub(super) fn count(&self, listener: &'static str, incident: &Incident) {
        let mut counts = self.0.lock();
        let count = counts.entry((listener, incident.name())).or_default();
        count.total += 1;
        if let Incident::AcceptFailed(error) | Incident::BufferUnset(error) = incident {
            count.last_reason = error.to_smolstr();
        }
    }

    /// Counts connections that were closed because their answers weren't read.
    pub(crate) fn count_unread_answers(&self, listener: &'static str, connections: usize) {
        if connections == 0 {
            return;
        }
        let mut counts = self.0.lock();
        let count = counts.entry((listener, UNREAD_ANSWER)).or_default();
        count.total += connections as u64;
    }

    /// Returns all incidents since the start.
    pub(crate) fn totals(&self) -> Vec<IncidentCount> {
        let counts = self.0.lock();
        let counts = counts.iter();
        counts
            .map(|(key, count)| describe(*key, count, count.total))
            .collect()
    }

    /// Returns the incidents since the last call.
    pub(crate) fn take_new(&self) -> Vec<IncidentCount> {
        let mut counts = self.0.lock();
        let new = counts.iter_mut().filter_map(|(key, count)| {
            let new = count.total - count.reported;
            count.reported = count.total;
            (new > 0).then(|| describe(*key, count, new))
        });
        new.collect()
    }
}

fn describe(
    (listener, kind): (&'static str, &'static str),
    of: &Count,
    count: u64,
) -> IncidentCount {
    IncidentCount {
        listener,
        kind,
        count,
        reason: of.last_reason.clone(),
    }
}
