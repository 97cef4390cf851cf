//! Checks the teams' limits against the slots that their shares guarantee them.

use snipevane_proto::manifest::Service;

use super::checker::{Checker, List};

impl Checker<'_> {
    /// Checks that no team's limit is below the number of slots that its share guarantees it.
    ///
    /// A team's share guarantees it `share / total_shares` of all slots of the fleet.
    pub(super) fn check_capacity(&mut self) {
        // A placeholder for an invalid value would make both sums wrong.
        if !self.repaired.is_empty() {
            return;
        }
        let manifest = self.manifest;
        let total_slots: u64 = manifest
            .services
            .iter()
            .map(|service| self.service_slots(service))
            .sum();
        let total_shares: u64 = manifest
            .teams
            .iter()
            .map(|team| u64::from(team.share))
            .sum();
        for (position, team) in manifest.teams.iter().enumerate() {
            let guaranteed =
                u128::from(total_slots) * u128::from(team.share) / u128::from(total_shares.max(1));
            // A limit of 0 is reported by `check_teams`.
            if team.limit == 0 || u128::from(team.limit) >= guaranteed {
                continue;
            }
            let message = format!(
                "{} is below the share's floor of {guaranteed}, {} of {total_shares} shares of {total_slots} slots",
                team.limit, team.share
            );
            let hint = "raise the limit or lower the share";
            self.add(List::Teams, position, "limit", message, hint);
        }
    }

    /// Returns the slots of all backend servers of a service.
    fn service_slots(&self, service: &Service) -> u64 {
        let vms = self
            .pools
            .get(service.pool.as_str())
            .map_or(0, |pool| pool.item.vms.len());
        u64::from(service.slots).saturating_mul(u64::try_from(vms).unwrap_or(u64::MAX))
    }
}
