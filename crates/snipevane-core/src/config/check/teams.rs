//! Checks the teams.

use super::checker::{Checker, List};

impl Checker<'_> {
    /// Checks each team's customer, share and limit.
    pub(super) fn check_teams(&mut self) {
        let manifest = self.manifest;
        for (position, team) in manifest.teams.iter().enumerate() {
            if team.customer.is_empty() {
                let message = "the team has no customer";
                self.add(
                    List::Teams,
                    position,
                    "customer",
                    message,
                    "set the team's customer",
                );
            }
            let consequence = "the team gets no capacity when the fleet is full";
            self.require_positive(List::Teams, position, "share", team.share, consequence);
            let consequence = "the team can run nothing";
            self.require_positive(List::Teams, position, "limit", team.limit, consequence);
        }
    }
}
