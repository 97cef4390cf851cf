//! Connections on which the scheduler's holds go out.
//!
//! A connection doesn't outlive the incarnation that it leads to. A hold that acknowledges ends goes out only on one that
//! was opened early enough; on a younger one it goes out without its acknowledgement, as the daemon sends it.

use std::collections::BTreeMap;
use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::jobs::{Acknowledgement, Action, HoldReply};

use super::{JobSite, Outcome};

/// A connection to one incarnation of a minion.
#[derive(Clone, Copy)]
struct Connection {
    incarnation: u64,
    opened_at: Duration,
}

/// Open connections by minion.
#[derive(Default)]
pub(super) struct Connections {
    open: BTreeMap<SmolStr, Connection>,
}

impl JobSite {
    /// Returns an action as it goes out on the connection to its minion. A connection is opened if there is none, or if
    /// the last one led to another incarnation.
    pub(super) fn on_connection(&mut self, mut action: Action) -> Action {
        let Action::Hold(order) = &mut action else {
            return action;
        };
        let Some(minion) = self.minions.get(&order.to.id).filter(|minion| minion.up) else {
            return action;
        };
        let fresh = Connection {
            incarnation: minion.incarnation,
            opened_at: self.now,
        };
        let id = order.to.id.clone();
        let open = &mut self.connections.open;
        if self.closes_connections {
            open.remove(&id);
        }
        let connection = open.entry(id).or_insert(fresh);
        if connection.incarnation != fresh.incarnation {
            *connection = fresh;
        }
        order.ack = Acknowledgement {
            last_end: order.ack.on_connection(connection.opened_at),
            connected_before: order.ack.connected_before,
        };
        action
    }

    /// Closes the connection of a hold that isn't answered.
    pub(super) fn close_unanswered(&mut self, action: &Action, outcome: &Outcome) {
        if let (Action::Hold(order), Outcome::Hold(HoldReply::NoAnswer, _)) = (action, outcome) {
            self.connections.open.remove(&order.to.id);
        }
    }

    /// Returns the incarnation that alone an action may reach, as its connection leads to it; `None` if the action doesn't
    /// depend on its connection.
    pub(super) fn insists_on(&self, action: &Action) -> Option<u64> {
        let Action::Hold(order) = action else {
            return None;
        };
        let insists = order.ack.last_end > 0 && order.ack.connected_before.is_some();
        insists.then(|| self.minions[&order.to.id].incarnation)
    }

    /// Returns whether an action can reach its minion, given the incarnation that it insists on, if any.
    pub(super) fn is_reached(&self, action: &Action, insists_on: Option<u64>) -> bool {
        let Action::Hold(order) = action else {
            return true;
        };
        let incarnation = self.minions[&order.to.id].incarnation;
        insists_on.is_none_or(|sent_to| sent_to == incarnation)
    }
}
