//! A process that watches the scheduler's heartbeats takes over neither too early nor too late.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::time::Duration;

use snipevane_adapter::rows::Row;
use snipevane_core::jobs::AdmissionSnapshot;
use snipevane_core::term::TermSettings;
use snipevane_fleet::peers::messages::{AdmissionReport, Heartbeat};
use snipevane_fleet::rows::{self, SCHEDULER_KEY, SCHEDULERS_TABLE, SchedulerRow};
use snipevane_fleet::scheduling::SchedulerView;

const START: Duration = Duration::from_secs(100);

fn after(millis: u64) -> Duration {
    START + Duration::from_millis(millis)
}

fn row(version: u64) -> Row {
    let row = SchedulerRow {
        holder: "a".into(),
        address: "10.0.0.1:7000".into(),
        ..SchedulerRow::default()
    };
    Row {
        table: SCHEDULERS_TABLE.into(),
        key: SCHEDULER_KEY.into(),
        value: Some(rows::encode(&row)),
        version,
    }
}

/// Returns a row that was sent when the store's clock showed `clock_ms` at the latest.
fn row_sent_at(version: u64, clock_ms: u64) -> Row {
    let sent = SchedulerRow {
        sent_clock_ms: Some(clock_ms),
        ..SchedulerRow::default()
    };
    Row {
        value: Some(rows::encode(&sent)),
        ..row(version)
    }
}

fn heartbeat(version: u64) -> Heartbeat {
    Heartbeat {
        version,
        observer_wait_ms: None,
        waiting: None,
        config_version: 1,
        config_age_ms: None,
        largest_candidate: None,
        grant: None,
        admission: None,
    }
}

fn view_at_start(version: u64) -> (TermSettings, SchedulerView) {
    let settings = TermSettings::default();
    let mut view = SchedulerView::default();
    view.record_read(&settings, Some(&row(version)), 0, START);
    // Reads again, as the first read counts as one after an outage of the store.
    view.record_read(&settings, Some(&row(version)), 0, after(100));
    (settings, view)
}

#[test]
fn a_free_term_is_left_to_larger_vms_for_a_while() {
    let (settings, mut view) = view_at_start(5);
    let free_at = settings.term + settings.margin;
    let delay = settings.smaller_vm_delay;
    assert!(view.is_free(&settings, START + free_at));
    assert!(!view.is_free_for(&settings, delay, START + free_at));
    assert!(view.is_free_for(&settings, delay, START + free_at + delay));

    let released = SchedulerRow {
        released: true,
        ..SchedulerRow::default()
    };
    let row = Row {
        value: Some(rows::encode(&released)),
        ..row(6)
    };
    view.record_read(&settings, Some(&row), 0, after(200));
    assert!(view.is_free(&settings, after(200)));
    assert!(!view.is_free_for(&settings, delay, after(200)));
    assert!(view.is_free_for(&settings, delay, after(200) + delay));
}

#[test]
fn a_scheduler_that_writes_keeps_its_term_without_reads_of_the_store() {
    let (settings, mut view) = view_at_start(5);
    for step in 1..20 {
        assert!(view.record_heartbeat(&settings, heartbeat(5 + step), after(400 * step)));
    }
    assert!(!view.is_free(&settings, after(400 * 20)));
    assert_eq!(view.version(), 24);
}

#[test]
fn heartbeats_without_a_new_version_do_not_delay_takeover() {
    let (settings, mut view) = view_at_start(5);
    view.record_heartbeat(&settings, heartbeat(6), after(1_000));
    for millis in (1_100..2_500).step_by(100) {
        view.record_heartbeat(&settings, heartbeat(6), after(millis));
    }
    let free_at = 1_000 + (settings.term + settings.margin).as_millis() as u64;
    assert!(!view.is_free(&settings, after(free_at - 1)));
    assert!(view.is_free(&settings, after(free_at)));
    assert!(!view.record_heartbeat(&settings, heartbeat(6), after(free_at)));
}

/// A process that was suspended until its term had ended may still send its last heartbeat.
#[test]
fn the_heartbeat_of_a_former_scheduler_is_ignored() {
    let (settings, mut view) = view_at_start(9);
    assert!(!view.record_heartbeat(&settings, heartbeat(8), after(200)));
    assert_eq!(view.version(), 9);
    assert_eq!(view.reachable_address(after(200)), None);
}

