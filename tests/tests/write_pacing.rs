//! Tests of the pacing of writes, over a model of a store that carries out one transaction after another.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use snipevane_core::write_pacing::{PacingSettings, WritePacing};

/// Time that the store takes for a transaction, and time for which transactions may be queued.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// Time after which a process treats a transaction as unanswered; the store still carries it out.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Time after which a change that wasn't sent is refused, and within which callers expect an answer.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_200);
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause of the naive writer after a write that failed.
const NAIVE_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Mean time between two changes that callers send through one process.
const CHANGE_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between claims of the term, which only measure how long they wait.
const CLAIM_INTERVAL: Duration = Duration::from_millis(50);

/// Time from which claims and answers are counted, and end of the play.
const COUNTED_FROM: Duration = Duration::from_secs(2);
const END: Duration = Duration::from_secs(20);

/// Bounds of the time that a claim takes. The term lasts 1.4 s, and its holder renews it each 0.4 s.
const MEDIAN_CLAIM_TIME: Duration = Duration::from_millis(150);
const MAX_CLAIM_TIME: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a change through a process.
    Change(usize),
    /// A process may send its next write.
    Write(usize),
    /// A process learns the outcome of its write.
    Outcome {
        process: usize,
        sent_at: Duration,
        outcome: Outcome,
    },
    Claim,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outcome {
    Done,
    Refused,
    Unanswered,
}

/// How long a process waits between its writes.
enum Writer {
    /// Not at all, or for a fixed time after a failure.
    Naive,
    Paced(WritePacing),
}

impl Writer {
    /// Returns the time until the next write, after one that took `elapsed` and ended at `now`.
    fn pause(&mut self, elapsed: Duration, now: Duration, is_done: bool, random: f64) -> Duration {
        match self {
            Self::Naive if is_done => Duration::ZERO,
            Self::Naive => NAIVE_RETRY_DELAY,
            Self::Paced(pacing) => {
                if is_done {
                    pacing.record_answer(elapsed, now, random);
                } else {
                    pacing.record_failure(now, random);
                }
                pacing.delay(now)
            }
        }
    }
}

/// A process that writes the changes of its callers, all that wait in one transaction.
struct Process {
    writer: Writer,
    /// Times at which the waiting changes arrived, and those of the changes in the write under way.
    waiting: Vec<Duration>,
    written: Vec<Duration>,
    /// Time before which no write is sent.
    next_write_at: Duration,
    /// Whether a write is under way or its turn is awaited.
    is_busy: bool,
}

impl Process {
    /// Creates a process that starts with the play.
    fn new(is_paced: bool, random: f64) -> Self {
        let pacing = WritePacing::new(PacingSettings::default(), Duration::ZERO, random);
        Self {
            writer: if is_paced {
                Writer::Paced(pacing)
            } else {
                Writer::Naive
            },
            waiting: Vec::new(),
            written: Vec::new(),
            next_write_at: if is_paced {
                pacing.delay(Duration::ZERO)
            } else {
                Duration::ZERO
            },
            is_busy: false,
        }
    }
}

/// What a play has shown from [`COUNTED_FROM`] on.
#[derive(Default)]
struct Shown {
    /// Times that claims took.
    claims: Vec<Duration>,
    refused_claims: usize,
    /// Changes whose callers got a definite answer in time, and all changes.
    in_time: usize,
    stored: usize,
    changes: usize,
}

impl Shown {
    fn longest_claim(&self) -> Duration {
        self.claims.iter().max().copied().unwrap_or_default()
    }

    fn median_claim(&self) -> Duration {
        let mut claims = self.claims.clone();
        claims.sort();
        claims.get(claims.len() / 2).copied().unwrap_or_default()
    }
}

impl fmt::Display for Shown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "claims took {:?} (median) to {:?}, {} refused; {} changes, {} stored, {} answered in time",
            self.median_claim(),
            self.longest_claim(),
            self.refused_claims,
            self.changes,
            self.stored,
            self.in_time,
        )
    }
}

/// The processes and the store.
struct Model {
    now: Duration,
    rng: StdRng,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    processes: Vec<Process>,
    /// Time at which the store has carried out what is queued.
    store_free_at: Duration,
    shown: Shown,
}

impl Model {
    fn new(count: usize, is_paced: bool, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let processes = (0..count).map(|_| Process::new(is_paced, rng.random_range(0.0..1.0)));
        let processes = processes.collect();
        let mut model = Self {
            now: Duration::ZERO,
            rng,
            events: BinaryHeap::new(),
            processes,
            store_free_at: Duration::ZERO,
            shown: Shown::default(),
        };
        for process in 0..count {
            model.expect_change(process);
        }
        model.expect(CLAIM_INTERVAL, Event::Claim);
        model
    }

    fn expect(&mut self, after: Duration, event: Event) {
        self.events.push(Reverse((self.now + after, event)));
    }

    fn expect_change(&mut self, process: usize) {
        let interval = CHANGE_INTERVAL.mul_f64(self.rng.random_range(0.0..2.0));
        self.expect(interval, Event::Change(process));
    }

    fn play(mut self) -> Shown {
        while let Some(Reverse((at, event))) = self.events.pop() {
            if at > END {
                break;
            }
            self.now = at;
            match event {
                Event::Change(process) => {
                    self.processes[process].waiting.push(at);
                    self.expect_change(process);
                    self.await_turn(process);
                }
                Event::Write(process) => self.write(process),
                Event::Outcome {
                    process,
                    sent_at,
                    outcome,
                } => {
                    self.settle(process, sent_at, outcome);
                }
                Event::Claim => {
                    self.claim();
                    self.expect(CLAIM_INTERVAL, Event::Claim);
                }
            }
        }
        self.shown
    }

