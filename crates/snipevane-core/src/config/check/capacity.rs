//! Limits beside what the shares promise of the fleet's slots.

use snipevane_proto::manifest::Service;

use super::checker::{Checker, List};

impl Checker<'_> {
    /// Checks that no limit is below the part of the fleet's slots that the team's share promises.
    pub(super) fn check_capacity(&mut self) {
        // With a value that can't be read, the sums would be wrong.
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
            // A limit of 0 has a finding of its own.
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

    fn service_slots(&self, service: &Service) -> u64 {
        let vms = self
            .pools
            .get(service.pool.as_str())
            .map_or(0, |pool| pool.item.vms.len());
        u64::from(service.slots).saturating_mul(u64::try_from(vms).unwrap_or(u64::MAX))
    }
}
