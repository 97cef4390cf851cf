//! Free capacity that this entry VM reports to its peers, and corrections to what they reported.

use snipevane_proto::peer::Free;

use super::State;
use crate::peer::{RequestNeeds, free_count};
use crate::request::PreparedRequest;

impl State {
    /// Returns the teams with free units, with the number of units.
    pub(crate) fn free_units(&self) -> Vec<Free> {
        let teams = self.site.teams.iter();
        let counts = teams.map(|(key, team)| free_count(&team.name, self.limits.free(key)));
        counts.filter(|free| free.count > 0).collect()
    }

    /// Returns the services with more free slots than waiting requests, with the excess.
    pub(crate) fn free_slots(&self) -> Vec<Free> {
        let services = self.site.services.iter();
        let counts = services.map(|(key, service)| {
            let waiting = self.waiting.get(key).map_or(0, |queue| queue.len());
            let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
            free_count(
                &service.name,
                self.router.free_slots(key).saturating_sub(waiting),
            )
        });
        counts.filter(|free| free.count > 0).collect()
    }

    /// Records that a peer had no capacity for a request, contrary to its last report.
    pub(crate) fn record_no_capacity(&mut self, vm: &str, work: &PreparedRequest) {
        let team = work
            .needs_unit()
            .then_some(work.head.identity.name.as_str());
        let zone = self.zone.clone();
        let need = RequestNeeds {
            service: &work.head.service_name,
            team,
            zone: &zone,
        };
        self.peers.on_no_capacity(vm, need);
    }
}
