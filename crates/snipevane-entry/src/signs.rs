//! What answers of backend servers say of the servers' state.

use snipevane_core::clock::Clock;
use snipevane_core::members::Sign;
use snipevane_proto::headers::SERVER_STATE;

use crate::backend::WholeResponse;
use crate::journal::kinds;
use crate::node::Node;

/// Value of the state header of a backend server that wants no new work.
const LEAVING: &[u8] = b"leaving";

impl<C: Clock> Node<C> {
    /// Takes note of what an answer says of the backend server's state.
    pub(crate) fn note_server_signs(&self, vm: &str, response: &WholeResponse) {
        let leaving = response
            .headers
            .get(SERVER_STATE)
            .is_some_and(|value| value.as_bytes() == LEAVING);
        let sign = match (leaving, response.closes) {
            (true, _) => Sign::LeavingHeader,
            (false, true) => Sign::CloseHeader,
            (false, false) => Sign::AnsweredWell,
        };
        let now = self.now();
        let mut state = self.state();
        state.members.on_sign(now, vm, sign);
        if leaving {
            state.router.set_leaving(vm, true);
            drop(state);
            self.record(&kinds::SERVER_LEAVING, &[&vm, &"header"]);
        }
    }
}
