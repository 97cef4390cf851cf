//! Availability budgets: how many of a pool's VMs may be out of service at once.

use std::collections::BTreeMap;

use crate::ids::{ServiceKey, ZoneKey};

const PERCENT: u32 = 100;

/// Number of a rack, unique over all zones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RackId(pub u32);

/// Failure domains of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Availability zone.
    pub zone: ZoneKey,
    /// Rack.
    pub rack: RackId,
}

/// Budget of one service of the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceBudget {
    /// Service.
    pub service: ServiceKey,
    /// Largest part of the pool's VMs, in percent, that may be out of service at once.
    pub max_unavailable_percent: u8,
}

/// How far an operation would go over a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetViolation {
    /// Service whose budget doesn't allow the operation.
    pub service: ServiceKey,
    /// Zone whose part of the budget doesn't allow it; `None` for the whole pool.
    pub zone: Option<ZoneKey>,
    /// VMs that are out of service now.
    pub unavailable: u32,
    /// VMs that planned work may take out of service.
    pub max_unavailable: u32,
    /// VMs by which the operation would go over.
    pub excess: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Count {
    total: u32,
    unavailable: u32,
}

/// Counts a pool's VMs by zone and rack and decides whether one more may leave service.
///
/// Planned and unplanned causes count alike. Planned work leaves a reserve, so that the budget
/// still holds when the largest rack of the pool fails, as far as the budget is large enough; it
/// always leaves room for one VM.
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

    /// Adds a VM of the pool.
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

    /// Counts a VM of the pool as out of service.
    pub fn mark_unavailable(&mut self, place: Place) {
        self.pool.unavailable += 1;
        if let Some(zone) = self.zones.get_mut(&place.zone) {
            zone.unavailable += 1;
        }
    }

    /// Counts a VM of the pool as in service again.
    pub fn mark_available(&mut self, place: Place) {
        self.pool.unavailable = self.pool.unavailable.saturating_sub(1);
        if let Some(zone) = self.zones.get_mut(&place.zone) {
            zone.unavailable = zone.unavailable.saturating_sub(1);
        }
    }

    /// Returns the number of VMs of the pool.
    pub fn total(&self) -> u32 {
        self.pool.total
    }

    /// Returns the number of VMs that are out of service.
    pub fn unavailable(&self) -> u32 {
        self.pool.unavailable
    }

    /// Returns by how many VMs the strictest budget is broken now, 0 if it holds.
    pub fn excess(&self) -> u32 {
        let max_unavailable = self
            .strictest()
            .map(|service| self.max_unavailable(service));
        max_unavailable.map_or(0, |max_unavailable| {
            self.pool.unavailable.saturating_sub(max_unavailable)
        })
    }

    /// Returns how many VMs planned work may have out of service, failed ones included.
    pub fn max_planned_unavailable(&self) -> u32 {
        match self.strictest() {
            Some(service) => self.subtract_reserve(self.max_unavailable(service)),
            None => self.pool.total,
        }
    }

    /// Returns whether one more VM at `place` may leave service.
    ///
    /// # Errors
    ///
    /// Returns the service and the number of VMs by which its budget would be passed.
    pub fn admit(&self, place: Place) -> Result<(), BudgetViolation> {
        let Some(strictest) = self.strictest() else {
            return Ok(());
        };
        let max_unavailable = self.subtract_reserve(self.max_unavailable(strictest));
        let violation = |zone, unavailable: u32, max_unavailable: u32| BudgetViolation {
            service: strictest.service,
            zone,
            unavailable,
            max_unavailable,
            excess: (unavailable + 1).saturating_sub(max_unavailable),
        };
        if self.pool.unavailable + 1 > max_unavailable {
            return Err(violation(None, self.pool.unavailable, max_unavailable));
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
