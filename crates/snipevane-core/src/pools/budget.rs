//! Availability budgets: how many of a pool's VMs may be unavailable at once.

use std::collections::BTreeMap;

use crate::ids::{ServiceKey, ZoneKey};

const PERCENT: u32 = 100;

/// Rack number, unique across all zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RackId(pub u32);

/// Failure domains of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Availability zone.
    pub zone: ZoneKey,
    /// Rack within the zone.
    pub rack: RackId,
}

/// Availability budget of one service that the pool hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceBudget {
    /// Service that the budget protects.
    pub service: ServiceKey,
    /// Largest share of the pool's VMs, in percent, that may be unavailable at once.
    pub max_unavailable_percent: u8,
}

/// How an operation would exceed an availability budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetViolation {
    /// Service whose budget doesn't allow the operation.
    pub service: ServiceKey,
    /// Zone in which the budget would be exceeded; `None` for the pool as a whole.
    pub zone: Option<ZoneKey>,
    /// VMs that are unavailable now, in the zone or in the pool.
    pub unavailable: u32,
    /// Largest number of unavailable VMs, failed ones included, that planned work may cause: for
    /// the pool, the budget less the reserve for a rack failure; for a zone, the budget alone, but
    /// at least 1.
    pub max_unavailable: u32,
    /// Number of VMs by which the operation would exceed the budget.
    pub excess: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    total: u32,
    unavailable: u32,
}

/// Counts a pool's VMs by zone and rack and decides whether one more may become unavailable.
///
/// Planned and unplanned unavailability count alike. Planned work leaves a reserve so that the
/// budget still holds if the pool's largest rack fails. If the budget is too small for that, the
/// reserve is reduced so that it leaves one VM of the budget to planned work.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    services: Vec<ServiceBudget>,
    pool: Count,
    zones: BTreeMap<ZoneKey, Count>,
    racks: BTreeMap<RackId, u32>,
    largest_rack: u32,
}

impl Budget {
    /// Creates the budget of a pool without VMs.
    pub fn new(services: Vec<ServiceBudget>) -> Self {
        Self {
            services,
            ..Self::default()
        }
    }

    /// Adds a VM to the pool.
    pub fn add(&mut self, place: Place, available: bool) {
        self.pool.total += 1;
        self.zones.entry(place.zone).or_default().total += 1;
        let rack = self.racks.entry(place.rack).or_default();
        *rack += 1;
        self.largest_rack = self.largest_rack.max(*rack);
        if !available {
            self.mark_unavailable(place);
        }
    }

    /// Counts a VM of the pool as unavailable.
    pub fn mark_unavailable(&mut self, place: Place) {
        self.pool.unavailable += 1;
        if let Some(zone) = self.zones.get_mut(&place.zone) {
            zone.unavailable += 1;
        }
    }

    /// Counts a VM of the pool as available again.
    pub fn mark_available(&mut self, place: Place) {
        self.pool.unavailable = self.pool.unavailable.saturating_sub(1);
        if let Some(zone) = self.zones.get_mut(&place.zone) {
            zone.unavailable = zone.unavailable.saturating_sub(1);
        }
    }

    /// Returns the number of VMs in the pool.
    pub fn total(&self) -> u32 {
        self.pool.total
    }

    /// Returns the number of unavailable VMs.
    pub fn unavailable(&self) -> u32 {
        self.pool.unavailable
    }

    /// Returns by how many VMs the strictest budget is exceeded now, 0 if it holds.
    pub fn excess(&self) -> u32 {
        let max_unavailable = self
            .strictest()
            .map(|service| self.max_unavailable(service));
        max_unavailable.map_or(0, |max_unavailable| {
            self.pool.unavailable.saturating_sub(max_unavailable)
        })
    }

    /// Returns the number of unavailable VMs, failed ones included, up to which planned work may
    /// take VMs out of service.
    pub fn max_planned_unavailable(&self) -> u32 {
        match self.strictest() {
            Some(service) => self.subtract_reserve(self.max_unavailable(service)),
            None => self.pool.total,
        }
    }

    /// Checks whether planned work may make one more VM at `place` unavailable.
    ///
    /// # Errors
    ///
    /// Returns the service and the number of VMs by which its budget would be exceeded.
    pub fn admit(&self, place: Place) -> Result<(), BudgetViolation> {
        let Some(strictest) = self.strictest() else {
            return Ok(());
        };
        let max_planned_unavailable = self.subtract_reserve(self.max_unavailable(strictest));
        let violation = |zone, unavailable: u32, max_unavailable: u32| BudgetViolation {
            service: strictest.service,
            zone,
            unavailable,
            max_unavailable,
            excess: (unavailable + 1).saturating_sub(max_unavailable),
        };
        if self.pool.unavailable + 1 > max_planned_unavailable {
            return Err(violation(
                None,
                self.pool.unavailable,
                max_planned_unavailable,
            ));
        }
        let zone = self.zones.get(&place.zone).copied().unwrap_or_default();
        let max_unavailable_in_zone =
            percent_of(zone.total, strictest.max_unavailable_percent).max(1);
        if zone.unavailable + 1 > max_unavailable_in_zone {
            return Err(violation(
                Some(place.zone),
                zone.unavailable,
                max_unavailable_in_zone,
            ));
        }
        Ok(())
    }

    fn strictest(&self) -> Option<ServiceBudget> {
        let strictest = self
            .services
            .iter()
            .min_by_key(|service| service.max_unavailable_percent);
        strictest.copied()
    }

    fn max_unavailable(&self, service: ServiceBudget) -> u32 {
        percent_of(self.pool.total, service.max_unavailable_percent)
    }

    fn subtract_reserve(&self, max_unavailable: u32) -> u32 {
        let reserve = self.largest_rack.min(max_unavailable.saturating_sub(1));
        max_unavailable - reserve
    }
}

fn percent_of(total: u32, percent: u8) -> u32 {
    total * u32::from(percent).min(PERCENT) / PERCENT
}
