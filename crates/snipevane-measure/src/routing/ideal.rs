//! Ideal routing, the bound for every strategy: one queue per service with knowledge of all slots.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::MAX_WAIT;
use super::demand::Request;
use super::layout::{SERVERS_PER_SERVICE, SERVICES, SLOTS, service_of};
use super::record::{Figures, Record};
use super::scenario::Scenario;
use crate::MeasureError;

const NAME: &str = "ideal";

/// Runs all requests in order of arrival, each on the slot that becomes free first.
///
/// The slots of a failing server aren't used. The loss of an entry VM and network delays aren't
/// simulated.
pub(super) fn run(scenario: &Scenario, requests: &[Request]) -> Result<Figures, MeasureError> {
    let mut record = Record::new()?;
    let mut slots: Vec<BinaryHeap<Reverse<Duration>>> = (0..SERVICES)
        .map(|service| {
            let failing = scenario.failing_server.map(service_of) == Some(service);
            let servers = SERVERS_PER_SERVICE - usize::from(failing);
            let count = servers * usize::from(SLOTS);
            (0..count).map(|_| Reverse(Duration::ZERO)).collect()
        })
        .collect();
    for request in requests {
        record.arrived();
        let Some(Reverse(free_at)) = slots[request.service].pop() else {
            continue;
        };
        let start = free_at.max(request.at);
        if start > request.at + MAX_WAIT {
            record.refused(1);
            slots[request.service].push(Reverse(free_at));
            continue;
        }
        let end = start + request.run_time;
        record.answered(end - request.at);
        slots[request.service].push(Reverse(end));
    }
    Ok(record.figures(scenario.name, NAME, 1))
}
