//! Tests of leases on a minion's earlier clock that show only in what is sent again, answered, or left by an earlier term.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{JobId, JobState, SchedulerSettings};
use snipevane_tests::jobs::{FakeMinion, JobSite, Restart, entry, job, site, step};

const START: Duration = Duration::from_secs(10);

/// Time after which a call without an answer may still be carried out.
const LATE_CALL: Duration = Duration::from_millis(16_450);

/// Time for which a hold is sent again in vain.
const REPEATED_FOR: Duration = Duration::from_secs(1);

/// Ages of the minions. The clock of an old one is far ahead of its next incarnation's; a young one has just been asked
/// for its runs.
const OLD: Duration = Duration::from_secs(60);
const YOUNG: Duration = Duration::from_secs(15);

/// A site of a minion in use and one that is cut off until the first one is.
struct TwoMinions {
    built: JobSite,
    used: SmolStr,
    other: SmolStr,
}

impl TwoMinions {
    fn new(max_lease_s: u64, age: Duration) -> Self {
        let max_lease = Duration::from_secs(max_lease_s);
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
        let mut built = JobSite::with_settings(site(1, 0), minions.collect(), settings, 1);
        let (used, other) = (SmolStr::new_static("i-0"), SmolStr::new_static("i-1"));
        built.run(age);
        built.partitioned.insert(other.clone());
        built.list_minions();
        Self { built, used, other }
    }

    /// Submits a job of one task that outlasts all leases.
    fn submit(&mut self, number: u64) -> JobId {
        self.submit_task(number, 90_000)
    }

    /// Submits a job of one task of this run time.
    fn submit_task(&mut self, number: u64, run_ms: u64) -> JobId {
        let spec = job("p0", vec![step(1, 1_000, run_ms, &[])]);
        self.built.submit(number, spec)
    }

    /// Delays the next call with a lease to the minion in use, in place of one that is delayed, and returns when it was sent.
    fn delay_lease(&mut self) -> Duration {
        let before = self.built.delayed_lease();
        self.built.delay_next_lease(&self.used);
        while self.built.delayed_lease() == before {
            self.built.tick();
        }
        self.built.delayed_lease().expect("a delayed call")
    }

    /// Restarts the minion in use; its entry shows the restart after `entry_delay`.
    fn restart(&mut self, downtime: Duration, entry_delay: Duration) {
        let restart = Restart {
            downtime,
            born: self.built.unix_ms() + downtime.as_millis() as u64,
            address: None,
            entry_delay,
        };
        self.built.restart_under_id(&self.used, restart);
    }

    /// Cuts the minion in use off, lets the other one take over its task, and checks that it is done.
    fn cut_off_and_complete(&mut self, id: JobId) {
        self.built.partitioned.insert(self.used.clone());
        self.built.partitioned.remove(&self.other);
        let other = self.built.minions[&self.other].entry.clone();
        self.built.scheduler.upsert_minion(other, self.built.now);
        self.built.run(Duration::from_secs(160));
        assert_eq!(self.built.state(id), JobState::Completed);
    }
}

/// Guards against a task that runs twice at the same time, because a hold that is sent again is carried out later than the
/// first one can be.
#[rstest]
fn a_lease_that_is_sent_again_counts_from_then(#[values(6, 10, 30)] max_lease_s: u64) {
    let mut site = TwoMinions::new(max_lease_s, OLD);
    let first = site.submit(1);
    site.built.run(Duration::from_secs(1));
    let sent_at = site.delay_lease();
    let mut sent_again_at = sent_at;
    while sent_again_at < sent_at + REPEATED_FOR {
        sent_again_at = site.delay_lease();
    }
    site.restart(Duration::from_millis(100), Duration::from_millis(20));
    site.built.cancel(first);
    site.built.run(Duration::from_millis(300));
    let id = site.submit(2);
    while site.built.now < sent_again_at + LATE_CALL {
        site.built.tick();
    }
    site.built.carry_out_delayed_lease();
    site.cut_off_and_complete(id);
}

/// Guards against a task that runs twice at the same time, because its start was answered on another clock and nothing else
/// has told of the restart.
#[rstest]
fn a_reply_on_another_clock_tells_of_a_restart(#[values(6, 10, 30)] max_lease_s: u64) {
    let mut site = TwoMinions::new(max_lease_s, YOUNG);
    site.restart(Duration::from_millis(50), Duration::from_secs(200));
    site.built.run(Duration::from_millis(60));
    site.built.faults.hold_delay_rate = 1.0;
    let id = site.submit(1);
    while site.built.records.is_empty() {
        site.built.tick();
    }
    site.built.faults.hold_delay_rate = 0.0;
    site.cut_off_and_complete(id);
}

/// Guards against a task that runs twice at the same time, because a call of the earlier term gave a lease to an
/// incarnation that has begun in the present one.
#[rstest]
fn a_call_of_the_earlier_term_counts_at_a_minion_that_restarts_in_the_next(
    #[values(6, 10, 30)] max_lease_s: u64,
) {
    let mut site = TwoMinions::new(max_lease_s, OLD);
    site.submit_task(1, 1_500);
    site.built.run(Duration::from_millis(300));
    site.delay_lease();
    site.built.run(Duration::from_secs(4));
    site.built.take_over();
    site.built.run(Duration::from_millis(100));
    site.restart(Duration::from_millis(50), Duration::from_millis(400));
    site.built.run(Duration::from_millis(60));
    site.built.carry_out_delayed_lease();
    site.built.run(Duration::from_millis(600));
    let id = site.submit(2);
    site.built.run(Duration::from_millis(300));
    site.cut_off_and_complete(id);
}
