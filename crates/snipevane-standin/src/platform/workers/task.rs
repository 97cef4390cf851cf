//! Simulated task on a worker.

use snipevane_proto::platform::{
    Resources, StartTask, TaskReport, TaskRun, TaskSpec, TaskState, WorkerRefusal,
};

/// Speed of an unthrottled task, in percent.
const FULL_SPEED: u8 = 100;

/// How and when a task ended, with the part of its work kept by a checkpoint (0 to 1).
#[derive(Clone, Copy, Debug)]
struct End {
    at_us: u64,
    state: TaskState,
    kept: f64,
}

/// A task whose state can be computed for any time since its start.
#[derive(Clone, Debug)]
pub(super) struct SimulatedTask {
    id: String,
    pub(super) epoch: u32,
    pub(super) reserved: Resources,
    spec: TaskSpec,
    start_us: u64,
    /// Progress when the speed was last set (0 to 1).
    progress_at_speed_change: f64,
    /// Speeds in percent, each with the time from which it applies (microseconds).
    speeds: Vec<(u64, u8)>,
    end: Option<End>,
}

impl SimulatedTask {
    /// Starts a task; its progress begins at the part kept by an earlier checkpoint.
    pub(super) fn start(
        id: String,
        epoch: u32,
        start: StartTask,
        now_us: u64,
    ) -> Result<Self, WorkerRefusal> {
        let spec = serde_json::from_value(start.spec).map_err(|_| WorkerRefusal::Malformed)?;
        Ok(Self {
            id,
            epoch,
            reserved: start.reserved,
            spec,
            start_us: now_us,
            progress_at_speed_change: start.kept.clamp(0.0, 1.0),
            speeds: vec![(now_us, FULL_SPEED)],
            end: None,
        })
    }

    /// Returns whether the task is running.
    pub(super) fn is_running(&self) -> bool {
        self.end.is_none()
    }

    /// Returns whether the task ended before `time_us`.
    pub(super) fn ended_before(&self, time_us: u64) -> bool {
        self.end.is_some_and(|end| end.at_us < time_us)
    }

    /// Ends the task if its work is finished by `now_us`.
    pub(super) fn advance(&mut self, now_us: u64) {
        if self.end.is_some() {
            return;
        }
        let (since, speed) = self.speed();
        let left_us = (1.0 - self.progress_at_speed_change) * self.spec.run_ms as f64 * 1000.0;
        let needed = left_us * f64::from(FULL_SPEED) / f64::from(speed);
        if speed == 0 || needed > (now_us.saturating_sub(since)) as f64 {
            return;
        }
        let state = if self.spec.fails {
            TaskState::Failed
        } else {
            TaskState::Done
        };
        self.end = Some(End {
            at_us: since + needed as u64,
            state,
            kept: self.progress_at_speed_change,
        });
    }

    /// Sets the speed in percent, capped at full speed.
    pub(super) fn throttle(&mut self, percent: u8, now_us: u64) {
        self.progress_at_speed_change = self.progress(now_us);
        self.speeds.push((now_us, percent.min(FULL_SPEED)));
    }

    /// Ends the task unless it has already ended; a checkpoint keeps its progress.
    pub(super) fn end(&mut self, state: TaskState, now_us: u64) {
        let kept = if state == TaskState::Checkpointed {
            self.progress(now_us)
        } else {
            0.0
        };
        self.end.get_or_insert(End {
            at_us: now_us,
            state,
            kept,
        });
    }

    /// Returns the worker's report on the task as of `time_us`, or `None` before the task's start.
    pub(super) fn report(&self, time_us: u64) -> Option<TaskReport> {
        if self.start_us > time_us {
            return None;
        }
        let end = self.end.filter(|end| end.at_us <= time_us);
        let speeds = self.speeds.iter().rev();
        let speed = speeds.clone().find(|(since, _)| *since <= time_us);
        let speed = speed.map_or(FULL_SPEED, |(_, speed)| *speed);
        Some(TaskReport {
            task: self.id.clone(),
            epoch: self.epoch,
            state: end.map_or(TaskState::Running, |end| end.state),
            used: self.used(if end.is_some() { 0 } else { speed }),
            kept: end.map_or(0.0, |end| end.kept),
        })
    }

    /// Returns the task's entry in the record.
    pub(super) fn run(&self, worker: &str) -> TaskRun {
        TaskRun {
            worker: worker.to_owned(),
            task: self.id.clone(),
            epoch: self.epoch,
            start_us: self.start_us,
            end_us: self.end.map_or(0, |end| end.at_us),
            state: self.end.map_or(TaskState::Running, |end| end.state),
        }
    }

    fn speed(&self) -> (u64, u8) {
        let latest = self.speeds.last().copied();
        latest.unwrap_or((self.start_us, FULL_SPEED))
    }

    fn progress(&self, now_us: u64) -> f64 {
        let (since, speed) = self.speed();
        let run_us = (self.spec.run_ms * 1000).max(1) as f64;
        let equivalent_us =
            now_us.saturating_sub(since) as f64 * f64::from(speed) / f64::from(FULL_SPEED);
        (self.progress_at_speed_change + equivalent_us / run_us).min(1.0)
    }

    fn used(&self, speed: u8) -> Resources {
        let uses = &self.spec.uses;
        let processors = u64::from(uses.processors_milli) * u64::from(speed);
        let has_ended = speed == 0 && self.end.is_some();
        Resources {
            processors_milli: u32::try_from(processors / u64::from(FULL_SPEED)).unwrap_or(u32::MAX),
            memory_mb: if has_ended { 0 } else { uses.memory_mb },
            accelerators: if has_ended { 0 } else { uses.accelerators },
        }
    }
}
