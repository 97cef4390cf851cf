//! State of one VM, as known to an entry VM.

use std::time::Instant;

use super::membership::MembershipSettings;

/// Observation of a VM's health, from a request or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The VM refused a connection.
    ConnectionRefused,
    /// A response asked to close the connection.
    CloseHeader,
    /// A response header said that the server is leaving.
    LeavingHeader,
    /// The health check was answered with a server error.
    HealthCheckRejected,
    /// A request was answered without any indication that the server is leaving.
    ///
    /// This clears no suspicion, since a leaving server still answers its running requests.
    RequestAnswered,
    /// The health check succeeded.
    HealthCheckPassed,
}

/// Status of a VM, which decides whether it gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmStatus {
    /// Gets new work.
    Serving,
    /// Is leaving; gets no new work.
    Leaving,
    /// May be leaving or dead; gets health checks but no new work.
    Suspect,
    /// Was dropped from the platform's list, or was never named by any source.
    Gone,
}

/// State of a VM according to the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListState {
    /// No list has contained the VM since its current incarnation was first seen.
    Never,
    /// The last list, read at the given time, shows the VM as live.
    Live(Instant),
    /// The last list shows the VM as leaving.
    Leaving,
    /// An earlier list contained the VM and the last one doesn't.
    Dropped,
}

/// Reason to send a VM no new work, with the time of the last signal for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// A connection was refused, so the request can't have run.
    Refused(Instant),
    /// A signal that a leaving VM gives, but that can also have other causes.
    Closing(Instant),
    /// The VM itself said that it is leaving.
    Leaving(Instant),
}

/// State of one VM.
#[derive(Clone, Debug)]
pub(super) struct Vm {
    /// Highest incarnation seen; 0 if none was seen.
    pub(super) incarnation: u64,
    pub(super) list_state: ListState,
    pub(super) suspicion: Option<Suspicion>,
    /// Whether the VM is known to close connections while it is healthy.
    pub(super) closes_while_healthy: bool,
    /// Time of the last heartbeat; `None` for VMs that send none.
    pub(super) heartbeat_at: Option<Instant>,
    /// When a new incarnation was first seen of a VM that the list showed as leaving.
    ///
    /// Reset once the list shows the VM as live.
    pub(super) restarted_at: Option<Instant>,
    /// When the last health check was requested.
    pub(super) checked_at: Option<Instant>,
}

impl Vm {
    pub(super) fn new() -> Self {
        Self {
            incarnation: 0,
            list_state: ListState::Never,
            suspicion: None,
            closes_while_healthy: false,
            heartbeat_at: None,
            restarted_at: None,
            checked_at: None,
        }
    }

    /// Records an incarnation; returns `false` if a later one has been seen.
    pub(super) fn record_incarnation(&mut self, now: Instant, incarnation: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        let restarted = incarnation > self.incarnation && self.incarnation > 0;
        self.incarnation = incarnation;
        if restarted {
            self.suspicion = None;
            self.closes_while_healthy = false;
            self.checked_at = None;
            self.restarted_at = (self.list_state == ListState::Leaving).then_some(now);
            // What the list said of the previous process doesn't apply to the new one.
            self.list_state = ListState::Never;
        }
        true
    }

    /// Records an entry of the last list.
    pub(super) fn record_listed(
        &mut self,
        now: Instant,
        leaving: bool,
        settings: &MembershipSettings,
    ) {
        if leaving {
            if !self.is_list_outdated(now, settings) {
                self.list_state = ListState::Leaving;
            }
            return;
        }
        self.restarted_at = None;
        match self.list_state {
            ListState::Live(_) | ListState::Never => {}
            ListState::Dropped => self.suspicion = None,
            // This list may be an older one that arrived late, so a health check has to confirm it.
            ListState::Leaving => self.suspicion = Some(Suspicion::Closing(now)),
        }
        self.list_state = ListState::Live(now);
    }

    /// Records a signal from a request or a health check.
    pub(super) fn record_signal(
        &mut self,
        now: Instant,
        signal: HealthSignal,
        settings: &MembershipSettings,
    ) {
        match signal {
            HealthSignal::RequestAnswered => {}
            HealthSignal::HealthCheckPassed => self.clear_suspicion(now, settings),
            HealthSignal::LeavingHeader => self.suspicion = Some(Suspicion::Leaving(now)),
            HealthSignal::CloseHeader if self.closes_while_healthy => {}
            HealthSignal::CloseHeader | HealthSignal::HealthCheckRejected => {
                if !matches!(self.suspicion, Some(Suspicion::Leaving(_))) {
                    self.suspicion = Some(Suspicion::Closing(now));
                }
            }
            HealthSignal::ConnectionRefused => {
                if matches!(self.suspicion, None | Some(Suspicion::Refused(_))) {
                    self.suspicion = Some(Suspicion::Refused(now));
                }
            }
        }
    }

    /// Returns the status that follows from all sources.
    pub(super) fn status(&self, now: Instant, settings: &MembershipSettings) -> VmStatus {
        if self.list_state == ListState::Dropped {
            return VmStatus::Gone;
        }
        if self.list_state == ListState::Leaving
            || matches!(self.suspicion, Some(Suspicion::Leaving(_)))
        {
            return VmStatus::Leaving;
        }
        if self.is_suspected(now, settings) || self.has_heartbeat_timed_out(now, settings) {
            return VmStatus::Suspect;
        }
        VmStatus::Serving
    }

    /// Returns whether the platform's list dropped the VM.
    pub(super) fn is_dropped(&self) -> bool {
        self.list_state == ListState::Dropped
    }

    /// Returns whether the list may still show the previous process of the VM as leaving.
    fn is_list_outdated(&self, now: Instant, settings: &MembershipSettings) -> bool {
        self.restarted_at
            .is_some_and(|at| now.saturating_duration_since(at) < settings.max_list_lag)
    }

    fn is_suspected(&self, now: Instant, settings: &MembershipSettings) -> bool {
        match self.suspicion {
            None => false,
            Some(Suspicion::Refused(at)) => {
                now.saturating_duration_since(at) < settings.refused_suspicion
            }
            Some(Suspicion::Closing(at)) => {
                // A list read `max_list_lag` after the signal would show a leaving VM.
                let is_after_lag = |seen: Instant| seen >= at + settings.max_list_lag;
                !matches!(self.list_state, ListState::Live(seen) if is_after_lag(seen))
            }
            Some(Suspicion::Leaving(_)) => true,
        }
    }

    fn has_heartbeat_timed_out(&self, now: Instant, settings: &MembershipSettings) -> bool {
        let Some(at) = self.heartbeat_at else {
            return false;
        };
        now.saturating_duration_since(at) >= settings.heartbeat_timeout
    }

    fn clear_suspicion(&mut self, now: Instant, settings: &MembershipSettings) {
        let at = match self.suspicion {
            None => return,
            Some(Suspicion::Refused(at) | Suspicion::Closing(at) | Suspicion::Leaving(at)) => at,
        };
        // A check may have been answered before the signal.
        if now.saturating_duration_since(at) >= settings.check_timeout {
            self.closes_while_healthy |= matches!(self.suspicion, Some(Suspicion::Closing(_)));
            self.suspicion = None;
        }
    }
}
