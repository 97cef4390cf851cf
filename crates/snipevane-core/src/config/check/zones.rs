//! Availability zones, and the planned maintenance.

use super::checker::{Checker, List};

impl Checker<'_> {
    /// Checks that there are zones and that each has shards.
    pub(super) fn check_zones(&mut self) {
        let manifest = self.manifest;
        if manifest.zones.is_empty() {
            let hint = "list each availability zone with its number of entry VMs";
            self.add_at("/zones".to_owned(), "there is no availability zone", hint);
        }
        for (position, zone) in manifest.zones.iter().enumerate() {
            if zone.region.is_empty() {
                let message = "the zone has no region";
                self.add(List::Zones, position, "region", message, "name its region");
            }
            if zone.shards == 0 {
                let message = "without shards no entry VM of the zone serves";
                let hint = "write the number of the zone's entry VMs";
                self.add(List::Zones, position, "shards", message, hint);
            }
        }
    }

    /// Checks the planned maintenance.
    pub(super) fn check_maintenance(&mut self) {
        let Some(maintenance) = &self.manifest.maintenance else {
            return;
        };
        let members = [
            ("period_days", maintenance.period_days, "no VM has time"),
            ("first_batch", maintenance.first_batch, "no wave starts"),
            (
                "failures_to_halt",
                maintenance.failures_to_halt,
                "every wave halts at once",
            ),
        ];
        for (member, value, consequence) in members {
            if value == 0 {
                let message = format!("0 means that {consequence}");
                let pointer = format!("/maintenance/{member}");
                self.add_at(pointer, message, "write at least 1");
            }
        }
    }
}
