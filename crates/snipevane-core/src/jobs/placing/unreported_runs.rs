//! Runs of an earlier term on minions that haven't reported to the present term yet.

use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use crate::jobs::minions::hosted_minions::HostedMinions;
use crate::jobs::minions::leases::longest_misread;
use crate::jobs::scheduler::Scheduler;
use crate::jobs::upkeep::vm::Vm;

/// Longest time after a restart of a minion until the scheduler has noticed it, and sends no calls for the incarnation before.
/// It covers differences between the clocks of VMs.
const MAX_NOTICE_TIME: Duration = Duration::from_secs(5);

/// Minions that may have runs from an earlier term, and the time until which they may have them.
///
/// A scheduler places work only on minions that its stored row names. The row of the previous term
/// thus names all minions that may have runs, including those that have disappeared from the list
/// of minions.
#[derive(Clone, Debug, Default)]
pub struct UnreportedRuns {
    /// Time by which the earlier term had sent its last order; `None` if there was no earlier term.
    pub sent_until: Option<Duration>,
    /// Time at which the last lease granted by an earlier term is certain to have expired.
    pub until: Duration,
    /// Identifiers of the minions that the earlier term used and that haven't listed their runs
    /// yet, with their pools.
    pub minions: FxHashMap<SmolStr, SmolStr>,
    /// Times at which the leases of minions are over that the earlier term's row named as silent. They
    /// replace [`UnreportedRuns::until`].
    pub silent: FxHashMap<SmolStr, Duration>,
    /// Times at which the leases of minions are over that have restarted not long before the earlier term's end.
    pub restarted: FxHashMap<SmolStr, Duration>,
}

impl UnreportedRuns {
    /// Returns the time at which the last lease that an earlier term granted to a minion is certain to have
    /// expired.
    pub(in crate::jobs) fn until_of(&self, id: &str) -> Duration {
        let restarted_until = self.restarted.get(id).copied();
        let until = self.silent.get(id).copied().unwrap_or(self.until);
        until.max(restarted_until.unwrap_or(Duration::ZERO))
    }

    /// Returns the time by which the earlier term had sent its last order to a minion; `None` if it sent none.
    pub(in crate::jobs) fn sent_until(&self, id: &str) -> Option<Duration> {
        self.sent_until.filter(|_| self.minions.contains_key(id))
    }

    /// Returns the time at which the leases are over that an incarnation was given by the earlier term's calls to the
    /// one before, if it began at `started_unix_ms` and accepts leases of up to `max_lease`.
    pub(in crate::jobs) fn misread_until(
        &self,
        started_unix_ms: u64,
        max_lease: Duration,
        now: Duration,
        unix_ms: u64,
    ) -> Duration {
        let Some(sent_until) = self.sent_until.filter(|_| started_unix_ms > 0) else {
            return Duration::ZERO;
        };
        let age = Duration::from_millis(unix_ms.saturating_sub(started_unix_ms));
        let since_noticed = age.saturating_sub(MAX_NOTICE_TIME);
        let since_sent = now.saturating_sub(sent_until).max(since_noticed);
        now + longest_misread(max_lease).saturating_sub(since_sent)
    }

    /// Returns whether the earlier term's row named a minion as silent.
    pub(in crate::jobs) fn was_silent(&self, id: &str) -> bool {
        self.silent.contains_key(id)
    }

    /// Removes the minions that no longer exist according to a list of VMs, such as those whose VM
    /// was moved right before the term ended. Returns their identifiers.
    ///
    /// Pools with a VM that may host a minion that the list doesn't tell keep all their minions.
    fn remove_unhosted(&mut self, vms: &[Vm]) -> Vec<SmolStr> {
        let hosted = HostedMinions::new(vms);
        let unhosted = self
            .minions
            .extract_if(|id, pool| !hosted.may_contain(id, pool));
        unhosted.map(|(id, _)| id).collect()
    }
}

impl Scheduler {
    /// Prolongs the leases of minions that haven't reported and whose entries tell that they had restarted not long
    /// before the earlier term's end.
    pub(in crate::jobs) fn extend_unreported_leases(&mut self, now: Duration, unix_ms: u64) {
        let max_lease = self.settings.max_lease;
        let minions = &self.minions;
        let listed = self.unreported.minions.keys().filter_map(|id| {
            let minion = minions.get(*self.minion_ids.get(id)?)?;
            let started_unix_ms = minion.entry.started_unix_ms;
            let until = self
                .unreported
                .misread_until(started_unix_ms, max_lease, now, unix_ms);
            (until > now).then(|| (id.clone(), until))
        });
        let restarted: Vec<(SmolStr, Duration)> = listed.collect();
        for (id, until) in restarted {
            let known = self.unreported.restarted.entry(id).or_default();
            *known = until.max(*known);
        }
    }

    /// Stops waiting for reports of minions of an earlier term that no longer exist.
    ///
    /// `vms` is a list of all VMs that shows every order of the earlier term.
    pub fn forget_unhosted_minions(&mut self, vms: &[Vm]) {
        if vms.is_empty() {
            return;
        }
        let unhosted = self.unreported.remove_unhosted(vms);
        if !unhosted.is_empty() {
            self.unhosted_minions.extend(unhosted);
            self.settle_undecided_trials();
        }
    }
}
