//! Callers that send non-idempotent requests, retry them anywhere, and remember every outcome.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use snipevane_proto::headers::Outcome;
use tokio::task::JoinSet;
use tokio::time::sleep;
use uuid::Uuid;

use super::{Answer, Caller};

/// Pause between two attempts.
const PAUSE: Duration = Duration::from_millis(40);

/// What callers send.
#[derive(Clone, Debug)]
pub struct Load {
    /// Queue that gets the requests.
    pub queue: &'static str,
    /// Callers at once.
    pub callers: usize,
    /// Requests that each caller sends one after the other.
    pub requests: usize,
    /// Time that a backend server runs each request, in milliseconds.
    pub run_ms: u32,
    /// Time that each request has, in milliseconds.
    pub deadline_ms: u32,
    /// Attempts for one identifier.
    pub attempts: u32,
    /// Seed of the choice of entry VMs.
    pub seed: u64,
}

impl Load {
    /// Gives each request so much time that a busy machine doesn't decide the outcome.
    #[must_use]
    pub fn patient(self) -> Self {
        Self {
            deadline_ms: 30_000,
            ..self
        }
    }
}

impl Default for Load {
    fn default() -> Self {
        Self {
            queue: "rollups",
            callers: 16,
            requests: 30,
            run_ms: 15,
            deadline_ms: 1_500,
            attempts: 4,
            seed: 7,
        }
    }
}

/// What came of one attempt.
#[derive(Clone, Debug)]
pub enum Attempt {
    /// A whole answer, with its outcome.
    Answered(Answer),
    /// The entry VM says that the request didn't run.
    NotRun(String),
    /// Nothing is known: no whole answer, or the entry VM says so.
    Unknown(String),
}

/// All attempts, by identifier.
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    /// Attempts in the order in which they were made.
    pub by_id: BTreeMap<String, Vec<Attempt>>,
}

impl Outcomes {
    /// Returns the number of identifiers with an answer.
    pub fn answered(&self) -> usize {
        self.by_id.len() - self.unanswered().len()
    }

    /// Returns the attempts for identifiers without an answer.
    pub fn unanswered(&self) -> Vec<(&str, &[Attempt])> {
        let answered = |attempts: &[Attempt]| {
            attempts
                .iter()
                .any(|attempt| matches!(attempt, Attempt::Answered(_)))
        };
        let attempts = self
            .by_id
            .iter()
            .map(|(id, attempts)| (id.as_str(), attempts.as_slice()));
        attempts
            .filter(|(_, attempts)| !answered(attempts))
            .collect()
    }

    /// Checks every outcome against what the backend servers recorded.
    ///
    /// # Panics
    ///
    /// Panics with the identifier whose outcome is wrong.
    pub fn check(&self, runs: &BTreeMap<String, usize>) {
        for (id, attempts) in &self.by_id {
            let ran = runs.get(id).copied().unwrap_or(0);
            assert!(ran <= 1, "{id} ran {ran} times: {attempts:?}");
            let mut answers = attempts.iter().filter_map(|attempt| match attempt {
                Attempt::Answered(answer) => Some(answer),
                _ => None,
            });
            if let Some(first) = answers.next() {
                assert_eq!(ran, 1, "{id} was answered and didn't run: {attempts:?}");
                assert!(
                    answers.all(|answer| answer.body == first.body),
                    "{id}: {attempts:?}"
                );
            }
            if attempts
                .iter()
                .all(|attempt| matches!(attempt, Attempt::NotRun(_)))
            {
                assert_eq!(ran, 0, "{id} ran and was refused as not run: {attempts:?}");
            }
        }
    }
}

/// Sends a load for a team to all entry VMs.
///
/// # Panics
///
/// Panics if a caller's task does.
pub async fn send_load(entries: &[Caller], key: &str, load: &Load) -> Outcomes {
    let callers: Vec<Caller> = entries
        .iter()
        .map(|entry| entry.clone().with_key(key))
        .collect();
    let mut tasks = JoinSet::new();
    for number in 0..load.callers {
        tasks.spawn(call_in_turn(callers.clone(), load.clone(), number as u64));
    }
    let mut outcomes = Outcomes::default();
    while let Some(part) = tasks.join_next().await {
        outcomes.by_id.extend(part.unwrap().by_id);
    }
    outcomes
}

async fn call_in_turn(callers: Vec<Caller>, load: Load, number: u64) -> Outcomes {
    let mut rng = ChaCha8Rng::seed_from_u64(load.seed ^ number);
    let mut outcomes = Outcomes::default();
    for _ in 0..load.requests {
        let id = Uuid::now_v7().to_string();
        let mut attempts = Vec::new();
        for _ in 0..load.attempts {
            let caller = &callers[rng.random_range(0..callers.len())];
            let attempt = call(caller, &load, &id).await;
            let done = matches!(attempt, Attempt::Answered(_));
            attempts.push(attempt);
            if done {
                break;
            }
            sleep(PAUSE).await;
        }
        outcomes.by_id.insert(id, attempts);
    }
    outcomes
}

async fn call(caller: &Caller, load: &Load, id: &str) -> Attempt {
    let (run_ms, deadline_ms) = (load.run_ms.to_string(), load.deadline_ms.to_string());
    let headers = [
        ("idempotency-key", id),
        ("x-test-run-ms", run_ms.as_str()),
        ("snipevane-deadline-ms", deadline_ms.as_str()),
    ];
    match caller.post(load.queue, &headers, id).await {
        Ok(answer) => match answer.outcome() {
            Some(Outcome::Answered) => Attempt::Answered(answer),
            Some(Outcome::NotRun) => Attempt::NotRun(format!("{:?}", answer.body)),
            Some(Outcome::Unknown) => Attempt::Unknown(format!("{:?}", answer.body)),
            None => panic!("no outcome: {answer:?}"),
        },
        Err(error) => Attempt::Unknown(error.0),
    }
}
