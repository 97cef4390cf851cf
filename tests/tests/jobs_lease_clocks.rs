//! Tests of leases whose end was given on the clock of an earlier incarnation of the minion.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{
    HoldReply, JobId, JobState, OrderReply, Recipient, RunList, SchedulerSettings, StartOrder,
};
use snipevane_tests::jobs::{FakeMinion, JobSite, Restart, entry, job, site, step};

const START: Duration = Duration::from_secs(10);

/// Guards against a task that runs twice at the same time, because the lease of a run counts as expired although its
/// minion has measured it on a clock that started anew.
#[rstest]
fn a_lease_given_on_an_earlier_clock_lasts_as_long_as_the_minion_grants_it(
    #[values(10, 50, 300, 1_000)] silent_after_ms: u64,
) {
    let minions = (0..2).map(|number| FakeMinion::new(entry(number, "p0"), START));
    let settings = SchedulerSettings {
        lease: Duration::from_secs(5),
        ..SchedulerSettings::default()
    };
    let built = JobSite::with_settings(site(1, 0), minions.collect(), settings, 1);
    let mut play = TwoMinions::in_site(built, JobId::new(1));
    play.built
        .restart_under_its_id(&play.first, Duration::from_millis(300));
    play.submit(20_000);
    play.built.run(Duration::from_millis(silent_after_ms));
    play.cut_off();
    play.built.run(Duration::from_secs(50));
    assert_eq!(play.built.records.len(), 2);
    assert_eq!(play.built.state(play.id), JobState::Completed);
}

/// Guards against leases that are given on the clock of an earlier incarnation for as long as the next one lives,
/// because an answer of the earlier one arrives after the restart was noticed.
#[test]
fn a_late_answer_of_an_earlier_incarnation_sets_no_clock() {
    let minion = FakeMinion::new(entry(0, "p0"), START);
    let mut built = JobSite::new(site(1, 0), vec![minion], 1);
    let id = SmolStr::new_static("i-0");
    built.run(Duration::from_secs(15));
    built.partitioned.insert(id.clone());
    built.submit(1, job("p0", vec![step(1, 1_000, 20_000, &[])]));
    let task = built.task_id(1, 0, 0);
    built.tick();
    let (key, minion) = built.scheduler.minions().next().expect("a minion");
    let run = *minion.runs.iter().next().expect("a run");
    let to = Recipient {
        minion: key,
        id: id.clone(),
        address: minion.entry.address.clone(),
        fence: 1,
    };
    let sent_at = built.now;
    built.run(Duration::from_millis(100));
    let restarted_at = built.now;
    let list = RunList {
        started_unix_ms: built.minions[&id].incarnation + 100_000,
        clock_ms: 0,
        ..RunList::default()
    };
    let (now, unix_ms) = (built.now, built.unix_ms());
    let reply = HoldReply::Listed(list);
    built
        .scheduler
        .hold_replied(&to, reply, sent_at, now, unix_ms);
    let done = OrderReply::Done {
        clock_ms: Some(15_100),
    };
    let order = StartOrder {
        to,
        run,
        task,
        attempt: 1,
        payload: "".into(),
        lease_end_ms: 0,
        checkpoint: SmolStr::default(),
        permit: SmolStr::default(),
        transmission: 1,
    };
    built.scheduler.start_replied(&order, done, sent_at, now);
    let minion = built.scheduler.minion(key).expect("a minion");
    let clock = minion.clock_lower_bound(now).expect("a clock");
    let age = now - restarted_at;
    assert!(Duration::from_millis(clock) <= age, "{clock} ms");
}

/// A play with one job at a site of two minions, of which the other one is available once the first is cut off.
struct TwoMinions {
    built: JobSite,
    first: SmolStr,
    other: SmolStr,
    id: JobId,
}

impl TwoMinions {
    /// Creates a site of two minions with this longest lease.
    fn new(max_lease: Duration, id: JobId) -> Self {
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
        Self::in_site(built, id)
    }

