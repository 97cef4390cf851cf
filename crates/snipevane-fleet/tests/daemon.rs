//! Integration tests with real daemons and a stand-in platform: each task runs once, also when the
//! store or the scheduler fails.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

#[allow(dead_code, reason = "the module is shared with other tests")]
mod site;

use std::time::{Duration, Instant};

use serde_json::json;
use site::{Site, call, call_with_wait, eventually};

const JOB: &str = "00000000000000aa";
const NEXT_JOB: &str = "00000000000000bb";

fn tasks(job: &str, count: u32) -> Vec<String> {
    (0..count).map(|task| format!("{job}.0.0.{task}")).collect()
}

#[test]
fn a_job_runs_to_completion() {
    let site = Site::start("whole", 2, 2);
    site.submit(0, JOB, 5, 100);
    site.wait_until_completed(1, JOB);
    assert_eq!(site.started(), tasks(JOB, 5));
    let callers = site.nodes[0].callers;
    // Submitting a job again has no effect.
    site.submit(1, JOB, 5, 100);
    assert_eq!(
        call(callers, "POST", &format!("/p/{NEXT_JOB}"), "other", "{}").0,
        401
    );
    assert_eq!(call(callers, "GET", "/nowhere/", "key", "").0, 404);
    assert_eq!(
        call(callers, "GET", &format!("/p/{NEXT_JOB}"), "key", "").0,
        410
    );
    let bad = call(
        callers,
        "POST",
        &format!("/p/{NEXT_JOB}"),
        "key",
        r#"{"phases":[]}"#,
    );
    assert_eq!(bad.0, 400);
    assert!(bad.1.contains("phases"), "{}", bad.1);
    // The count may be up to two seconds old.
    eventually("counted", || {
        let answer = call(callers, "GET", "/p/", "key", "");
        answer.1.contains(r#"{"pending":0}"#)
    });
    assert_eq!(site.started(), tasks(JOB, 5));
}

#[test]
fn a_cancelled_job_ends() {
    let site = Site::start("cancel", 1, 1);
    site.submit(0, JOB, 2, 60_000);
    eventually("started", || site.started().len() == 2);
    let answer = call(
        site.nodes[0].callers,
        "DELETE",
        &format!("/p/{JOB}"),
        "key",
        "",
    );
    assert_eq!(answer.0, 200);
    eventually("cancelled", || site.state(0, JOB).contains("cancelled"));
    assert_eq!(site.started(), tasks(JOB, 2));
}

#[test]
fn the_scheduler_goes_on_through_another_daemon_when_the_store_turns_it_away() {
    let site = Site::start("relay", 2, 2);
    let scheduler = site.scheduler().expect("a scheduler");
    // Waits until each daemon has read the addresses of the others, which it does every few
    // seconds.
    std::thread::sleep(std::time::Duration::from_secs(7));
    site.nodes[scheduler].store.set_unavailable(true);
    site.submit(1 - scheduler, JOB, 4, 200);
    site.wait_until_completed(scheduler, JOB);
    assert_eq!(site.row()["fence"], 1);
    assert_eq!(site.started(), tasks(JOB, 4));
}

#[test]
fn nothing_is_accepted_while_the_store_is_away_and_all_goes_on_after() {
    let site = Site::start("outage", 2, 2);
    site.submit(0, JOB, 4, 3_000);
    eventually("started", || site.started().len() == 4);
    for node in &site.nodes {
        node.store.set_unavailable(true);
    }
    let path = format!("/p/{NEXT_JOB}");
    let body = r#"{"spec":"50","phases":[{"replicas":1,"cpu":1000}]}"#;
    eventually("refused", || {
        call(site.nodes[0].callers, "POST", &path, "key", body).0 == 503
    });
    for node in &site.nodes {
        node.store.set_unavailable(false);
    }
    site.wait_until_completed(0, JOB);
    site.submit(0, NEXT_JOB, 1, 50);
    site.wait_until_completed(0, NEXT_JOB);
    assert_eq!(site.started().len(), 5, "each task ran once");
}

#[test]
fn tasks_go_on_under_the_next_scheduler_when_one_is_killed() {
    let mut site = Site::start("kill", 2, 2);
    let scheduler = site.scheduler().expect("a scheduler");
    site.submit(1 - scheduler, JOB, 6, 4_000);
    eventually("started", || site.started().len() == 6);
    site.nodes[scheduler].kill();
    site.wait_until_completed(1 - scheduler, JOB);
    assert_eq!(site.row()["fence"], 2);
    assert_eq!(site.started(), tasks(JOB, 6));
}

#[test]
fn a_stopped_scheduler_hands_over_and_exits_cleanly() {
    let mut site = Site::start("stop", 2, 2);
    let scheduler = site.scheduler().expect("a scheduler");
    site.submit(1 - scheduler, JOB, 6, 5_000);
    eventually("started", || site.started().len() == 6);
    assert!(site.nodes[scheduler].stop());
    site.submit(1 - scheduler, NEXT_JOB, 2, 50);
    site.wait_until_completed(1 - scheduler, NEXT_JOB);
    site.wait_until_completed(1 - scheduler, JOB);
    assert_eq!(site.row()["fence"], 2);
    assert_eq!(site.started().len(), 8, "each task ran once");
}

/// Guards against requests that a stopping daemon has read and doesn't answer, as the store takes long.
#[test]
fn a_request_is_answered_that_is_read_just_before_a_stopping_daemon_closes_its_connections() {
    /// Time after SIGTERM at which the request is sent, a little before connections are closed.
    const SENT_AFTER: Duration = Duration::from_millis(2_700);

    let mut site = Site::start("stop-slow", 2, 2);
    let stopped = 1 - site.scheduler().expect("a scheduler");
    let callers = site.nodes[stopped].callers;
    site.store
        .set_times(Duration::ZERO, Duration::from_millis(1_300));
    let caller = std::thread::spawn(move || {
        std::thread::sleep(SENT_AFTER);
        let body = r#"{"spec":"50","phases":[{"replicas":1,"cpu":1000}]}"#;
        call_with_wait(callers, "POST", &format!("/p/{JOB}"), "key", body, 6_000).0
    });
    assert!(site.nodes[stopped].stop());
    assert_ne!(caller.join().expect("a caller"), 0, "no complete answer");
}

#[test]
fn the_term_is_handed_to_a_much_larger_vm_and_taken_back_when_that_is_gone() {
    let mut site = Site::start("larger", 1, 2);
    site.submit(0, JOB, 6, 6_000);
    eventually("started", || site.started().len() == 6);
    site.add_node(8.0);
    eventually("the larger VM schedules", || site.scheduler() == Some(1));
    site.wait_until_completed(0, JOB);
    assert_eq!(site.row()["fence"], 2);
    assert_eq!(site.started(), tasks(JOB, 6));
    site.nodes[1].kill();
    eventually("the smaller VM schedules", || site.scheduler() == Some(0));
    site.submit(0, NEXT_JOB, 2, 50);
    site.wait_until_completed(0, NEXT_JOB);
    assert_eq!(site.started().len(), 8, "each task ran once");
}

/// Guards against a small VM that keeps the term although a much larger one is there, as it handed the term over
/// shortly before it won it again.
#[test]
fn a_term_that_a_small_vm_takes_back_is_handed_over_again() {
    // Far longer than the larger VM has to be present, and half of the pause after a handover that led nowhere.
    const HANDED_OVER_WITHIN: Duration = Duration::from_secs(15);
    let mut site = Site::start("again", 1, 1);
    site.add_node(8.0);
    eventually("the larger VM schedules", || site.scheduler() == Some(1));
    site.nodes[1].kill();
    eventually("the smaller VM schedules", || site.scheduler() == Some(0));
    let taken_back_at = Instant::now();
    site.restart_node(1, 8.0);
    eventually("the larger VM schedules again", || {
        site.scheduler() == Some(1)
    });
    assert!(taken_back_at.elapsed() < HANDED_OVER_WITHIN);
}

/// Two schedulers that are both running must not give orders for one VM shortly one after the other.
#[test]
fn the_term_is_not_handed_over_while_an_order_for_a_vm_is_unanswered() {
    let mut site = Site::start("order", 1, 1);
    // The next scheduler takes a minion that has started lately for one under maintenance.
    std::thread::sleep(Duration::from_secs(4));
    site.add_node(8.0);
    eventually("present", || {
        site.store.get("entry_vms", "order-1").is_some()
    });
    std::thread::sleep(Duration::from_millis(2_100));
    site.store.put("op", "wave/1", &site.vm_api.wave(1));
    eventually("the larger VM schedules", || site.scheduler() == Some(1));
    eventually("ordered", || !site.vm_api.holders().is_empty());
    std::thread::sleep(Duration::from_secs(3));
    let mut holders = site.vm_api.holders();
    holders.dedup();
    assert_eq!(holders.len(), 1, "{holders:?}");
}

#[test]
fn a_new_scheduler_reads_many_jobs_over_a_slow_link() {
    let mut site = Site::start("slow-link", 1, 1);
    site.submit(0, JOB, 2, 60_000);
    eventually("started", || site.started().len() == 2);
    // Their keys aren't those of jobs, so that they only make the table large.
    for number in 0..1_000 {
        let row = json!({ "filler": "x".repeat(2_000) });
        site.store.put("jobs", &format!("zz-{number:04}"), &row);
    }
    site.store.set_read_bandwidth(1_250_000.0);
    site.restart_node(0, 1.0);
    eventually("the next term", || site.row()["fence"] == 2);
    site.submit(0, NEXT_JOB, 2, 50);
    site.wait_until_completed(0, NEXT_JOB);
}

#[test]
fn a_scheduler_that_cannot_read_the_jobs_hands_the_term_to_a_much_larger_vm() {
    let mut site = Site::start("unread", 1, 1);
    for number in 0..100 {
        let row = json!({ "filler": "x".repeat(2_000) });
        site.store.put("jobs", &format!("zz-{number:04}"), &row);
    }
    site.store.set_read_bandwidth(20_000.0);
    site.restart_node(0, 1.0);
    eventually("the next term", || site.row()["fence"] == 2);
    site.add_node(8.0);
    eventually("the larger VM schedules", || site.scheduler() == Some(1));
    site.store.set_read_bandwidth(1_250_000.0);
    site.submit(0, JOB, 2, 50);
    site.wait_until_completed(0, JOB);
}

/// A write of the term must not grow with the fleet.
#[test]
fn minions_in_use_are_named_in_rows_of_their_own() {
    let site = Site::start("minion-rows", 1, 3);
    let named = || {
        let rows =
            (0..16).filter_map(|row| site.store.get("schedulers", &format!("minions-{row:02}")));
        let rows: Vec<String> = rows.map(|row| row.to_string()).collect();
        rows.concat()
    };
    eventually("all are named", || {
        let named = named();
        (0..3).all(|number| named.contains(&format!("i-{number}")))
    });
    assert!(!site.row().to_string().contains("i-0"), "{}", site.row());
}

/// A VM without a minion, as on standby, doesn't show whether it was ordered lately.
#[test]
fn a_new_term_orders_vms_at_once_that_the_earlier_term_has_left_alone() {
    let mut site = Site::start("left-alone", 1, 0);
    site.restart_node(0, 1.0);
    eventually("the next term", || site.row()["fence"] == 2);
    site.store.put("op", "wave/1", &site.vm_api.wave(1));
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(site.vm_api.holders().len(), 1, "orders for the VM");
}

/// A list of VMs that arrives late may not show the last orders of the term before.
#[test]
fn a_list_of_vms_that_arrives_late_after_a_takeover_is_not_used() {
    let mut site = Site::start("late-list", 1, 1);
    // The next scheduler takes a minion that has started lately for one under maintenance.
    std::thread::sleep(Duration::from_secs(4));
    site.vm_api
        .set_delays(Duration::from_millis(900), Duration::from_millis(1_000));
    site.store.put("op", "wave/1", &site.vm_api.wave(1));
    eventually("ordered", || site.vm_api.holders().len() == 1);
    site.restart_node(0, 1.0);
    eventually("the next term", || site.row()["fence"] == 2);
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(site.vm_api.holders().len(), 1, "orders for the VM");
}

#[test]
fn the_scheduler_tells_states_without_a_read_of_the_store() {
    let site = Site::start("states", 2, 2);
    let scheduler = site.scheduler().expect("a scheduler");
    site.submit(1 - scheduler, JOB, 2, 60_000);
    eventually("started", || site.started().len() == 2);
    eventually("a state without a read", || {
        let before = site.store.read_count("progress");
        let state = site.state(1 - scheduler, JOB);
        state.contains("in_progress") && site.store.read_count("progress") == before
    });
}

#[test]
fn a_job_is_accepted_while_the_scheduler_is_frozen_and_runs_once() {
    let mut site = Site::start("frozen", 2, 2);
    let scheduler = site.scheduler().expect("a scheduler");
    site.nodes[scheduler].suspend();
    site.submit(1 - scheduler, JOB, 3, 100);
    site.wait_until_completed(1 - scheduler, JOB);
    site.nodes[scheduler].resume();
    site.submit(scheduler, NEXT_JOB, 2, 100);
    site.wait_until_completed(scheduler, NEXT_JOB);
    assert_eq!(site.started().len(), 5, "each task ran once");
}

/// Sends the headers of a request and the first byte of its body, and leaves out the rest.
fn send_partial_request(callers: std::net::SocketAddr) -> std::net::TcpStream {
    use std::io::Write;
    let mut stream = std::net::TcpStream::connect(callers).expect("a connection");
    let head = format!(
        "POST /p/{NEXT_JOB} HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Api-Key: key\r\nContent-Length: 900\r\n\r\n{{"
    );
    stream
        .write_all(head.as_bytes())
        .expect("a partial request");
    stream
}

/// Guards against invalid input that disturbs other jobs: rows that can't be decoded, rows of other
/// writers, and callers that send invalid or incomplete requests.
#[test]
fn invalid_input_gets_its_own_error_and_affects_no_other_job() {
    let site = Site::start("bad", 2, 1);
    let callers = site.nodes[0].callers;
    site.store
        .put("servers", "stranger", &json!({ "service": 7 }));
    site.store.put("servers", "nowhere", &json!("text"));
    site.store
        .put("jobs", "0000000000000bad", &json!({ "steps": 1 }));
    site.store.put("progress", "no-identifier", &json!([]));
    site.store.put("op", "wave/x", &json!({ "machines": 5 }));
    let _stalled: Vec<_> = (0..20).map(|_| send_partial_request(callers)).collect();
    let job = format!("/p/{NEXT_JOB}");
    let large = format!(r#"{{"spec":"{}","phases":[{{}}]}}"#, "x".repeat(300_000));
    let long = format!(r#"{{"spec":"{}","phases":[{{}}]}}"#, "x".repeat(5_000));
    let cases = [
        ("not JSON", "POST", job.as_str(), "key", "nonsense", 400),
        (
            "another type",
            "POST",
            &job,
            "key",
            r#"{"phases":"x"}"#,
            400,
        ),
        ("no steps", "POST", &job, "key", r#"{"phases":[]}"#, 400),
        (
            "after itself",
            "POST",
            &job,
            "key",
            r#"{"phases":[{"after":[0]}]}"#,
            400,
        ),
        (
            "no tasks",
            "POST",
            &job,
            "key",
            r#"{"phases":[{"replicas":0}]}"#,
            400,
        ),
        (
            "too many tasks",
            "POST",
            &job,
            "key",
            r#"{"phases":[{"replicas":99999}]}"#,
            400,
        ),
        ("too large", "POST", &job, "key", &large, 413),
        ("too long a text", "POST", &job, "key", &long, 400),
        ("bad identifier", "POST", "/p/xyz", "key", "{}", 404),
        ("unknown key", "POST", &job, "other", "{}", 401),
        ("unknown path", "GET", "/nowhere/", "key", "", 404),
        ("unknown method", "PUT", &job, "key", "", 405),
        ("unknown job", "GET", &job, "key", "", 410),
    ];
    for (what, method, path, key, body, status) in cases {
        let answer = call(callers, method, path, key, body);
        assert_eq!(answer.0, status, "{what}: {}", answer.1);
    }
    site.submit(0, JOB, 2, 50);
    site.wait_until_completed(1, JOB);
    assert_eq!(site.started(), tasks(JOB, 2), "nothing else started");
}
