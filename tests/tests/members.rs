//! The list, heartbeats and signs combine; any source alone can say that a VM leaves.

use std::time::{Duration, Instant};

use rstest::rstest;
use snipevane_core::members::{ListEntry, Members, MembersLimits, Sign, VmView};

fn list(vms: &[(&str, bool)]) -> Vec<ListEntry> {
    let entry = |&(vm, leaving): &(&str, bool)| ListEntry {
        vm: vm.into(),
        leaving,
    };
    vms.iter().map(entry).collect()
}

fn listed(now: Instant) -> Members {
    let mut members = Members::new(MembersLimits::default());
    members.on_list(now, list(&[("a", false)]));
    members
}

#[rstest]
#[case(Sign::CloseHeader, VmView::Suspect)]
#[case(Sign::HealthDeclined, VmView::Suspect)]
#[case(Sign::LeavingHeader, VmView::Leaving)]
fn one_sign_stops_new_work_while_the_list_lags(#[case] sign: Sign, #[case] view: VmView) {
    let start = Instant::now();
    let mut members = listed(start);
    assert_eq!(members.view("a", start), VmView::Serving);
    members.on_sign(start, "a", sign);
    for second in 0..120 {
        let now = start + Duration::from_secs(second);
        members.on_list(now, list(&[("a", false)]));
        // Answers to running requests don't bring a leaving server back.
        members.on_sign(now, "a", Sign::AnsweredWell);
        assert_eq!(members.view("a", now), view, "after {second} s");
    }
}

#[rstest]
#[case(Sign::CloseHeader)]
#[case(Sign::HealthDeclined)]
#[case(Sign::LeavingHeader)]
fn a_health_check_after_the_sign_brings_a_vm_back(#[case] sign: Sign) {
    let start = Instant::now();
    let mut members = listed(start);
    members.on_sign(start, "a", sign);
    assert_eq!(members.checks_due(start), ["a"]);
    assert!(members.checks_due(start).is_empty());
    // Sent before the sign, perhaps.
    members.on_sign(start, "a", Sign::HealthWell);
    assert_ne!(members.view("a", start), VmView::Serving);
    let later = start + Duration::from_secs(1);
    members.on_sign(later, "a", Sign::HealthWell);
    assert_eq!(members.view("a", later), VmView::Serving);
}

#[test]
fn only_a_list_read_long_after_the_sign_lifts_a_doubt() {
    let start = Instant::now();
    let mut members = listed(start);
    members.on_sign(start, "a", Sign::CloseHeader);
    // The platform is away, so the list stays as it was.
    let later = start + Duration::from_secs(1_800);
    assert_eq!(members.view("a", later), VmView::Suspect);
    members.on_list(later, list(&[("a", false)]));
    assert_eq!(members.view("a", later), VmView::Serving);
}

#[test]
fn a_healthy_server_that_closes_each_connection_stays_in_service() {
    let start = Instant::now();
    let mut members = listed(start);
    members.on_sign(start, "a", Sign::CloseHeader);
    let later = start + Duration::from_secs(1);
    members.on_sign(later, "a", Sign::HealthWell);
    members.on_sign(later, "a", Sign::CloseHeader);
    assert_eq!(members.view("a", later), VmView::Serving);
    members.on_sign(later, "a", Sign::HealthDeclined);
    assert_eq!(members.view("a", later), VmView::Suspect);
}

#[test]
fn a_refused_connection_keeps_new_work_away_for_a_short_term() {
    let start = Instant::now();
    let mut members = listed(start);
    members.on_sign(start, "a", Sign::RefusedConnection);
    assert_eq!(members.view("a", start), VmView::Suspect);
    assert_eq!(
        members.view("a", start + Duration::from_secs(2)),
        VmView::Serving
    );
}

#[test]
fn only_the_list_says_gone() {
    let now = Instant::now();
    let mut members = listed(now);
    assert_eq!(members.view("b", now), VmView::Gone);
    members.on_heartbeat(now, "b", 7, false);
    assert_eq!(members.view("b", now), VmView::Serving);
    let later = now + Duration::from_secs(60);
    assert_eq!(members.view("b", later), VmView::Suspect);
    members.on_list(later, list(&[("b", false)]));
    assert_eq!(members.view("a", later), VmView::Gone);
    members.on_list(later, list(&[("a", false), ("b", false)]));
    assert_eq!(members.view("a", later), VmView::Serving);
}

#[test]
fn a_new_incarnation_serves_again_and_an_old_one_changes_nothing() {
    let now = Instant::now();
    let mut members = listed(now);
    members.on_heartbeat(now, "a", 5, false);
    members.on_heartbeat(now, "a", 5, true);
    members.on_list(now, list(&[("a", true)]));
    assert_eq!(members.view("a", now), VmView::Leaving);
    members.on_heartbeat(now, "a", 6, false);
    // The list still shows the former process.
    members.on_list(now, list(&[("a", true)]));
    assert_eq!(members.view("a", now), VmView::Serving);
    members.on_heartbeat(now, "a", 5, true);
    members.on_sign_of(now, "a", 5, Sign::LeavingHeader);
    assert_eq!(members.view("a", now), VmView::Serving);
    assert_eq!(members.incarnation("a"), Some(6));
    // A list that shows the VM as leaving after it showed it as live is a new word.
    members.on_list(now, list(&[("a", false)]));
    members.on_list(now, list(&[("a", true)]));
    assert_eq!(members.view("a", now), VmView::Leaving);
}
