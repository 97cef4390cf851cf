//! What is known of one VM.

use std::time::Instant;

use super::membership::MembersLimits;

/// What a request or a health check showed of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// The VM refused a connection.
    RefusedConnection,
    /// An answer asked to close the connection.
    CloseHeader,
    /// An answer said that the server leaves.
    LeavingHeader,
    /// The health check was declined.
    HealthDeclined,
    /// A request was answered without any sign of leaving.
    ///
    /// Lifts no doubt: a leaving server answers its running requests well.
    AnsweredWell,
    /// The health check was answered well.
    HealthWell,
}

/// Whether a VM gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VmView {
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
pub(super) enum Listed {
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
pub(super) enum Doubt {
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
    pub(super) listed: Listed,
    pub(super) doubt: Option<Doubt>,
    /// Whether the VM asks to close connections though its health is good.
    pub(super) closes_anyway: bool,
    /// Last heartbeat, for VMs that send any.
    pub(super) heartbeat_at: Option<Instant>,
    /// When a new incarnation showed of a VM that the list held as leaving, as long as the list
    /// hasn't shown the VM as live since.
    pub(super) returned_at: Option<Instant>,
    /// When the last health check was asked for.
    pub(super) checked_at: Option<Instant>,
}

impl Vm {
    pub(super) fn new() -> Self {
        Self {
            incarnation: 0,
            listed: Listed::Never,
            doubt: None,
            closes_anyway: false,
            heartbeat_at: None,
            returned_at: None,
            checked_at: None,
        }
    }

    /// Notes an incarnation; returns `false` if the VM has been seen in a later one.
    pub(super) fn note_incarnation(&mut self, now: Instant, incarnation: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        let restarted = incarnation > self.incarnation && self.incarnation > 0;
        self.incarnation = incarnation;
        if restarted {
            self.doubt = None;
            self.closes_anyway = false;
            self.checked_at = None;
            self.returned_at = (self.listed == Listed::Leaving).then_some(now);
            // What the list said of the former process doesn't hold for this one.
            self.listed = Listed::Never;
        }
        true
    }

    /// Takes over what the last list says.
    pub(super) fn note_listed(&mut self, now: Instant, leaving: bool, limits: &MembersLimits) {
        if leaving {
            if !self.is_list_outdated(now, limits) {
                self.listed = Listed::Leaving;
            }
            return;
        }
        self.returned_at = None;
        match self.listed {
            Listed::Live(_) | Listed::Never => {}
            Listed::Dropped => self.doubt = None,
            // An older list may have come late, so the VM's health has to confirm it.
            Listed::Leaving => self.doubt = Some(Doubt::Closing(now)),
        }
        self.listed = Listed::Live(now);
    }

    /// Takes over what a request or a health check showed.
    pub(super) fn note_sign(&mut self, now: Instant, sign: Sign, limits: &MembersLimits) {
        match sign {
            Sign::AnsweredWell => {}
            Sign::HealthWell => self.lift_doubt(now, limits),
            Sign::LeavingHeader => self.doubt = Some(Doubt::Leaving(now)),
            Sign::CloseHeader if self.closes_anyway => {}
            Sign::CloseHeader | Sign::HealthDeclined => {
                if !matches!(self.doubt, Some(Doubt::Leaving(_))) {
                    self.doubt = Some(Doubt::Closing(now));
                }
            }
            Sign::RefusedConnection => {
                if matches!(self.doubt, None | Some(Doubt::Refused(_))) {
                    self.doubt = Some(Doubt::Refused(now));
                }
            }
        }
    }

    /// Returns the combined view.
    pub(super) fn view(&self, now: Instant, limits: &MembersLimits) -> VmView {
        if self.listed == Listed::Dropped {
            return VmView::Gone;
        }
        if self.listed == Listed::Leaving || matches!(self.doubt, Some(Doubt::Leaving(_))) {
            return VmView::Leaving;
        }
        if self.is_doubted(now, limits) || self.is_silent(now, limits) {
            return VmView::Suspect;
        }
        VmView::Serving
    }

    /// Returns whether nothing can tell of the VM any more.
    pub(super) fn is_unknown(&self) -> bool {
        self.listed == Listed::Dropped
    }

    /// Returns whether the list may still show a former process of the VM as leaving.
    fn is_list_outdated(&self, now: Instant, limits: &MembersLimits) -> bool {
        self.returned_at
            .is_some_and(|at| now.saturating_duration_since(at) < limits.list_lag)
    }

    fn is_doubted(&self, now: Instant, limits: &MembersLimits) -> bool {
        match self.doubt {
            None => false,
            Some(Doubt::Refused(at)) => now.saturating_duration_since(at) < limits.refused_term,
            Some(Doubt::Closing(at)) => {
                // A list read `list_lag` after the sign would show the VM as leaving.
                let outlived = |seen: Instant| seen >= at + limits.list_lag;
                !matches!(self.listed, Listed::Live(seen) if outlived(seen))
            }
            Some(Doubt::Leaving(_)) => true,
        }
    }

    fn is_silent(&self, now: Instant, limits: &MembersLimits) -> bool {
        let Some(at) = self.heartbeat_at else {
            return false;
        };
        now.saturating_duration_since(at) >= limits.heartbeat_timeout
    }

    fn lift_doubt(&mut self, now: Instant, limits: &MembersLimits) {
        let at = match self.doubt {
            None => return,
            Some(Doubt::Refused(at) | Doubt::Closing(at) | Doubt::Leaving(at)) => at,
        };
        // The check may have been answered before the sign.
        if now.saturating_duration_since(at) >= limits.check_timeout {
            self.closes_anyway |= matches!(self.doubt, Some(Doubt::Closing(_)));
            self.doubt = None;
        }
    }
}
