//! Tests of the simulated workers through the platform client: leases, epochs, tasks and reports.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use snipevane_core::clock::SystemClock;
use snipevane_platform::{
    LeaseRequest, PlatformClient, PlatformSettings, Resources, StartTask, TaskAction, TaskCommand,
    TaskReport, TaskState, ThrottleTask, WorkerError, WorkerRefusal, WorkerSpec, Workers,
};
use snipevane_proto::platform::PlatformFaults;
use snipevane_standin::{Platform, PlatformStandinSettings, RunningPlatform};

const LONG_MS: u64 = 600_000;

struct Fixture {
    platform: RunningPlatform,
    client: PlatformClient,
}

impl Fixture {
    /// Starts one worker with 4 processors, and acquires its lease under epoch 1.
    async fn start(report_lag_ms: u32, term_ms: u32) -> Self {
        let settings = PlatformStandinSettings {
            report_lag_ms,
            ..PlatformStandinSettings::default()
        };
        let platform = Platform::start(settings).await.unwrap();
        platform.set_workers(vec![WorkerSpec {
            id: "w".into(),
            zone: "a".into(),
            rack: "r".into(),
            capacity: processors(4),
        }]);
        let settings = PlatformSettings {
            address: platform.address(),
            request_timeout: Duration::from_millis(300),
            ..PlatformSettings::default()
        };
        let client = PlatformClient::new(settings, SystemClock);
        let fixture = Self { platform, client };
        fixture.lease("holder", 1, term_ms).await.unwrap();
        fixture
    }

    async fn lease(&self, holder: &str, epoch: u64, term_ms: u32) -> Result<(), WorkerError> {
        let req = LeaseRequest {
            worker: "w".into(),
            holder: holder.into(),
            epoch,
            term_ms,
        };
        self.client.lease(req).await
    }

    async fn command(
        &self,
        lease_epoch: u64,
        epoch: u32,
        action: TaskAction,
    ) -> Result<(), WorkerError> {
        let command = TaskCommand {
            worker: "w".into(),
            lease_epoch,
            task: "t".into(),
            epoch,
            action,
        };
        self.client.command(command).await
    }

    async fn task(&self) -> Option<TaskReport> {
        let mut reports = self.client.reports().await.unwrap();
        reports.remove(0).tasks.pop()
    }