#[test]
fn a_scheduler_that_does_not_answer_is_not_asked_for_a_while() {
    let (settings, mut view) = view_at_start(5);
    assert!(view.record_heartbeat(&settings, heartbeat(6), after(200)));
    assert!(view.reachable_address(after(300)).is_some());
    view.record_call_failure(after(400));
    assert_eq!(view.watch_address(after(1_300)), None);
    assert!(view.watch_address(after(1_500)).is_some());
    assert_eq!(
        view.reachable_address(after(1_500)),
        None,
        "not heard again yet"
    );
}

/// Guards against a large VM that the next scheduler doesn't know as a candidate, so that a small one takes over
/// from it at once: the large one had just failed to reach the scheduler before.
#[test]
fn a_failed_request_to_a_former_scheduler_delays_none_to_the_next() {
    let (settings, mut view) = view_at_start(5);
    assert!(view.record_heartbeat(&settings, heartbeat(6), after(200)));
    view.record_call_failure(after(2_000));
    let next = SchedulerRow {
        holder: "b".into(),
        address: "10.0.0.2:7000".into(),
        fence: 1,
        ..SchedulerRow::default()
    };
    let next = Row {
        value: Some(rows::encode(&next)),
        ..row(7)
    };
    view.record_read(&settings, Some(&next), 0, after(2_100));
    let address = view.watch_address(after(2_100));
    assert_eq!(address, "10.0.0.2:7000".parse().ok());
}

/// Guards against submissions that don't go to the next scheduler, as one to the scheduler before fails late.
#[test]
fn a_request_to_a_former_scheduler_that_fails_late_delays_none_to_the_next() {
    let former = "10.0.0.2:7000".parse().expect("an address");
    let present = "10.0.0.1:7000".parse().expect("an address");
    let (settings, mut view) = view_at_start(5);
    assert!(view.record_heartbeat(&settings, heartbeat(6), after(200)));
    view.record_call_failure_at(former, after(300));
    assert_eq!(view.reachable_address(after(300)), Some(present));
    view.record_call_failure_at(present, after(300));
    assert_eq!(view.reachable_address(after(300)), None);
}

/// Guards against a holder that releases its term as most entry VMs can't reach it, and wins it again itself.
#[test]
fn a_holder_that_releases_its_term_for_its_reach_leaves_it_to_others() {
    let (settings, mut view) = view_at_start(5);
    let released = SchedulerRow {
        released: true,
        released_unreached: true,
        ..SchedulerRow::default()
    };
    view.record_write(&settings, released, 6, after(200));
    assert!(view.is_released_for_others(after(300)));
}

/// Guards against a late response about a state that counts as an unreachable scheduler, so that submissions are
/// written past it and heartbeats aren't awaited for a second.
#[test]
fn a_late_state_leaves_all_but_states_to_the_scheduler() {
    let (settings, mut view) = view_at_start(5);
    assert!(view.record_heartbeat(&settings, heartbeat(6), after(200)));
    assert!(view.state_address(after(300)).is_some());
    view.record_state_overdue(after(600));
    assert!(view.watch_address(after(700)).is_some());
    assert!(view.reachable_address(after(700)).is_some());
    assert_eq!(view.state_address(after(700)), None);
    assert!(view.record_heartbeat(&settings, heartbeat(7), after(1_500)));
    assert!(view.state_address(after(1_600)).is_some());
}

/// A holder that lost power is noticed by a request without an answer; its last row is read after that.
#[test]
fn a_row_that_is_read_late_delays_no_takeover() {
    let (settings, mut view) = view_at_start(5);
    let row = row_sent_at(6, 10_000);
    // The store's clock shows that the row is 500 ms old.
    view.record_read(&settings, Some(&row), 10_500, after(700));
    let free_at = 200 + (settings.term + settings.margin).as_millis() as u64;
    assert!(!view.is_free(&settings, after(free_at - 1)));
    assert!(view.is_free(&settings, after(free_at)));
}

/// A process that starts reads an old row first, while the holder may be renewing after an outage.
#[test]
fn the_first_read_of_an_old_row_leaves_the_holder_time_to_renew() {
    let settings = TermSettings::default();
    let row = row_sent_at(6, 10_000);
    let mut view = SchedulerView::default();
    view.record_read(&settings, Some(&row), 70_000, START);
    assert!(!view.is_free(&settings, START));
    assert!(view.is_free(&settings, START + settings.outage_grace));
}

fn admission_report(taken_after_ms: i64) -> Option<AdmissionReport> {
    Some(AdmissionReport {
        snapshot: AdmissionSnapshot::default(),
        taken_after_ms,
    })
}

