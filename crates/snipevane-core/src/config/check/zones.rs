//! Checks the availability zones and the planned maintenance.

use super::checker::{Checker, List};

impl Checker<'_> {
    /// Checks that there is at least one zone and that each zone has a region and shards.
    pub(super) fn check_zones(&mut self) {
        let manifest = self.manifest;
        if manifest.zones.is_empty() {
            let hint = "list each availability zone with its number of entry VMs";
            self.add_at("/zones".to_owned(), "there is no availability zone", hint);
        }
        for (position, zone) in manifest.zones.iter().enumerate() {
            if zone.region.is_empty() {
                let message = "the zone has no region";
                self.add(
                    List::Zones,
                    position,
                    "region",
                    message,
                    "set the zone's region",
                );
            }
            if zone.shards == 0 {
                let message = "the zone has no shards, so none of its entry VMs can serve requests";
                let hint = "set it to the number of the zone's entry VMs";
                self.add(List::Zones, position, "shards", message, hint);
            }
        }
    }

    /// Checks the settings of the planned maintenance, if the manifest has any.
    pub(super) fn check_maintenance(&mut self) {
        let Some(maintenance) = &self.manifest.maintenance else {
            return;
        };
        let members = [
            (
                "period_days",
                maintenance.period_days,
                "no VM can be maintained within the period",
            ),
            ("first_batch", maintenance.first_batch, "no wave starts"),
            (
                "failures_to_halt",
                maintenance.failures_to_halt,
                "every wave halts immediately",
            ),
        ];
        for (member, value, consequence) in members {
            if value == 0 {
                let message = format!("0 means that {consequence}");
                let pointer = format!("/maintenance/{member}");
                self.add_at(pointer, message, "set it to at least 1");
            }
        }
    }
}
