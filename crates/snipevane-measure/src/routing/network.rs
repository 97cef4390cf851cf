//! Events and messages of a simulation with owned slots, and the network delays.

use std::time::Duration;

use snipevane_core::routing::{Load, Slot};

use super::entry_vm::RoutedRequest;
use super::layout::{network_delay, zone_of_entry_vm, zone_of_server};
use crate::event_queue::EventQueue;

/// A request that occupies a slot of an entry VM.
pub(super) struct Exchange {
    pub(super) entry_vm: usize,
    pub(super) slot: Slot,
    pub(super) routed: RoutedRequest,
}

/// A slot request or load report of an entry VM to a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadMessage {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) service: usize,
    pub(super) load: Load,
}

/// Event of a simulation.
pub(super) enum Event {
    /// A request arrives from the load balancer.
    Arrive(usize),
    /// A forwarded request arrives at a peer.
    Forwarded { to: usize, routed: RoutedRequest },
    /// A peer's response that it declined a forwarded request arrives.
    Declined {
        by: usize,
        routed: RoutedRequest,
        load: Load,
    },
    /// A slot request arrives.
    SlotRequest(LoadMessage),
    /// A load report arrives.
    LoadReport(LoadMessage),
    /// A request arrives at its backend server.
    Start(Exchange),
    /// A request ends on its backend server.
    End(Exchange),
    /// A response arrives at the entry VM that sent the request.
    Response(Exchange),
    /// An entry VM's periodic load report is due.
    LoadReportTick(usize),
    /// Requests whose maximum wait has passed are removed from the queues.
    ExpiryTick,
    /// A peer takes over the slots of a lost entry VM.
    Takeover(usize),
}

/// Events that are due later, and the simulated time.
#[derive(Default)]
pub(super) struct Network {
    events: EventQueue<Duration, Event>,
    pub(super) now: Duration,
}

impl Network {
    /// Schedules an event at a time.
    pub(super) fn at(&mut self, at: Duration, event: Event) {
        self.events.push(at, event);
    }

    /// Schedules an event after a delay.
    pub(super) fn after(&mut self, delay: Duration, event: Event) {
        self.events.push(self.now + delay, event);
    }

    /// Sends a message from one entry VM to another.
    pub(super) fn send(&mut self, from: usize, to: usize, event: Event) {
        self.after(peer_delay(from, to), event);
    }

    /// Sends a message between an entry VM and a backend server.
    pub(super) fn send_to_server(&mut self, entry_vm: usize, server: usize, event: Event) {
        let delay = network_delay(zone_of_entry_vm(entry_vm), zone_of_server(server));
        self.after(delay, event);
    }

    /// Removes the next event and advances the simulated time to it.
    pub(super) fn next(&mut self) -> Option<Event> {
        let (now, event) = self.events.pop()?;
        self.now = now;
        Some(event)
    }
}

/// Returns the network delay between two entry VMs.
pub(super) fn peer_delay(from: usize, to: usize) -> Duration {
    if from == to {
        return Duration::ZERO;
    }
    network_delay(zone_of_entry_vm(from), zone_of_entry_vm(to))
}