    async fn wait_for_state(&self, state: TaskState) -> TaskReport {
        loop {
            if let Some(task) = self.task().await.filter(|task| task.state == state) {
                return task;
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    fn states(&self) -> Vec<(u32, TaskState)> {
        let runs = self.platform.record().task_runs;
        runs.iter().map(|run| (run.epoch, run.state)).collect()
    }
}

fn processors(count: u32) -> Resources {
    Resources {
        processors_milli: count * 1000,
        memory_mb: 1024,
        accelerators: 0,
    }
}

fn start(run_ms: u64) -> TaskAction {
    TaskAction::Start(StartTask {
        reserved: processors(3),
        kept: 0.0,
        spec: json!({ "run_ms": run_ms, "uses": processors(2) }),
    })
}

fn declined(refusal: WorkerRefusal) -> Result<(), WorkerError> {
    Err(WorkerError::Declined(refusal))
}

#[tokio::test]
async fn a_task_runs_to_its_end_and_is_reported_late() {
    let fixture = Fixture::start(200, 60_000).await;
    fixture.command(1, 1, start(50)).await.unwrap();
    assert_eq!(fixture.task().await, None);
    let running = fixture.wait_for_state(TaskState::Running).await;
    assert_eq!(running.used, processors(2));
    fixture.wait_for_state(TaskState::Done).await;
    let run = &fixture.platform.record().task_runs[0];
    assert_eq!(run.end_us - run.start_us, 50_000);
}

#[tokio::test]
async fn a_lapsed_lease_ends_its_tasks() {
    let fixture = Fixture::start(0, 100).await;
    fixture.command(1, 1, start(LONG_MS)).await.unwrap();
    fixture.wait_for_state(TaskState::Lapsed).await;
    let refused = fixture.command(1, 2, start(LONG_MS)).await;
    assert_eq!(refused, declined(WorkerRefusal::NoLease));
    fixture.lease("holder", 1, 60_000).await.unwrap();
    fixture.command(1, 2, start(LONG_MS)).await.unwrap();
    assert_eq!(
        fixture.states(),
        [(1, TaskState::Lapsed), (2, TaskState::Running)]
    );
}

/// Commands and lease requests of the previous holder have no effect once another took over.
#[tokio::test]
async fn a_higher_epoch_fences_the_former_holder() {
    let fixture = Fixture::start(0, 60_000).await;
    fixture.command(1, 5, start(LONG_MS)).await.unwrap();
    fixture.lease("other", 2, 60_000).await.unwrap();
    let stale = declined(WorkerRefusal::Stale);
    assert_eq!(fixture.lease("holder", 1, 60_000).await, stale);
    assert_eq!(fixture.lease("holder", 2, 60_000).await, stale);
    assert_eq!(fixture.command(1, 5, TaskAction::Stop).await, stale);
    assert_eq!(fixture.command(2, 4, start(LONG_MS)).await, stale);
    assert_eq!(fixture.states(), [(5, TaskState::Running)]);
}

#[tokio::test]
async fn a_start_that_is_sent_twice_runs_once() {
    let fixture = Fixture::start(0, 60_000).await;
    for _ in 0..2 {
        fixture.command(1, 1, start(LONG_MS)).await.unwrap();
    }
    assert_eq!(fixture.states(), [(1, TaskState::Running)]);
}

#[rstest]
#[case::checkpoint(TaskAction::Checkpoint, TaskState::Checkpointed)]
#[case::stop(TaskAction::Stop, TaskState::Stopped)]
#[tokio::test]
async fn a_command_ends_a_throttled_task(#[case] action: TaskAction, #[case] state: TaskState) {
    let fixture = Fixture::start(0, 60_000).await;
    fixture.command(1, 1, start(1_000)).await.unwrap();
    let half = TaskAction::Throttle(ThrottleTask { percent: 50 });
    fixture.command(1, 1, half).await.unwrap();
    assert_eq!(fixture.task().await.unwrap().used.processors_milli, 1_000);
    tokio::time::sleep(Duration::from_millis(100)).await;
    fixture.command(1, 1, action).await.unwrap();
    let report = fixture.wait_for_state(state).await;
    let run = &fixture.platform.record().task_runs[0];
    let ran = (run.end_us - run.start_us) as f64 / 1e6;
    if state == TaskState::Checkpointed {
        // The task runs at half speed from shortly after its start.
        assert!(report.kept > 0.0 && report.kept < ran);
    } else {
        assert!(report.kept == 0.0);
    }
}

#[tokio::test]
async fn a_worker_without_room_declines() {
    let fixture = Fixture::start(0, 60_000).await;
    fixture.command(1, 1, start(LONG_MS)).await.unwrap();
    let other = TaskCommand {
        worker: "w".into(),
        lease_epoch: 1,
        task: "other".into(),
        epoch: 1,
        action: start(LONG_MS),
    };
    let refused = fixture.client.command(other).await;
    assert_eq!(refused, declined(WorkerRefusal::NoRoom));
}

#[tokio::test]
async fn switches_make_workers_fail_or_freeze() {
    let fixture = Fixture::start(0, 60_000).await;
    fixture.platform.set_faults(PlatformFaults {
        failing_workers: vec!["w".into()],
        ..PlatformFaults::default()
    });
    fixture.command(1, 1, start(LONG_MS)).await.unwrap();
    fixture.wait_for_state(TaskState::Failed).await;
    fixture.platform.set_faults(PlatformFaults {
        frozen_workers: vec!["w".into()],
        ..PlatformFaults::default()
    });
    let error = fixture.command(1, 2, start(LONG_MS)).await;
    assert!(matches!(error, Err(WorkerError::Unknown(_))));
    assert_eq!(fixture.states(), [(1, TaskState::Failed)]);
}
