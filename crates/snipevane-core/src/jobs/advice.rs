//! Permits of the advisor, which alone knows which minions may run the steps of some queues.
//!
//! Answers queues whose steps only some minions may run, where each question takes as long as a
//! short task: minions with room are asked for first, a few at a time, and what was learned of a
//! step is kept for all its tasks.

use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use smol_str::SmolStr;

use super::action::Action;
use super::id::StepId;
use super::job::{JobKey, TaskRef};
use super::minion::MinionKey;
use super::queue::StepRef;
use super::scheduler::Scheduler;
use super::spec::StepSpec;

/// Minions that one question names; the objective of a step allows for one such question.
const MINIONS_PER_QUESTION: usize = 30;

/// Questions under way at a time; the advisor answers a caller's questions one by one.
const MAX_QUESTIONS: usize = 4;

/// Time before a permit's end from which it isn't used any more: an order takes that long.
const PERMIT_MARGIN: Duration = Duration::from_millis(300);

/// Pause after a question without an answer.
const QUESTION_RETRY: Duration = Duration::from_millis(300);

/// How the advisor answers for a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdviceTerms {
    /// Time that a question takes.
    pub per_question: Duration,
    /// Time that it takes longer for each minion that it names.
    pub per_minion: Duration,
    /// Time for which a permit holds.
    pub valid: Duration,
}

/// A question for the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceOrder {
    /// Step.
    pub step: StepId,
    /// Identifiers of the minions that are asked for.
    pub minions: Vec<SmolStr>,
    /// Time that the advisor takes with this question.
    pub takes: Duration,
    at: StepRef,
}

/// What came of a question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceReply {
    /// The minions that may run the step.
    Allowed {
        /// Identifiers of minions with their permits.
        permits: Vec<(SmolStr, SmolStr)>,
        /// Time for which the permits hold, if the answer tells it.
        valid: Option<Duration>,
    },
    /// No answer came, or too many questions wait.
    NoAnswer,
}

/// A permit for one step on one incarnation of a minion.
#[derive(Clone, Debug)]
struct Permit {
    token: SmolStr,
    born: Option<u64>,
    until: Duration,
}

/// What is known of a step.
#[derive(Clone, Debug, Default)]
struct StepPermits {
    permits: FxHashMap<MinionKey, Permit>,
    refused: FxHashSet<MinionKey>,
    in_flight: bool,
    retry_at: Duration,
}

/// Permits of all steps.
#[derive(Clone, Debug, Default)]
pub(super) struct Permits {
    steps: FxHashMap<StepRef, StepPermits>,
    in_flight: usize,
}

impl Permits {
    /// Forgets the permits of a job's steps.
    pub(super) fn forget(&mut self, job: JobKey) {
        self.steps.retain(|step, _| step.job != job);
    }

    /// Forgets a permit that a minion has refused.
    pub(super) fn refused(&mut self, at: StepRef, minion: MinionKey) {
        if let Some(step) = self.steps.get_mut(&at) {
            step.permits.remove(&minion);
        }
    }
}

impl Scheduler {
    /// Returns the terms of the advisor if it must allow the minions of a job's steps.
    pub(super) fn advice_terms(&self, job: JobKey) -> Option<AdviceTerms> {
        let queue = &self.jobs.get(job)?.spec.queue;
        self.site.queue(queue)?.advisor
    }

    /// Returns the permit for a step on a minion, if one holds.
    pub(super) fn permit(&self, at: StepRef, minion: MinionKey, now: Duration) -> Option<SmolStr> {
        let permit = self.permits.steps.get(&at)?.permits.get(&minion)?;
        let same_life = self.minions.get(minion)?.born == permit.born;
        (same_life && now < permit.until).then(|| permit.token.clone())
    }

    /// Asks the advisor for more minions of a step with waiting tasks.
    pub(super) fn ask_advisor(
        &mut self,
        at: StepRef,
        step: &StepSpec,
        terms: AdviceTerms,
        minions: &[MinionKey],
        now: Duration,
    ) {
        let known = self.permits.steps.entry(at).or_default();
        if known.in_flight || now < known.retry_at || self.permits.in_flight >= MAX_QUESTIONS {
            return;
        }
        let unknown = self.worth_asking(at, step, minions, now);
        if unknown.is_empty() {
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
        let count = u32::try_from(unknown.len()).unwrap_or(u32::MAX);
        let order = AdviceOrder {
            step: job.task_id(first).step,
            minions: unknown
                .iter()
                .map(|&key| self.minions[key].entry.id.clone())
                .collect(),
            takes: terms.per_question + terms.per_minion * count,
            at,
        };
        if let Some(known) = self.permits.steps.get_mut(&at) {
            known.in_flight = true;
        }
        self.permits.in_flight += 1;
        self.actions.push(Action::Ask(order));
    }

    /// Returns the minions to ask for: those that were allowed before, then those with most room.
    fn worth_asking(
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
        let unknown = minions.iter().copied().filter(|&key| {
            let minion = &self.minions[key];
            let label = step.label.as_ref();
            size.fits_in(&minion.room())
                && label.is_none_or(|label| minion.entry.labels.contains(label))
                && !known.refused.contains(&key)
                && self.permit(at, key, now).is_none()
        });
        let mut unknown: Vec<MinionKey> = unknown.collect();
        unknown.sort_by_key(|key| {
            let room = self.minions[*key].room().cpu_millis;
            (!known.permits.contains_key(key), u64::MAX - room)
        });
        unknown.truncate(MINIONS_PER_QUESTION);
        unknown
    }

    /// Takes in what came of a question that was sent at `asked_at`.
    pub fn advice_replied(
        &mut self,
        order: &AdviceOrder,
        reply: AdviceReply,
        asked_at: Duration,
        now: Duration,
    ) {
        self.permits.in_flight = self.permits.in_flight.saturating_sub(1);
        let terms = self.advice_terms(order.at.job).unwrap_or_default();
        let Some(known) = self.permits.steps.get_mut(&order.at) else {
            return;
        };
        known.in_flight = false;
        let AdviceReply::Allowed { permits, valid } = reply else {
            known.retry_at = now + QUESTION_RETRY;
            return;
        };
        let until = asked_at + valid.unwrap_or(terms.valid);
        let until = until.saturating_sub(PERMIT_MARGIN);
        let allowed: FxHashMap<SmolStr, SmolStr> = permits.into_iter().collect();
        for id in &order.minions {
            let Some(&key) = self.minion_ids.get(id) else {
                continue;
            };
            let born = self.minions.get(key).and_then(|minion| minion.born);
            match allowed.get(id) {
                Some(token) => {
                    let token = token.clone();
                    known.permits.insert(key, Permit { token, born, until });
                }
                None => {
                    known.refused.insert(key);
                }
            }
        }
    }
}
