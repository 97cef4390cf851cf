//! Membership combines the platform's list, heartbeats and health signals; any single source can
//! report a VM as leaving.

use std::time::{Duration, Instant};

use rstest::rstest;
use snipevane_core::members::{HealthSignal, ListEntry, Members, MembershipSettings, VmStatus};

fn list(vms: &[(&str, bool)]) -> Vec<ListEntry> {
    let entry = |&(vm, leaving): &(&str, bool)| ListEntry {
        vm: vm.into(),
        leaving,
    };
    vms.iter().map(entry).collect()
}

fn listed(now: Instant) -> Members {
    let mut members = Members::new(MembershipSettings::default());
    members.on_list(now, list(&[("a", false)]));
    members
}

#[rstest]
#[case(HealthSignal::CloseHeader, VmStatus::Suspect)]
#[case(HealthSignal::HealthCheckRejected, VmStatus::Suspect)]
#[case(HealthSignal::LeavingHeader, VmStatus::Leaving)]
fn one_signal_stops_new_work_while_the_list_lags(
    #[case] signal: HealthSignal,
    #[case] status: VmStatus,
) {
    let start = Instant::now();
    let mut members = listed(start);
    assert_eq!(members.status("a", start), VmStatus::Serving);
    members.on_signal(start, "a", signal);
    for second in 0..120 {
        let now = start + Duration::from_secs(second);
        members.on_list(now, list(&[("a", false)]));
        // Responses to running requests don't restore a leaving server to service.
        members.on_signal(now, "a", HealthSignal::RequestAnswered);
        assert_eq!(members.status("a", now), status, "after {second} s");
    }
}

#[rstest]
#[case(HealthSignal::CloseHeader)]
#[case(HealthSignal::HealthCheckRejected)]
#[case(HealthSignal::LeavingHeader)]
fn a_health_check_passed_after_the_signal_restores_service(#[case] signal: HealthSignal) {
    let start = Instant::now();
    let mut members = listed(start);
    members.on_signal(start, "a", signal);
    assert_eq!(members.checks_due(start), ["a"]);
    assert!(members.checks_due(start).is_empty());
    // The check may have been answered before the signal.
    members.on_signal(start, "a", HealthSignal::HealthCheckPassed);
    assert_ne!(members.status("a", start), VmStatus::Serving);
    let later = start + Duration::from_secs(1);
    members.on_signal(later, "a", HealthSignal::HealthCheckPassed);
    assert_eq!(members.status("a", later), VmStatus::Serving);
}

#[test]
fn only_a_list_read_long_after_the_signal_clears_a_suspicion() {
    let start = Instant::now();
    let mut members = listed(start);
    members.on_signal(start, "a", HealthSignal::CloseHeader);
    // The platform is unreachable, so the list isn't updated.
    let later = start + Duration::from_secs(1_800);
    assert_eq!(members.status("a", later), VmStatus::Suspect);
    members.on_list(later, list(&[("a", false)]));
    assert_eq!(members.status("a", later), VmStatus::Serving);
}

#[test]
fn a_healthy_server_that_closes_each_connection_stays_in_service() {
    let start = Instant::now();
    let mut members = listed(start);
    members.on_signal(start, "a", HealthSignal::CloseHeader);
    let later = start + Duration::from_secs(1);
    members.on_signal(later, "a", HealthSignal::HealthCheckPassed);
    members.on_signal(later, "a", HealthSignal::CloseHeader);
    assert_eq!(members.status("a", later), VmStatus::Serving);
    members.on_signal(later, "a", HealthSignal::HealthCheckRejected);
    assert_eq!(members.status("a", later), VmStatus::Suspect);
}

#[test]
fn a_refused_connection_stops_new_work_for_a_short_time() {
    let start = Instant::now();
    let mut members = listed(start);
    members.on_signal(start, "a", HealthSignal::ConnectionRefused);
    assert_eq!(members.status("a", start), VmStatus::Suspect);
    assert_eq!(
        members.status("a", start + Duration::from_secs(2)),
        VmStatus::Serving
    );
}

#[test]
fn only_the_list_reports_a_vm_as_gone() {
    let now = Instant::now();
    let mut members = listed(now);
    assert_eq!(members.status("b", now), VmStatus::Gone);
    members.on_heartbeat(now, "b", 7, false);
    assert_eq!(members.status("b", now), VmStatus::Serving);
    let later = now + Duration::from_secs(60);
    assert_eq!(members.status("b", later), VmStatus::Suspect);
    members.on_list(later, list(&[("b", false)]));
    assert_eq!(members.status("a", later), VmStatus::Gone);
    members.on_list(later, list(&[("a", false), ("b", false)]));
    assert_eq!(members.status("a", later), VmStatus::Serving);
}

#[test]
fn a_new_incarnation_serves_again_and_an_old_one_changes_nothing() {
    let now = Instant::now();
    let mut members = listed(now);
    members.on_heartbeat(now, "a", 5, false);
    members.on_heartbeat(now, "a", 5, true);
    members.on_list(now, list(&[("a", true)]));
    assert_eq!(members.status("a", now), VmStatus::Leaving);
    members.on_heartbeat(now, "a", 6, false);
    // The list still shows the previous process.
    members.on_list(now, list(&[("a", true)]));
    assert_eq!(members.status("a", now), VmStatus::Serving);
    members.on_heartbeat(now, "a", 5, true);
    members.on_incarnation_signal(now, "a", 5, HealthSignal::LeavingHeader);
    assert_eq!(members.status("a", now), VmStatus::Serving);
    assert_eq!(members.incarnation("a"), Some(6));
    // A list that shows the VM as leaving after it was shown as live is about the new process.
    members.on_list(now, list(&[("a", false)]));
    members.on_list(now, list(&[("a", true)]));
    assert_eq!(members.status("a", now), VmStatus::Leaving);
}
