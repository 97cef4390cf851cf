//! Health signals of backend servers, taken from their responses.

use http::HeaderValue;
use snipevane_core::clock::Clock;
use snipevane_core::members::HealthSignal;
use snipevane_proto::headers::SERVER_STATE;

use crate::backend::BufferedResponse;
use crate::journal::kinds;
use crate::node::Node;
use crate::state::ServerChange;

/// Value of the state header of a backend server that accepts no new requests.
const LEAVING: &[u8] = b"leaving";

impl<C: Clock> Node<C> {
    /// Reports the health signal that a response of a backend server carries.
    pub(crate) fn report_response_signal(&self, vm: &str, response: &BufferedResponse) {
        let leaving = announces_leaving(response.headers.get(SERVER_STATE));
        let signal = match (leaving, response.closes) {
            (true, _) => HealthSignal::LeavingHeader,
            (false, true) => HealthSignal::CloseHeader,
            (false, false) => HealthSignal::RequestAnswered,
        };
        self.report_health_signal(vm, signal);
    }

    /// Updates the state of a backend server from a health signal and logs a resulting change.
    pub(crate) fn report_health_signal(&self, vm: &str, signal: HealthSignal) {
        let change = self.state().on_health_signal(vm, signal, self.now());
        if let Some(change) = change {
            self.record_server_change(&change);
        }
    }

    /// Logs a change of a backend server.
    pub(crate) fn record_server_change(&self, change: &ServerChange) {
        match change {
            ServerChange::Added { vm, service } => {
                self.record(&kinds::SERVER_ADDED, &[vm, service]);
            }
            ServerChange::Leaving { vm, signal } => {
                self.record(&kinds::SERVER_LEAVING, &[vm, signal])
            }
            ServerChange::Gone { vm } => self.record(&kinds::SERVER_REMOVED, &[vm]),
        }
    }
}

/// Returns whether the state header of a response says that the server accepts no new requests.
pub(crate) fn announces_leaving(value: Option<&HeaderValue>) -> bool {
    value.is_some_and(|value| value.as_bytes() == LEAVING)
}
