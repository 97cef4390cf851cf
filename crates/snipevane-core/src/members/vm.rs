//! What is known of one VM.

use std::time::Instant;

use super::membership::MembershipSettings;

/// What a request or a health check showed of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthSignal {
    /// The VM refused a connection.
    ConnectionRefused,
    /// An answer asked to close the connection.
    CloseHeader,
    /// An answer said that the server leaves.
    LeavingHeader,
    /// The health check was declined.
    HealthCheckRejected,
    /// A request was answered without any sign of leaving.
    ///
    /// Lifts no doubt: a leaving server answers its running requests well.
    RequestAnswered,
    /// The health check was answered well.
    HealthCheckPassed,
}

/// Whether a VM gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmStatus {
    /// Gets new work.
    Serving,
    /// Leaves; gets nothing new.
    Leaving,
    /// May leave or be dead; gets nothing new but health checks.
    Suspect,
    /// The platform's list dropped it, or no source ever named it.
    Gone,
}

/// What the platform's list says of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListState {
    /// No list held the VM since its present incarnation showed.
    Never,
    /// The last list, read at the given time, holds the VM as live.
    Live(Instant),
    /// The last list holds the VM as leaving.
    Leaving,
    /// An earlier list held the VM and the last one doesn't.
    Dropped,
}

/// A reason to send nothing new, with the time of its last sign.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Suspicion {
    /// A connection was refused, so nothing could have run.
    Refused(Instant),
    /// A sign that goes with leaving, but also with other causes.
    Closing(Instant),
    /// The VM itself says that it leaves.
    Leaving(Instant),
}

/// State of one VM.
#[derive(Clone, Debug)]
pub(super) struct Vm {
    /// Highest incarnation seen; 0 as long as none was seen.
    pub(super) incarnation: u64,
    pub(super) list_state: ListState,
    pub(super) suspicion: Option<Suspicion>,
    /// Whether the VM asks to close connections though its health is good.
    pub(super) closes_while_healthy: bool,
    /// Last heartbeat, for VMs that send any.
    pub(super) heartbeat_at: Option<Instant>,
    /// When a new incarnation showed of a VM that the list held as leaving, as long as the list
    /// hasn't shown the VM as live since.
    pub(super) restarted_at: Option<Instant>,
    /// When the last health check was asked for.
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

    /// Notes an incarnation; returns `false` if the VM has been seen in a later one.
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
            // What the list said of the former process doesn't hold for this one.
            self.list_state = ListState::Never;
        }
        true
    }

    /// Takes over what the last list says.
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
            // An older list may have come late, so the VM's health has to confirm it.
            ListState::Leaving => self.suspicion = Some(Suspicion::Closing(now)),
        }
        self.list_state = ListState::Live(now);
    }

    /// Takes over what a request or a health check showed.
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

    /// Returns the combined view.
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

    /// Returns whether nothing can tell of the VM any more.
    pub(super) fn is_dropped(&self) -> bool {
        self.list_state == ListState::Dropped
    }

    /// Returns whether the list may still show a former process of the VM as leaving.
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
                // A list read `max_list_lag` after the sign would show the VM as leaving.
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
        // The check may have been answered before the sign.
        if now.saturating_duration_since(at) >= settings.check_timeout {
            self.closes_while_healthy |= matches!(self.suspicion, Some(Suspicion::Closing(_)));
            self.suspicion = None;
        }
    }
}
