//! Plays at a site of two minions.

use std::time::Duration;

use smol_str::SmolStr;
use snipevane_core::jobs::{JobId, SchedulerSettings};
use snipevane_tests::jobs::{FakeMinion, JobSite, Restart, entry, job, site, step};

use super::START;

/// Age of minions whose last list is recent.
pub(crate) const DEFAULT_AGE: Duration = Duration::from_secs(15);

/// A play with one job at a site of two minions, of which the other one is available once the first is cut off.
pub(crate) struct TwoMinions {
    pub(crate) built: JobSite,
    pub(crate) first: SmolStr,
    pub(crate) other: SmolStr,
    pub(crate) id: JobId,
}

impl TwoMinions {
    /// Creates a site of two minions with this longest lease.
    pub(crate) fn new(max_lease: Duration, id: JobId) -> Self {
        Self::of_age(max_lease, DEFAULT_AGE, id)
    }

    /// Creates a site of two minions with this longest lease that have run for this time.
    pub(crate) fn of_age(max_lease: Duration, age: Duration, id: JobId) -> Self {
        let minions = (0..2).map(|number| {
            let mut minion = FakeMinion::new(entry(number, "p0"), START);
            minion.max_lease = max_lease;
            minion
        });
        let settings = SchedulerSettings {
            lease: Duration::from_millis(5_500),
            max_lease,
            ..SchedulerSettings::default()
        };
        let built = JobSite::with_settings(site(1, 0), minions.collect(), settings, 1);
        Self::in_site(built, age, id)
    }

    /// Runs a site of two minions until they have this age, and cuts the other minion off.
    pub(crate) fn in_site(mut built: JobSite, age: Duration, id: JobId) -> Self {
        let (first, other) = (SmolStr::new_static("i-0"), SmolStr::new_static("i-1"));
        built.run(age);
        built.partitioned.insert(other.clone());
        built.list_minions();
        Self {
            built,
            first,
            other,
            id,
        }
    }

    /// Delays a call with a lease to the first minion, which then restarts, and submits the job.
    pub(crate) fn restarted(max_lease: Duration) -> Self {
        let mut play = Self::new(max_lease, JobId::new(2));
        let spec = job("p0", vec![step(1, 1_000, 90_000, &[])]);
        let earlier = play.built.submit(1, spec);
        play.built.run(Duration::from_secs(1));
        play.delay_lease();
        play.restart(300, 50);
        play.built.cancel(earlier);
        play.built.run(Duration::from_millis(300));
        play.submit(90_000);
        play
    }

    /// Submits the job, whose only task takes this time.
    pub(crate) fn submit(&mut self, run_time_ms: u64) {
        let spec = job("p0", vec![step(1, 1_000, run_time_ms, &[])]);
        self.built.submit(self.id.number(), spec);
    }

    /// Runs until a call with a lease to the first minion is delayed, in place of an earlier one; returns when it was
    /// sent.
    pub(crate) fn delay_lease(&mut self) -> Duration {
        let before = self.built.delayed_lease();
        self.built.delay_next_lease(&self.first);
        while self.built.delayed_lease() == before {
            self.built.tick();
        }
        self.built.delayed_lease().expect("a delayed call")
    }

    /// Restarts the first minion, whose next entry is listed some time after its start.
    pub(crate) fn restart(&mut self, downtime_ms: u64, entry_delay_ms: u64) {
        let restart = Restart {
            downtime: Duration::from_millis(downtime_ms),
            born: self.built.unix_ms() + downtime_ms,
            address: None,
            entry_delay: Duration::from_millis(entry_delay_ms),
        };
        self.built.restart_under_id(&self.first, restart);
    }

    /// Returns the number of runs of the job.
    pub(crate) fn runs(&self) -> usize {
        let records = self.built.records.iter();
        records.filter(|run| run.task.step.job == self.id).count()
    }

    /// Runs until the next incarnation has listed a run of the job.
    pub(crate) fn run_until_listed(&mut self) {
        while self.runs() == 0 {
            self.built.tick();
        }
        self.built.run(Duration::from_millis(300));
    }

    /// Carries out the delayed call this time after it was sent.
    pub(crate) fn carry_out_after(&mut self, delay: Duration) {
        let sent_at = self.built.delayed_lease().expect("a delayed call");
        while self.built.now < sent_at + delay {
            self.built.tick();
        }
        self.built.carry_out_delayed_lease();
    }

    /// Cuts the first minion off, and makes the other one available.
    pub(crate) fn cut_off(&mut self) {
        self.swap_reachable();
        self.built.list_minions();
    }

    /// Does the same, but only the entry of the other minion is read, not the list of minions.
    pub(crate) fn cut_off_unlisted(&mut self) {
        self.swap_reachable();
        let other = self.built.minions[&self.other].entry.clone();
        self.built.scheduler.upsert_minion(other, self.built.now);
    }

    /// Cuts the first minion off, of which the scheduler isn't told, and lets calls reach the other one.
    pub(crate) fn swap_reachable(&mut self) {
        self.built.partitioned.insert(self.first.clone());
        self.built.partitioned.remove(&self.other);
    }
}
