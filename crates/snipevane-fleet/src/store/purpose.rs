//! Purposes of calls to the store, for metrics and for the limits of further attempts.

/// What a call to the store is made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Stores the address of an entry VM.
    Registration,
    /// Reads the addresses of the other entry VMs.
    Discovery,
    /// Reads the scheduler's row to learn whether the term is free.
    TermPoll,
    /// Claims a free term, or reads back whether a claim was carried out.
    TermClaim,
    /// Renews a term and stores the scheduler's changes, with those of callers.
    TermWrite,
    /// Reads what the scheduler needs: jobs, minions, maintenance waves and reports of reach.
    SchedulerRead,
    /// Stores changes of callers without a scheduler.
    CallersWrite,
    /// Reads a job for a caller.
    CallersRead,
    /// Reads the configuration and follows its changes.
    Configuration,
    /// Reports that heartbeats of a term don't arrive.
    ReachReport,
    /// Checks whether the store answers direct calls again.
    RouteProbe,
    /// Passes on a call of another entry VM.
    Relay,
}

impl Purpose {
    /// Returns whether the call is the scheduler's own work, without which no job runs.
    pub(super) fn is_schedulers_work(self) -> bool {
        matches!(
            self,
            Self::TermClaim | Self::TermWrite | Self::SchedulerRead
        )
    }

    /// Returns the purpose's name in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Registration => "registration",
            Self::Discovery => "discovery",
            Self::TermPoll => "term_poll",
            Self::TermClaim => "term_claim",
            Self::TermWrite => "term_write",
            Self::SchedulerRead => "scheduler_read",
            Self::CallersWrite => "callers_write",
            Self::CallersRead => "callers_read",
            Self::Configuration => "configuration",
            Self::ReachReport => "reach_report",
            Self::RouteProbe => "route_probe",
            Self::Relay => "relay",
        }
    }
}
