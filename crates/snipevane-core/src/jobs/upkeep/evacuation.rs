//! Evacuation of availability zones: at the operator's request, nothing new starts in a zone.
//!
//! What runs there ends by itself, since stopping it would only lose its work. Starts that a minion
//! hasn't confirmed are withdrawn, so that none of them is sent again after the request.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use crate::jobs::event::{LossReason, SchedulerEvent, StopReason};
use crate::jobs::model::keys::{MinionKey, RunKey};
use crate::jobs::model::run::RunPhase;
use crate::jobs::scheduler::Scheduler;

/// Availability zones in which nothing may start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuatedZones {
    zones: BTreeSet<SmolStr>,
}

impl EvacuatedZones {
    /// Adds a zone; returns whether it wasn't evacuated before.
    pub fn insert(&mut self, zone: SmolStr) -> bool {
        self.zones.insert(zone)
    }

    /// Removes a zone; returns whether it was evacuated.
    pub fn remove(&mut self, zone: &str) -> bool {
        self.zones.remove(zone)
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Returns the zones in alphabetical order.
    pub fn iter(&self) -> impl Iterator<Item = &SmolStr> {
        self.zones.iter()
    }

    /// Returns the number of zones.
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Returns whether no zone is evacuated.
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }
}

impl FromIterator<SmolStr> for EvacuatedZones {
    fn from_iter<I: IntoIterator<Item = SmolStr>>(zones: I) -> Self {
        Self {
            zones: zones.into_iter().collect(),
        }
    }
}

impl Scheduler {
    /// Sets the zones in which nothing may start, and reports those that were added or removed.
    pub fn set_evacuated_zones(&mut self, zones: &EvacuatedZones) {
        if self.evacuated == *zones {
            return;
        }
        let before = std::mem::replace(&mut self.evacuated, zones.clone());
        for zone in zones.iter().filter(|zone| !before.contains(zone)) {
            let in_zone = self.minions.values();
            let in_zone = in_zone.filter(|minion| minion.entry.zone == *zone);
            let (mut minions, mut runs) = (0, 0);
            for minion in in_zone {
                minions += 1;
                runs += minion.runs.len();
            }
            self.events.push(SchedulerEvent::ZoneEvacuated {
                zone: zone.clone(),
                minions,
                runs,
            });
        }
        for zone in before.iter().filter(|zone| !zones.contains(zone)) {
            self.events
                .push(SchedulerEvent::ZoneRestored { zone: zone.clone() });
        }
    }

    /// Sets whether the operator's requests are known to be up to date. While they aren't, nothing starts
    /// anywhere.
    pub fn set_evacuations_confirmed(&mut self, confirmed: bool) {
        if self.evacuations_confirmed != confirmed {
            self.evacuations_confirmed = confirmed;
            self.events
                .push(SchedulerEvent::PlacementPaused { paused: !confirmed });
        }
    }

    /// Returns whether a zone is evacuated.
    pub(in crate::jobs) fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuated.contains(zone)
    }

    /// Returns whether a minion's zone is evacuated.
    pub(in crate::jobs) fn is_in_evacuated_zone(&self, key: MinionKey) -> bool {
        let minion = self.minions.get(key);
        minion.is_some_and(|minion| self.is_evacuated(&minion.entry.zone))
    }

    /// Returns whether start orders may be sent to a minion.
    pub(in crate::jobs) fn may_send_start_to(&self, key: MinionKey) -> bool {
        self.evacuations_confirmed && !self.is_in_evacuated_zone(key)
    }

    /// Withdraws the runs in evacuated zones whose start isn't confirmed and of which no order is in flight.
    ///
    /// A run whose order was never sent is dropped; otherwise a stop order makes the minion reject an order
    /// that is still in transit.
    pub(in crate::jobs) fn withdraw_starts_in_evacuated_zones(&mut self) {
        if self.evacuated.is_empty() {
            return;
        }
        let withdrawn = self.pending_orders.iter().copied().filter(|&key| {
            self.runs.get(key).is_some_and(|run| {
                run.phase == RunPhase::Starting
                    && !run.transmissions.is_open()
                    && self.is_in_evacuated_zone(run.minion)
            })
        });
        let withdrawn: Vec<RunKey> = withdrawn.collect();
        for key in withdrawn {
            if self.runs[key].starts_sent == 0 {
                self.mark_run_lost(key, LossReason::ZoneEvacuated);
            } else {
                self.stop_run(key, StopReason::ZoneEvacuated);
            }
        }
    }
}