    /// Runs a site of two minions for 15 s, and cuts the other minion off.
    fn in_site(mut built: JobSite, id: JobId) -> Self {
        let (first, other) = (SmolStr::new_static("i-0"), SmolStr::new_static("i-1"));
        built.run(Duration::from_secs(15));
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
    fn restarted(max_lease: Duration) -> Self {
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
    fn submit(&mut self, run_time_ms: u64) {
        let spec = job("p0", vec![step(1, 1_000, run_time_ms, &[])]);
        self.built.submit(self.id.number(), spec);
    }

    /// Runs until a call with a lease to the first minion is delayed.
    fn delay_lease(&mut self) {
        self.built.delay_next_lease(&self.first);
        while self.built.delayed_lease().is_none() {
            self.built.tick();
        }
    }

    /// Restarts the first minion, whose next entry is listed some time after its start.
    fn restart(&mut self, downtime_ms: u64, entry_delay_ms: u64) {
        let restart = Restart {
            downtime: Duration::from_millis(downtime_ms),
            born: self.built.unix_ms() + downtime_ms,
            address: None,
            entry_delay: Duration::from_millis(entry_delay_ms),
        };
        self.built.restart_under_id(&self.first, restart);
    }

    /// Returns the number of runs of the job.
    fn runs(&self) -> usize {
        let records = self.built.records.iter();
        records.filter(|run| run.task.step.job == self.id).count()
    }

    /// Runs until the next incarnation has listed a run of the job.
    fn run_until_listed(&mut self) {
        while self.runs() == 0 {
            self.built.tick();
        }
        self.built.run(Duration::from_millis(300));
    }

    fn carry_out_after(&mut self, delay: Duration) {
        let sent_at = self.built.delayed_lease().expect("a delayed call");
        while self.built.now < sent_at + delay {
            self.built.tick();
        }
        self.built.carry_out_delayed_lease();
    }

    /// Cuts the first minion off, and makes the other one available.
    fn cut_off(&mut self) {
        self.swap_reachable();
        self.built.list_minions();
    }

    /// Does the same, but only the entry of the other minion is read, not the list of minions.
    fn cut_off_unlisted(&mut self) {
        self.swap_reachable();
        let other = self.built.minions[&self.other].entry.clone();
        self.built.scheduler.upsert_minion(other, self.built.now);
    }

    fn swap_reachable(&mut self) {
        self.built.partitioned.insert(self.first.clone());
        self.built.partitioned.remove(&self.other);
    }
}

/// Guards against a task that runs twice at the same time, because a call to the earlier incarnation of its minion, which
/// is carried out by the next one, gives it a lease on the wrong clock.
#[rstest]
fn a_late_call_to_an_earlier_incarnation_makes_no_task_run_twice(
    #[values(6, 10, 30)] max_lease_s: u64,
    #[values(700, 3_000, 11_900)] delay_ms: u64,
) {
    let mut play = TwoMinions::restarted(Duration::from_secs(max_lease_s));
    play.run_until_listed();
    play.carry_out_after(Duration::from_millis(delay_ms));
    play.cut_off();
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.runs(), 2);
    assert_eq!(play.built.state(play.id), JobState::Completed);
}

/// Guards against the same after a takeover, whose term has to learn of the restart from the entry or the list.
#[rstest]
fn a_late_call_of_the_term_before_makes_no_task_run_twice(
    #[values(6, 10, 30)] max_lease_s: u64,
    #[values(700, 3_000, 11_900)] delay_ms: u64,
    #[values(false, true)] lists_runs: bool,
) {
    let mut play = TwoMinions::restarted(Duration::from_secs(max_lease_s));
    play.run_until_listed();
    if lists_runs {
        play.built.take_over();
        play.built.run(Duration::from_millis(40));
        play.carry_out_after(Duration::from_millis(delay_ms));
    } else {
        play.carry_out_after(Duration::from_millis(delay_ms));
        play.built.take_over();
    }
    play.cut_off_unlisted();
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.built.state(play.id), JobState::Completed);
}

