//! Passes what happens at a gate on to the counts.

use std::sync::Arc;

use snipevane_listeners::{Incident, Observer};

use super::Incidents;

/// Counts the incidents of a gate.
#[derive(Clone, Debug)]
pub(crate) struct Counter(pub(super) Arc<Incidents>);

impl Observer for Counter {
    fn record(&self, listener: &'static str, incident: &Incident) {
        self.0.count(listener, incident);
    }
}