/// Guards against an old snapshot that is taken for a recent one because its response was read late, as by a
/// process that was suspended.
#[test]
fn the_age_of_an_admission_snapshot_counts_from_the_request() {
    let (_, mut view) = view_at_start(5);
    let taken_at = |view: &SchedulerView| view.admission_snapshot().map(|(_, at)| at);
    assert_eq!(taken_at(&view), None);
    view.record_admission(admission_report(200), after(300));
    assert_eq!(taken_at(&view), Some(after(500)));
    view.record_admission(admission_report(-100), after(300));
    assert_eq!(taken_at(&view), Some(after(200)));
    view.record_admission(None, after(900));
    assert_eq!(taken_at(&view), None);
}

/// Guards against rejections by what a former scheduler knew: a row that was read may be another one's.
#[test]
fn a_row_that_was_read_makes_the_admission_snapshot_invalid() {
    let (settings, mut view) = view_at_start(5);
    view.record_admission(admission_report(0), after(300));
    view.record_read(&settings, Some(&row(6)), 0, after(400));
    assert!(view.admission_snapshot().is_none());
}

/// Guards against a release that doesn't understand the heartbeats of the one before, or the other way round.
#[test]
fn heartbeats_of_old_and_new_processes_are_understood() {
    let old = br#"{"version":5,"waiting":null,"config_version":1,"config_age_ms":null}"#;
    let decoded = rows::decode::<Heartbeat>("heartbeat", old);
    assert_eq!(decoded, Some(heartbeat(5)));
    let encoded = rows::encode(&heartbeat(5));
    let text = String::from_utf8(encoded).expect("JSON");
    assert!(!text.contains("admission"), "{text}");
}

/// A store that carries four writes a second takes over a second to answer one; the holder must not be
/// followed meanwhile, and a killed holder is followed once the requested time is over.
#[test]
fn a_holder_that_asks_for_more_time_is_followed_later() {
    let (settings, mut view) = view_at_start(5);
    let slow = Heartbeat {
        observer_wait_ms: Some(3_000),
        ..heartbeat(6)
    };
    assert!(view.record_heartbeat(&settings, slow, after(1_000)));
    let free_at = 4_000 + settings.margin.as_millis() as u64;
    assert!(!view.is_free(&settings, after(free_at - 1)));
    assert!(view.is_free(&settings, after(free_at)));
    // The next write is as fast as usual, and asks for no more time.
    view.record_heartbeat(&settings, heartbeat(7), after(2_000));
    let free_at = 2_000 + (settings.term + settings.margin).as_millis() as u64;
    assert!(view.is_free(&settings, after(free_at)));
}

/// A row that asks for too long or too little a time must neither block takeovers nor cut a term short.
#[test]
fn the_time_for_which_a_row_may_ask_is_bounded() {
    let settings = TermSettings::default();
    for (asked_ms, waits) in [(0, settings.term), (60_000, settings.max_observer_wait)] {
        let (_, mut view) = view_at_start(5);
        let asking = Heartbeat {
            observer_wait_ms: Some(asked_ms),
            ..heartbeat(6)
        };
        view.record_heartbeat(&settings, asking, after(200));
        let free_at = after(200) + waits + settings.margin;
        assert!(!view.is_free(&settings, free_at - Duration::from_millis(1)));
        assert!(view.is_free(&settings, free_at));
    }
}

/// Guards against a takeover that relies on silent minions which the holder may have granted leases since: a heartbeat
/// tells that the row has changed, not what it contains.
#[test]
fn silent_minions_are_forgotten_with_a_newer_version_until_the_row_is_read() {
    let silent = SchedulerRow {
        silent_minions: vec![("m".into(), 5_000)],
        ..SchedulerRow::default()
    };
    let silent_row = |version| Row {
        value: Some(rows::encode(&silent)),
        ..row(version)
    };
    let (settings, mut view) = view_at_start(5);
    view.record_read(&settings, Some(&silent_row(6)), 0, after(200));
    view.record_heartbeat(&settings, heartbeat(6), after(300));
    let known = |view: &SchedulerView| view.row.as_ref().map(|row| row.silent_minions.len());
    assert_eq!(known(&view), Some(1));
    view.record_heartbeat(&settings, heartbeat(7), after(400));
    assert_eq!(known(&view), Some(0));
    view.record_read(&settings, Some(&silent_row(7)), 0, after(500));
    assert_eq!(known(&view), Some(1));
}
