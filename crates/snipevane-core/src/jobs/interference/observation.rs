//! Measurements of interference from the run lists of minions.

use std::time::Duration;

use smol_str::SmolStr;

use super::track::{Neighbours, Track};
use crate::jobs::model::keys::{MinionKey, RunKey};
use crate::jobs::model::run::RunPhase;
use crate::jobs::running::long_running::READY_PERCENT;
use crate::jobs::scheduler::Scheduler;

/// Largest tail latency that counts as a figure, in milliseconds; a larger one is an error of the
/// minion.
const MAX_TAIL_MS: f64 = 60_000.0;

/// Number of runs beyond those that exist from which the measurements of ended runs are dropped.
const MAX_ENDED_TRACKS: usize = 64;

/// Latency-sensitive run that is ready, with its last figure.
#[derive(Clone, Debug)]
pub(in crate::jobs) struct LatencySensitiveRun {
    /// Key of the run.
    pub(in crate::jobs) key: RunKey,
    /// Image that it runs.
    pub(in crate::jobs) image: SmolStr,
    /// Target, in milliseconds.
    pub(in crate::jobs) target_ms: f64,
    /// Tail latency, in milliseconds.
    pub(in crate::jobs) tail_ms: f64,
}

impl Scheduler {
    /// Learns from the tail latencies in a minion's run list how its tasks interfere.
    pub(in crate::jobs) fn observe_interference(&mut self, key: MinionKey, now: Duration) {
        if !self.settings.separates_interfering_tasks {
            return;
        }
        let ready = self.latency_sensitive_runs(key);
        if ready.is_empty() {
            return;
        }
        let Some((best_effort, changed_at)) = self.settled_neighbours(key) else {
            return;
        };
        let is_steady = self.minions.get(key).is_some_and(|minion| {
            !minion.is_cold(now) && !minion.on_probation && now >= minion.slow_backoff_until
        });
        for run in &ready {
            let is_plausible = run.tail_ms > 0.0 && run.tail_ms <= MAX_TAIL_MS;
            if !is_steady || !is_plausible {
                self.interference.tracks.remove(&run.key);
                continue;
            }
            let neighbours = Neighbours {
                latency_sensitive: ready.len() - 1,
                ..best_effort.clone()
            };
            self.add_tail_figure(key, run, neighbours, changed_at, now);
        }
        self.drop_ended_tracks();
    }

    fn add_tail_figure(
        &mut self,
        key: MinionKey,
        run: &LatencySensitiveRun,
        neighbours: Neighbours,
        changed_at: Duration,
        now: Duration,
    ) {
        let Some(track) = self.interference.tracks.get_mut(&run.key) else {
            let track = Track::new(run.target_ms, neighbours, now);
            self.interference.tracks.insert(run.key, track);
            return;
        };
        if let Some(change) = track.add(run.tail_ms, neighbours, changed_at, now) {
            let event = self
                .interference
                .learn(&run.image, run.target_ms, key, &change, now);
            self.events.extend(event);
        }
    }

    fn drop_ended_tracks(&mut self) {
        let tracks = &mut self.interference.tracks;
        if tracks.len() > self.runs.len() + MAX_ENDED_TRACKS {
            tracks.retain(|run, _| self.runs.contains_key(*run));
        }
    }

    /// Returns the latency-sensitive runs of a minion that are ready.
    pub(in crate::jobs) fn latency_sensitive_runs(
        &self,
        key: MinionKey,
    ) -> Vec<LatencySensitiveRun> {
        let minion = self.minions.get(key);
        let runs = minion.into_iter().flat_map(|minion| &minion.runs);
        let ready = runs.filter_map(|&key| {
            let run = self.runs.get(key)?;
            let step = self.step_of(key)?;
            let is_ready = run.phase == RunPhase::Running && run.progress_percent >= READY_PERCENT;
            let is_measured = is_ready && step.tail_latency_target_ms > 0;
            is_measured.then(|| LatencySensitiveRun {
                key,
                image: self.image_of_run(key),
                target_ms: step.tail_latency_target_ms as f64,
                tail_ms: run.load,
            })
        });
        ready.collect()
    }

    /// Returns the image of a run; empty if the run is no longer known.
    pub(in crate::jobs) fn image_of_run(&self, key: RunKey) -> SmolStr {
        let job = self.runs.get(key).and_then(|run| self.jobs.get(run.job));
        let image = job.and_then(|job| Some(job.spec.image_of(self.step_of(key)?).clone()));
        image.unwrap_or_default()
    }

    /// Returns a minion's best-effort neighbours and the time of the last start or change of a share among
    /// them; `None` if one is in flight, so that the shares in force aren't known.
    fn settled_neighbours(&self, key: MinionKey) -> Option<(Neighbours, Duration)> {
        let minion = self.minions.get(key)?;
        let mut best_effort = 0;
        let mut changed_at = Duration::ZERO;
        let mut shares: Vec<(SmolStr, u32)> = Vec::new();
        for &key in &minion.runs {
            if !self.step_of(key).is_some_and(|step| step.best_effort) {
                continue;
            }
            let run = self.runs.get(key)?;
            if run.cpu_share_in_flight || run.phase == RunPhase::Starting {
                return None;
            }
            best_effort += 1;
            changed_at = changed_at.max(run.since).max(run.cpu_share_since?);
            let image = self.image_of_run(key);
            match shares.iter_mut().find(|(other, _)| *other == image) {
                Some((_, percent)) => *percent += run.cpu_share,
                None => shares.push((image, run.cpu_share)),
            }
        }
        shares.sort();
        let neighbours = Neighbours {
            shares,
            best_effort,
            latency_sensitive: 0,
        };
        Some((neighbours, changed_at))
    }
}