/// Guards against the same if the minion is cut off before the restart is noticed, and its entry still tells of it.
#[rstest]
fn a_start_at_an_incarnation_that_has_listed_nothing_makes_no_task_run_twice(
    #[values(6, 10, 30)] max_lease_s: u64,
) {
    let mut play = TwoMinions::restarted(Duration::from_secs(max_lease_s));
    play.built.faults.lost_reply_rate = 1.0;
    play.built.run(Duration::from_millis(140));
    play.built.faults.lost_reply_rate = 0.0;
    assert_eq!(play.runs(), 1);
    play.cut_off_unlisted();
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.built.state(play.id), JobState::Completed);
}

/// Guards against tasks that wait longer than the lease of their minion, as it hasn't restarted.
#[rstest]
fn a_task_on_a_minion_that_has_not_restarted_waits_for_its_lease_only(
    #[values(6, 10, 30)] max_lease_s: u64,
) {
    let max_lease = Duration::from_secs(max_lease_s);
    let mut play = TwoMinions::new(max_lease, JobId::new(1));
    play.submit(60_000);
    play.built.run(Duration::from_secs(4));
    let cut_at = play.built.now;
    play.cut_off();
    play.built.run(Duration::from_secs(8));
    assert_eq!(play.built.records.len(), 2);
    assert!(play.built.records[1].from < cut_at + Duration::from_millis(6_000));
}

/// Guards against a task that runs twice at the same time, because a minion leaves the list right after its restart was
/// noticed, and the leases on its former clock are forgotten with it.
#[rstest]
fn a_minion_that_leaves_the_list_after_a_restart_keeps_its_leases(
    #[values(6, 10, 30)] max_lease_s: u64,
    #[values(2_000, 3_000, 11_900)] delay_ms: u64,
) {
    let mut play = TwoMinions::new(Duration::from_secs(max_lease_s), JobId::new(1));
    play.submit(90_000);
    play.built.run(Duration::from_secs(1));
    play.delay_lease();
    play.restart(300, 1_000);
    play.built.scheduler.unlist_minion(&play.first);
    play.built.run(Duration::from_millis(1_700));
    assert_eq!(play.built.records.len(), 2);
    play.carry_out_after(Duration::from_millis(delay_ms));
    play.cut_off();
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.built.records.len(), 3);
    assert_eq!(play.built.state(play.id), JobState::Completed);
}

/// Guards against the same if the row names the restarted minion as silent before its entry is read.
#[rstest]
fn a_silent_minion_whose_entry_tells_of_a_restart_later_makes_no_task_run_twice(
    #[values(6, 10, 30)] max_lease_s: u64,
) {
    let mut play = TwoMinions::restarted(Duration::from_secs(max_lease_s));
    play.run_until_listed();
    play.carry_out_after(Duration::from_millis(1_500));
    play.swap_reachable();
    let own = play.built.minions[&play.first].entry.clone();
    let other = play.built.minions[&play.other].entry.clone();
    play.built.take_over();
    play.built
        .scheduler
        .upsert_minion(other.clone(), play.built.now);
    play.built.run(Duration::from_millis(1_500));
    play.built.take_over();
    play.built.scheduler.upsert_minion(other, play.built.now);
    play.built.scheduler.upsert_minion(own, play.built.now);
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.built.state(play.id), JobState::Completed);
}

/// Guards against the same within a term if no entry tells of the restart.
#[rstest]
fn a_start_at_an_incarnation_that_nothing_tells_of_makes_no_task_run_twice(
    #[values(6, 10, 30)] max_lease_s: u64,
) {
    let mut play = TwoMinions::new(Duration::from_secs(max_lease_s), JobId::new(2));
    play.built.run(Duration::from_secs(1));
    play.restart(50, 200_000);
    play.built.run(Duration::from_millis(60));
    play.built.faults.lost_reply_rate = 1.0;
    play.submit(90_000);
    play.built.run(Duration::from_millis(140));
    play.built.faults.lost_reply_rate = 0.0;
    assert_eq!(play.built.records.len(), 1);
    play.cut_off_unlisted();
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.built.state(play.id), JobState::Completed);
}
