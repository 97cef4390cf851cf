//! Messages of a run with owned slots and the time that they take.

use std::time::Duration;

use snipevane_core::routing::{Load, Slot};

use super::entry_vm::RoutedRequest;
use super::events::EventQueue;
use super::layout::{network_delay, zone_of_entry_vm, zone_of_server};

/// A request that has a slot of an entry VM.
pub(super) struct Exchange {
    pub(super) entry_vm: usize,
    pub(super) slot: Slot,
    pub(super) routed: RoutedRequest,
}

/// What an entry VM tells a peer.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadMessage {
    pub(super) from: usize,
    pub(super) to: usize,
    pub(super) service: usize,
    pub(super) load: Load,
}

/// What happens next in a run.
pub(super) enum Event {
    /// A request comes from the balancer.
    Arrive(usize),
    /// A peer's request arrives.
    Forwarded { to: usize, routed: RoutedRequest },
    /// A forwarded request comes back.
    Declined {
        by: usize,
        routed: RoutedRequest,
        load: Load,
    },
    /// A peer wants slots.
    SlotRequest(LoadMessage),
    /// A peer tells of its load.
    LoadReport(LoadMessage),
    /// A request arrives at its backend server.
    Start(Exchange),
    /// A backend server has run a request.
    End(Exchange),
    /// An answer arrives at the entry VM that sent the request.
    Answer(Exchange),
    /// An entry VM sends its regular notices.
    LoadReportTick(usize),
    /// Requests that have waited too long are refused.
    ExpiryTick,
    /// A lost entry VM's slots go to a peer.
    Takeover(usize),
}

/// Messages under way, and the time.
#[derive(Default)]
pub(super) struct Network {
    events: EventQueue<Event>,
    pub(super) now: Duration,
}

impl Network {
    /// Adds an event at a given time.
    pub(super) fn at(&mut self, at: Duration, event: Event) {
        self.events.push(at, event);
    }

    /// Adds an event after some time.
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

    /// Takes the next event and moves the time on.
    pub(super) fn next(&mut self) -> Option<Event> {
        let (now, event) = self.events.pop()?;
        self.now = now;
        Some(event)
    }
}

/// Returns the time that a message between two entry VMs takes.
pub(super) fn peer_delay(from: usize, to: usize) -> Duration {
    if from == to {
        return Duration::ZERO;
    }
    network_delay(zone_of_entry_vm(from), zone_of_entry_vm(to))
}
