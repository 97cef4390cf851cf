//! Deadline by which a caller's connection must bring the next request's head.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Timeouts between two requests on a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadTimeouts {
    /// Maximum time from the first byte of a head, or from the start of the connection, to the
    /// head's end.
    pub(crate) read: Duration,
    /// Maximum time without a byte after a response.
    pub(crate) idle: Duration,
}

/// What a connection is waiting for.
#[derive(Clone, Copy, Debug)]
enum Phase {
    /// For the rest of a head.
    Head { deadline: Instant },
    /// For the first byte of a head, while the previous response may still be written.
    Idle { deadline: Instant },
    /// For a response; other timeouts apply.
    Handling,
}

/// Tracks the phases of one connection; clones share their state.
#[derive(Clone, Debug)]
pub(crate) struct HeadTimer {
    timeouts: HeadTimeouts,
    phase: Arc<Mutex<Phase>>,
}

impl HeadTimer {
    /// Creates the timer of a new connection, whose first head is due after the read timeout.
    pub(crate) fn new(timeouts: HeadTimeouts) -> Self {
        let deadline = Instant::now() + timeouts.read;
        Self {
            timeouts,
            phase: Arc::new(Mutex::new(Phase::Head { deadline })),
        }
    }

    /// Notes that a head was read completely.
    pub(crate) fn on_request(&self) {
        *self.phase.lock() = Phase::Handling;
    }

    /// Notes that a response is ready to be written.
    pub(crate) fn on_response(&self) {
        let deadline = Instant::now() + self.timeouts.idle;
        *self.phase.lock() = Phase::Idle { deadline };
    }

    /// Notes that bytes were received.
    pub(super) fn on_read(&self) {
        let mut phase = self.phase.lock();
        if let Phase::Idle { .. } = *phase {
            let deadline = Instant::now() + self.timeouts.read;
            *phase = Phase::Head { deadline };
        }
    }

    /// Notes that bytes were sent.
    pub(super) fn on_write(&self) {
        let mut phase = self.phase.lock();
        if let Phase::Idle { deadline } = &mut *phase {
            *deadline = Instant::now() + self.timeouts.idle;
        }
    }

    /// Returns the time by which more bytes must be received, unless a request is being handled.
    pub(super) fn deadline(&self) -> Option<Instant> {
        match *self.phase.lock() {
            Phase::Head { deadline } | Phase::Idle { deadline } => Some(deadline),
            Phase::Handling => None,
        }
    }
}
