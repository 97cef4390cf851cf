//! Tests of leases whose end was given on the clock of an earlier incarnation of the minion.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

mod two_minions;

use std::time::Duration;

use rstest::rstest;
use smol_str::SmolStr;
use snipevane_core::jobs::{
    HoldReply, JobId, JobState, OrderReply, Recipient, RunList, SchedulerSettings, StartOrder,
};
use snipevane_tests::jobs::{FakeMinion, JobSite, entry, job, site, step};

use two_minions::{DEFAULT_AGE, TwoMinions};

const START: Duration = Duration::from_secs(10);

/// Age of minions whose clocks are far ahead of those of their next incarnations.
const OLD: Duration = Duration::from_secs(60);

/// Time after which a call without an answer may still be carried out.
const LATE_CALL: Duration = Duration::from_millis(16_450);

/// Time for which a hold is sent again in vain.
const REPEATED_FOR: Duration = Duration::from_secs(1);

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
    let mut play = TwoMinions::in_site(built, DEFAULT_AGE, JobId::new(1));
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

/// Guards against a task that runs twice at the same time, because a hold that is sent again is carried out later than the
/// first one can be.
#[rstest]
fn a_lease_that_is_sent_again_counts_from_then(#[values(6, 10, 30)] max_lease_s: u64) {
    let max_lease = Duration::from_secs(max_lease_s);
    let mut play = TwoMinions::of_age(max_lease, OLD, JobId::new(2));
    let spec = job("p0", vec![step(1, 1_000, 90_000, &[])]);
    let earlier = play.built.submit(1, spec);
    play.built.run(Duration::from_secs(1));
    let sent_at = play.delay_lease();
    while play.delay_lease() < sent_at + REPEATED_FOR {}
    play.restart(100, 20);
    play.built.cancel(earlier);
    play.built.run(Duration::from_millis(300));
    play.submit(90_000);
    play.carry_out_after(LATE_CALL);
    play.cut_off_unlisted();
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.built.state(play.id), JobState::Completed);
}

/// Guards against a task that runs twice at the same time, because its start was answered on another clock and nothing else
/// has told of the restart.
#[rstest]
fn a_reply_on_another_clock_tells_of_a_restart(#[values(6, 10, 30)] max_lease_s: u64) {
    let mut play = TwoMinions::new(Duration::from_secs(max_lease_s), JobId::new(1));
    play.restart(50, 200_000);
    play.built.run(Duration::from_millis(60));
    play.built.faults.hold_delay_rate = 1.0;
    play.submit(90_000);
    while play.runs() == 0 {
        play.built.tick();
    }
    play.built.faults.hold_delay_rate = 0.0;
    play.cut_off_unlisted();
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.built.state(play.id), JobState::Completed);
}

/// Guards against a task that runs twice at the same time, because a call of the earlier term gave a lease to an
/// incarnation that has begun in the present one.
#[rstest]
fn a_call_of_the_earlier_term_counts_at_a_minion_that_restarts_in_the_next(
    #[values(6, 10, 30)] max_lease_s: u64,
) {
    let max_lease = Duration::from_secs(max_lease_s);
    let mut play = TwoMinions::of_age(max_lease, OLD, JobId::new(2));
    let spec = job("p0", vec![step(1, 1_000, 1_500, &[])]);
    play.built.submit(1, spec);
    play.built.run(Duration::from_millis(300));
    play.delay_lease();
    play.built.run(Duration::from_secs(4));
    play.built.take_over();
    play.built.run(Duration::from_millis(100));
    play.restart(50, 400);
    play.built.run(Duration::from_millis(60));
    play.built.carry_out_delayed_lease();
    play.built.run(Duration::from_millis(600));
    play.submit(90_000);
    play.built.run(Duration::from_millis(300));
    play.cut_off_unlisted();
    play.built.run(Duration::from_secs(160));
    assert_eq!(play.built.state(play.id), JobState::Completed);
}
