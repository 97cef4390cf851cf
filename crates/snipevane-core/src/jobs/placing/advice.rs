//! Permits from the advisor, a service that alone knows which minions may run the steps of some
//! queues.
//!
//! A request to the advisor takes as long as a short task. So a request names only a few minions,
//! those with most free capacity first, and its result is kept for all tasks of the step.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::jobs::action::Action;
use crate::jobs::minions::minion::Minion;
use crate::jobs::model::id::StepId;
use crate::jobs::model::keys::{JobKey, MinionKey, StepRef, TaskRef};
use crate::jobs::model::spec::StepSpec;
use crate::jobs::scheduler::Scheduler;

/// Largest number of minions that a request names. The latency objective of a step leaves time for
/// one request of this size.
const MAX_MINIONS_PER_REQUEST: usize = 30;

/// Largest number of requests in flight. The advisor answers the requests of a caller one by one.
const MAX_REQUESTS_IN_FLIGHT: usize = 4;

/// Time before a permit expires from which it is no longer used, since an order takes that long.
const PERMIT_MARGIN: Duration = Duration::from_millis(300);

/// Delay before a step is asked about again after a request without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Settings of the advisor for a queue: how long it takes to answer and how long permits hold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdvisorSettings {
    /// Time that the advisor takes for a request, apart from the minions that it names.
    pub base_latency: Duration,
    /// Additional time for each minion that a request names.
    pub latency_per_minion: Duration,
    /// Time for which a permit is valid if the answer doesn't say.
    pub validity: Duration,
}

/// A request to the advisor: which of these minions may run a step?
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Step whose tasks wait.
    pub step: StepId,
    /// Identifiers of the minions in question.
    pub minions: Vec<SmolStr>,
    /// Time that the advisor takes for this request.
    pub expected_latency: Duration,
    at: StepRef,
}

/// Outcome of a request to the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceReply {
    /// The advisor named the minions that may run the step.
    Allowed {
        /// Identifiers of the allowed minions, with their permits.
        permits: Vec<(SmolStr, SmolStr)>,
        /// Time for which the permits are valid, if the answer says so.
        validity: Option<Duration>,
    },
    /// No answer came, or too many requests are queued at the advisor.
    NoAnswer,
}

/// A permit for one step on one incarnation of a minion.
#[derive(Clone, Debug)]
struct Permit {
    token: SmolStr,
    incarnation: Option<u64>,
    expires_at: Duration,
}

/// What the advisor has answered for a step, and the state of its requests.
#[derive(Clone, Debug, Default)]
struct StepPermits {
    permits: FxHashMap<MinionKey, Permit>,
    denied: FxHashSet<MinionKey>,
    in_flight: bool,
    retry_at: Duration,
}

/// Permits and requests of all steps.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct Permits {
    steps: FxHashMap<StepRef, StepPermits>,
    in_flight: usize,
}

impl Permits {
    /// Removes the permits of a job's steps.
    pub(in crate::jobs) fn remove_job(&mut self, job: JobKey) {
        self.steps.retain(|step, _| step.job != job);
    }

    /// Removes a permit that a minion has refused.
    pub(in crate::jobs) fn remove(&mut self, at: StepRef, minion: MinionKey) {
        if let Some(step) = self.steps.get_mut(&at) {
            step.permits.remove(&minion);
        }
    }
}

impl Scheduler {
    /// Returns the settings of the advisor if the steps of a job need its permits.
    pub(in crate::jobs) fn advisor_settings(&self, job: JobKey) -> Option<AdvisorSettings> {
        self.jobs.get(job)?.terms.advisor
    }

    /// Returns the permit for a step on a minion's present incarnation, if there is a valid one.
    pub(in crate::jobs) fn permit(
        &self,
        at: StepRef,
        minion: MinionKey,
        now: Duration,
    ) -> Option<SmolStr> {
        let permit = self.permits.steps.get(&at)?.permits.get(&minion)?;
        let same_incarnation = self.minions.get(minion)?.incarnation() == permit.incarnation;
        (same_incarnation && now < permit.expires_at).then(|| permit.token.clone())
    }