    /// Returns the time until a transaction that arrives now is carried out; `None` if it is refused.
    fn queue(&mut self) -> Option<Duration> {
        let queued = self.store_free_at.saturating_sub(self.now);
        if queued > MAX_QUEUE_TIME {
            return None;
        }
        self.store_free_at = self.now + queued + TRANSACTION_TIME;
        Some(queued + TRANSACTION_TIME)
    }

    fn claim(&mut self) {
        let time = self.queue();
        if self.now < COUNTED_FROM {
            return;
        }
        match time {
            Some(time) => self.shown.claims.push(time),
            None => self.shown.refused_claims += 1,
        }
    }

    /// Expects the turn of a process, if it has changes and expects none yet.
    fn await_turn(&mut self, process: usize) {
        let now = self.now;
        let of_process = &mut self.processes[process];
        if of_process.is_busy || of_process.waiting.is_empty() {
            return;
        }
        of_process.is_busy = true;
        let delay = of_process.next_write_at.saturating_sub(now);
        self.expect(delay, Event::Write(process));
    }

    fn write(&mut self, process: usize) {
        let now = self.now;
        let waiting = std::mem::take(&mut self.processes[process].waiting);
        let (late, in_time): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|arrived| *arrived + WRITE_TIMEOUT < now);
        for arrived in late {
            self.answer(arrived, arrived + WRITE_TIMEOUT, false);
        }
        self.processes[process].written = in_time;
        let (after, outcome) = match self.queue() {
            None => (Duration::ZERO, Outcome::Refused),
            Some(time) if time > TIMEOUT => (TIMEOUT, Outcome::Unanswered),
            Some(time) => (time, Outcome::Done),
        };
        self.expect(
            after,
            Event::Outcome {
                process,
                sent_at: now,
                outcome,
            },
        );
    }

    fn settle(&mut self, process: usize, sent_at: Duration, outcome: Outcome) {
        let now = self.now;
        let written = std::mem::take(&mut self.processes[process].written);
        if outcome == Outcome::Done {
            for arrived in written {
                self.answer(arrived, now, true);
            }
        } else {
            self.processes[process].waiting.splice(0..0, written);
        }
        let random = self.rng.random_range(0.0..1.0);
        let of_process = &mut self.processes[process];
        let is_done = outcome == Outcome::Done;
        let pause = of_process.writer.pause(now - sent_at, now, is_done, random);
        of_process.next_write_at = now + pause;
        of_process.is_busy = false;
        self.await_turn(process);
    }

    fn answer(&mut self, arrived: Duration, answered: Duration, is_stored: bool) {
        if arrived < COUNTED_FROM {
            return;
        }
        self.shown.changes += 1;
        self.shown.stored += usize::from(is_stored);
        self.shown.in_time += usize::from(answered <= arrived + ANSWER_TIMEOUT);
    }
}

/// Guards against writes of callers' changes that fill the store's queue, so that no process wins or keeps the term.
#[rstest]
#[case::seven(7)]
#[case::hundred_and_forty(140)]
#[case::three_hundred(300)]
fn claims_pass_callers_writes_soon(#[case] count: usize, #[values(1, 2, 3, 4, 5)] seed: u64) {
    let shown = Model::new(count, true, seed).play();
    println!("{count} processes, seed {seed}: {shown}");
    assert_eq!(shown.refused_claims, 0);
    assert!(shown.median_claim() <= MEDIAN_CLAIM_TIME, "{shown}");
    assert!(shown.longest_claim() <= MAX_CLAIM_TIME, "{shown}");
    assert_eq!(shown.in_time, shown.changes, "answered in time");
    assert!(shown.stored * 100 >= shown.changes * 99, "{shown}");
}

/// Shows that the model's store doesn't meet the bounds by itself.
#[rstest]
#[case::hundred_and_forty(140)]
#[case::three_hundred(300)]
fn claims_wait_behind_writes_without_pauses(#[case] count: usize) {
    let shown = Model::new(count, false, 1).play();
    println!("{count} processes without pauses: {shown}");
    assert!(shown.refused_claims > 0, "{shown}");
    assert_eq!(shown.stored, 0);
}

/// Guards against an entry VM that writes late although the store has been idle.
#[test]
fn the_first_write_after_a_quiet_time_is_sent_at_once() {
    let mut pacing = WritePacing::new(PacingSettings::default(), Duration::ZERO, 0.5);
    let now = Duration::from_secs(10);
    assert_eq!(pacing.delay(now), Duration::ZERO);
    pacing.record_answer(TRANSACTION_TIME, now, 0.5);
    assert_eq!(pacing.delay(now), TRANSACTION_TIME * 9);
}

/// Guards against refused writes that return at a constant rate.
#[test]
fn pauses_after_failures_double_up_to_their_bound() {
    let settings = PacingSettings::default();
    let mut pacing = WritePacing::new(settings, Duration::ZERO, 0.0);
    let pauses = (0..5).map(|_| {
        pacing.record_failure(Duration::ZERO, 0.5);
        pacing.delay(Duration::ZERO).as_millis()
    });
    let pauses: Vec<u128> = pauses.collect();
    assert_eq!(pauses, [400, 800, 1_600, 3_200, 3_200]);
}
