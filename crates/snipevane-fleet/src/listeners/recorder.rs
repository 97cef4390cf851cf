//! Records what the limits of listeners make happen.

use snipevane_listeners::{Incident, Observer};

use crate::{events, metrics};

/// Records incidents of listeners as events and metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recorder;

impl Observer for Recorder {
    fn record(&self, listener: &'static str, incident: &Incident) {
        metrics::record_listener_incident(listener, incident.name());
        match incident {
            Incident::AcceptFailed(error) => {
                events::record(&events::ACCEPT_FAILED, &[&listener, &error]);
            }
            Incident::BufferUnset(error) => {
                events::record(&events::BUFFER_UNSET, &[&listener, &error]);
            }
            Incident::ConnectionDisplaced
            | Incident::ConnectionRefused
            | Incident::BodyDisplaced
            | Incident::BodyRefused
            | Incident::BodyLate => {
                events::record(&events::CLIENT_CUT_OFF, &[&listener, &incident.name()]);
            }
        }
    }
}