    /// Asks the advisor for more minions for a step with waiting tasks.
    pub(in crate::jobs) fn ask_advisor(
        &mut self,
        at: StepRef,
        step: &StepSpec,
        settings: AdvisorSettings,
        minions: &[MinionKey],
        now: Duration,
    ) {
        let known = self.permits.steps.entry(at).or_default();
        if known.in_flight
            || now < known.retry_at
            || self.permits.in_flight >= MAX_REQUESTS_IN_FLIGHT
        {
            return;
        }
        let candidates = self.advice_candidates(at, step, minions, now);
        if candidates.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get(at.job) else {
            return;
        };
        let first = TaskRef {
            occurrence: at.occurrence,
            step: at.step,
            index: 0,
        };
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let request = AdviceRequest {
            step: job.task_id(first).step,
            minions: candidates
                .iter()
                .map(|&key| self.minions[key].entry.id.clone())
                .collect(),
            expected_latency: settings.base_latency + settings.latency_per_minion * count,
            at,
        };
        if let Some(known) = self.permits.steps.get_mut(&at) {
            known.in_flight = true;
        }
        self.permits.in_flight += 1;
        self.actions.push(Action::RequestAdvice(request));
    }

    /// Returns the minions that a request names: those that were allowed before, then those with
    /// most free processors.
    fn advice_candidates(
        &self,
        at: StepRef,
        step: &StepSpec,
        minions: &[MinionKey],
        now: Duration,
    ) -> Vec<MinionKey> {
        let Some(known) = self.permits.steps.get(&at) else {
            return Vec::new();
        };
        let size = step.allocated_size();
        let candidates = minions.iter().copied().filter(|&key| {
            let minion = &self.minions[key];
            let label = step.label.as_ref();
            size.fits_in(&minion.free_capacity())
                && label.is_none_or(|label| minion.entry.labels.contains(label))
                && !known.denied.contains(&key)
                && self.permit(at, key, now).is_none()
        });
        let mut candidates: Vec<MinionKey> = candidates.collect();
        candidates.sort_by_key(|key| {
            let free_millis = self.minions[*key].free_capacity().cpu_millis;
            (!known.permits.contains_key(key), u64::MAX - free_millis)
        });
        candidates.truncate(MAX_MINIONS_PER_REQUEST);
        candidates
    }

    /// Applies the outcome of a request that was sent at `asked_at`.
    pub fn advice_replied(
        &mut self,
        request: &AdviceRequest,
        reply: AdviceReply,
        asked_at: Duration,
        now: Duration,
    ) {
        self.permits.in_flight = self.permits.in_flight.saturating_sub(1);
        let settings = self.advisor_settings(request.at.job).unwrap_or_default();
        let Some(known) = self.permits.steps.get_mut(&request.at) else {
            return;
        };
        known.in_flight = false;
        let AdviceReply::Allowed { permits, validity } = reply else {
            known.retry_at = now + RETRY_DELAY;
            return;
        };
        let expires_at = asked_at + validity.unwrap_or(settings.validity);
        let expires_at = expires_at.saturating_sub(PERMIT_MARGIN);
        let allowed: FxHashMap<SmolStr, SmolStr> = permits.into_iter().collect();
        for id in &request.minions {
            let Some(&key) = self.minion_ids.get(id) else {
                continue;
            };
            let incarnation = self.minions.get(key).and_then(Minion::incarnation);
            match allowed.get(id) {
                Some(token) => {
                    let token = token.clone();
                    known.permits.insert(
                        key,
                        Permit {
                            token,
                            incarnation,
                            expires_at,
                        },
                    );
                }
                None => {
                    known.denied.insert(key);
                }
            }
        }
    }
}
