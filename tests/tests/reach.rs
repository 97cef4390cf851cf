//! Release of the scheduler's term by a holder that a clear majority of the entry VMs can't reach.
//!
//! The load: 30 entry VMs, all of which reach the store, and cuts between some of them that begin, end and come
//! back. A holder cut off from most others must give its term up soon, once, and only then.

use std::time::Duration;

use rstest::rstest;
use smol_str::{SmolStr, format_smolstr};
use snipevane_core::reach::{Reach, ReachSettings};

const VMS: usize = 30;
const TICK: Duration = Duration::from_millis(250);
/// Interval at which an entry VM repeats its report.
const INTERVAL: Duration = Duration::from_millis(1_500);
const WON_AT: Duration = Duration::from_secs(10);

fn vm(number: usize) -> SmolStr {
    format_smolstr!("vm-{number}")
}

/// Lets the entry VMs up to `cut` report, and the others be heard, at each tick of this time; returns the time
/// from its start to the first tick at which the holder releases its term.
fn release_after(
    reach: &mut Reach,
    cut: usize,
    from: Duration,
    time: Duration,
) -> Option<Duration> {
    let mut now = from;
    while now < from + time {
        for number in 0..VMS {
            if number < cut {
                reach.record_report(&vm(number), INTERVAL, now);
            } else {
                reach.record_heard(&vm(number), now);
            }
        }
        if reach.should_release(now) {
            return Some(now - from);
        }
        now += TICK;
    }
    None
}

/// Callers behind a third of the VMs are served worse for a while; a handover would put the others in their place.
#[rstest]
#[case::a_third(10, false)]
#[case::half(15, false)]
#[case::two_thirds(20, true)]
#[case::all(30, true)]
fn only_a_holder_that_a_clear_majority_cannot_reach_releases(
    #[case] cut: usize,
    #[case] releases: bool,
) {
    let mut reach = Reach::new(ReachSettings::default(), WON_AT, false);
    let long_after = WON_AT + Duration::from_secs(20);
    let after = release_after(&mut reach, cut, long_after, Duration::from_secs(20));
    assert_eq!(after.is_some(), releases, "{after:?}");
    assert!(after.is_none_or(|after| after <= Duration::from_secs(1)));
}

/// A VM whose requests arrive but whose responses are lost isn't served.
#[test]
fn a_vm_that_is_heard_but_reports_counts_as_unreached() {
    let mut reach = Reach::new(ReachSettings::default(), WON_AT, false);
    let now = WON_AT + Duration::from_secs(5);
    for number in 0..VMS {
        reach.record_report(&vm(number), INTERVAL, now);
        reach.record_heard(&vm(number), now);
    }
    let counts = reach.counts(now);
    assert_eq!((counts.reached, counts.unreached), (1, VMS));
}

/// Reports are only repeated while they hold, so they expire.
#[test]
fn a_cut_that_has_ended_is_forgotten() {
    let mut reach = Reach::new(ReachSettings::default(), WON_AT, false);
    let short = Duration::from_millis(300);
    assert_eq!(release_after(&mut reach, 25, WON_AT, short), None);
    let healed = WON_AT + Duration::from_secs(5);
    let after = release_after(&mut reach, 0, healed, Duration::from_secs(20));
    assert_eq!(after, None);
}

/// While other entry VMs have yet to hear of a new holder, and after a release, the term stays.
#[rstest]
#[case::a_new_term(false, 3)]
#[case::a_term_after_a_release(true, 15)]
fn a_young_term_is_kept(#[case] after_release: bool, #[case] seconds: u64) {
    let mut reach = Reach::new(ReachSettings::default(), WON_AT, after_release);
    let after = release_after(&mut reach, 25, WON_AT, Duration::from_secs(30));
    assert_eq!(after, Some(Duration::from_secs(seconds)));
}

/// A cut that comes and goes, with the holder on its smaller side each time, must not move the term to and fro.
#[test]
fn a_flapping_cut_moves_the_term_a_few_times_a_minute_at_most() {
    let settings = ReachSettings::default();
    let mut reach = Reach::new(settings, WON_AT, false);
    let mut now = WON_AT;
    let mut releases = 0;
    while now < WON_AT + Duration::from_secs(60) {
        if release_after(&mut reach, 25, now, Duration::from_secs(2)).is_some() {
            releases += 1;
            reach = Reach::new(settings, now, true);
        }
        now += Duration::from_secs(2);
        release_after(&mut reach, 0, now, Duration::from_secs(2));
        now += Duration::from_secs(2);
    }
    assert!((1..=5).contains(&releases), "{releases} releases");
}

/// Guards against a rejection of a submission that an entry VM which has just fallen silent may still be storing.
#[test]
fn an_entry_vm_that_has_fallen_silent_leaves_the_reach_incomplete_until_its_work_is_settled() {
    let mut reach = Reach::new(ReachSettings::default(), WON_AT, false);
    let mut now = WON_AT;
    let hear = |reach: &mut Reach, vms: usize, now: Duration| {
        for number in 0..vms {
            reach.record_heard(&vm(number), now);
        }
    };
    hear(&mut reach, VMS, now);
    assert!(!reach.is_complete(now), "entry VMs that were never heard");
    let mut complete_after = None;
    while now < WON_AT + Duration::from_secs(40) {
        // One falls silent after 20 s.
        let silent = now >= WON_AT + Duration::from_secs(20);
        hear(&mut reach, if silent { VMS - 1 } else { VMS }, now);
        let elapsed = (now - WON_AT).as_millis();
        if elapsed == 19_750 {
            assert!(reach.is_complete(now));
        }
        if (22_000..29_000).contains(&elapsed) {
            assert!(!reach.is_complete(now), "{elapsed} ms");
        } else if elapsed >= 29_000 && reach.is_complete(now) {
            complete_after.get_or_insert(elapsed);
        }
        now += TICK;
    }
    assert_eq!(complete_after, Some(29_750));
}
