//! What answers of backend servers say of the servers' state.

use http::HeaderValue;
use snipevane_core::clock::Clock;
use snipevane_core::members::HealthSignal;
use snipevane_proto::headers::SERVER_STATE;

use crate::backend::WholeResponse;
use crate::journal::kinds;
use crate::node::Node;
use crate::state::ServerChange;

/// Value of the state header of a backend server that wants no new work.
const LEAVING: &[u8] = b"leaving";

impl<C: Clock> Node<C> {
    /// Takes note of what an answer says of the backend server's state.
    pub(crate) fn note_server_signs(&self, vm: &str, response: &WholeResponse) {
        let leaving = says_leaving(response.headers.get(SERVER_STATE));
        let sign = match (leaving, response.closes) {
            (true, _) => HealthSignal::LeavingHeader,
            (false, true) => HealthSignal::CloseHeader,
            (false, false) => HealthSignal::RequestAnswered,
        };
        self.note_sign(vm, sign);
    }

    /// Takes note of a sign of a backend server's state.
    pub(crate) fn note_sign(&self, vm: &str, sign: HealthSignal) {
        let change = self.state().on_server_sign(vm, sign, self.now());
        if let Some(change) = change {
            self.record_server_change(&change);
        }
    }

    /// Records a change of a backend server.
    pub(crate) fn record_server_change(&self, change: &ServerChange) {
        match change {
            ServerChange::Added { vm, service } => {
                self.record(&kinds::SERVER_ADDED, &[vm, service]);
            }
            ServerChange::Leaving { vm, sign } => self.record(&kinds::SERVER_LEAVING, &[vm, sign]),
            ServerChange::Gone { vm } => self.record(&kinds::SERVER_REMOVED, &[vm]),
        }
    }
}

/// Tells whether the state header of an answer says that the server wants no new work.
pub(crate) fn says_leaving(value: Option<&HeaderValue>) -> bool {
    value.is_some_and(|value| value.as_bytes() == LEAVING)
}
