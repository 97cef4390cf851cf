//! Tests of how many calls the store gets as the term becomes free, by the number of entry VMs.
//!
//! They play entry VMs against a model of the store: one part carries out transactions one after another and refuses
//! those that would wait longer than a second, and reads are counted. The naive version reads the row each 72 to
//! 120 ms and claims the term that it has seen free as soon as the start orders of a predecessor on its VM are over.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use snipevane_core::claim_turn::ClaimTurn;
use snipevane_core::senders::SenderSettings;
use snipevane_core::store_rates::StoreRates;

/// Step of the model.
const STEP: Duration = Duration::from_millis(1);

/// Time that a call takes from an entry VM to the store, or back.
const TRANSIT_TIME: Duration = Duration::from_millis(1);

/// Time for which transactions wait at most.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);

/// Time that the model covers, and the interval at which a term is renewed.
const PLAYED: Duration = Duration::from_secs(5);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Longest delay between reads of a row whose term is free, if the store serves as many.
const POLL_INTERVAL: Duration = Duration::from_millis(120);

/// Time within which all entry VMs start again.
const START_TIME: Duration = Duration::from_millis(50);

/// Longest time over which claims are spread.
const MAX_SPREAD: Duration = Duration::from_secs(4);

/// Whether entry VMs mind the store's rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Version {
    Naive,
    Paced,
}

/// A part of the store.
#[derive(Debug, Default)]
struct Part {
    busy_until: Duration,
}

impl Part {
    /// Queues a transaction that arrives at `now`; returns when it is carried out, or `None` if it is refused.
    fn carry_out(&mut self, rates: &StoreRates, now: Duration) -> Option<Duration> {
        let start = self.busy_until.max(now);
        if start - now > MAX_QUEUE_TIME {
            return None;
        }
        self.busy_until = start + rates.transaction_time;
        Some(self.busy_until)
    }
}

/// How the term becomes free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cause {
    /// Its holder is lost; the others read the row at any time.
    HolderLost,
    /// All entry VMs were lost, and start again when the term is free already.
    AllReturn,
}

impl Cause {
    /// Returns the time at which an entry VM reads the row first, and from which it may claim the term.
    fn first_read(self, interval: Duration, random: f64) -> (Duration, Duration) {
        match self {
            Self::HolderLost => (interval.mul_f64(random), Duration::ZERO),
            Self::AllReturn => {
                let started_at = START_TIME.mul_f64(random);
                (
                    started_at,
                    started_at + SenderSettings::default().send_window,
                )
            }
        }
    }
}

/// An entry VM that competes for the free term.
#[derive(Debug)]
struct EntryVm {
    next_read: Duration,
    /// Time from which it may claim the term.
    earliest_claim: Duration,
    /// Time at which the naive version claims the term that it has seen free.
    claim_at: Option<Duration>,
    turn: ClaimTurn,
    knows_winner: bool,
}

/// What happened in a play.
#[derive(Debug)]
struct Play {
    /// Time from which the term was free until the first claim was carried out.
    won_at: Duration,
    /// Number of claims that reached the part.
    claims: usize,
    /// Time that the winner's first renewal took; `None` if it was refused.
    first_renewal: Option<Duration>,
    /// Largest number of reads within a second.
    max_reads_per_s: usize,
}

impl EntryVm {
    /// Reads the row of the free term at `now`; returns whether the entry VM claims the term now.
    fn read_free_term(
        &mut self,
        version: Version,
        interval: Duration,
        spread: Duration,
        rng: &mut StdRng,
        now: Duration,
    ) -> bool {
        let answered_at = now + TRANSIT_TIME;
        let earliest = answered_at.max(self.earliest_claim);
        self.next_read = answered_at + interval.mul_f64(rng.random_range(0.6..1.0));
        match version {
            Version::Naive => {
                self.claim_at = Some(earliest);
                self.next_read = self.next_read.max(earliest);
                false
            }
            Version::Paced => {
                let due_at = self
                    .turn
                    .due_at(1, spread, rng.random_range(0.0..1.0), earliest);
                let is_due = answered_at >= due_at;
                if !is_due {
                    self.next_read = self.next_read.min(due_at);
                }
                is_due
            }
        }
    }
}

/// Plays `vms` entry VMs from the moment at which the term becomes free, or the VMs return.
fn play(version: Version, cause: Cause, vms: usize, seed: u64) -> Play {
    let rates = StoreRates::default();
    let mut rng = StdRng::seed_from_u64(seed);
    let interval = match version {
        Version::Naive => POLL_INTERVAL,
        Version::Paced => POLL_INTERVAL.max(rates.min_read_interval(vms)),
    };
    let entry_vms = (0..vms).map(|_| {
        let (next_read, earliest_claim) = cause.first_read(interval, rng.random_range(0.0..1.0));
        EntryVm {
            next_read,
            earliest_claim,
            claim_at: None,
            turn: ClaimTurn::default(),
            knows_winner: false,
        }
    });
    let mut entry_vms: Vec<EntryVm> = entry_vms.collect();
    let spread = rates.write_spread(vms, MAX_SPREAD);
    let mut part = Part::default();
    let (mut won_at, mut claims, mut first_renewal) = (None, 0, None);
    let mut reads = vec![0; PLAYED.as_secs() as usize + 1];
    let mut now = Duration::ZERO;
    while now < PLAYED {
        let is_won = won_at.is_some_and(|at| now >= at);
        for vm in entry_vms.iter_mut().filter(|vm| !vm.knows_winner) {
            let mut claims_now = vm.claim_at.take_if(|at| now >= *at).is_some();
            if now >= vm.next_read {
                reads[now.as_secs() as usize] += 1;
                vm.knows_winner = is_won;
                claims_now |=
                    !is_won && vm.read_free_term(version, interval, spread, &mut rng, now);
            }
            if !claims_now {
                continue;
            }
            match part.carry_out(&rates, now + TRANSIT_TIME) {
                Some(at) => {
                    claims += 1;
                    won_at.get_or_insert(at);
                    vm.next_read = vm.next_read.max(at + TRANSIT_TIME);
                }
                None => vm.turn.record_failure(),
            }
        }
        if first_renewal.is_none() && won_at.is_some_and(|at| now >= at + RENEWAL_INTERVAL) {
            let done_at = part.carry_out(&rates, now);
            first_renewal = Some(done_at.map(|at| at - now));
        }
        now += STEP;
    }
    Play {
        won_at: won_at.unwrap_or(PLAYED),
        claims,
        first_renewal: first_renewal.flatten(),
        max_reads_per_s: reads.into_iter().max().unwrap_or_default(),
    }
}

/// Guards against claims of all entry VMs at once, behind which the winner's renewals waited until its term was over,
/// and against polls that exceed the store's reads.
#[rstest]
fn few_claims_and_reads_reach_the_store_as_the_term_becomes_free(
    #[values(Cause::HolderLost, Cause::AllReturn)] cause: Cause,
    #[values(7, 140, 300)] vms: usize,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let naive = play(Version::Naive, cause, vms, seed);
    let paced = play(Version::Paced, cause, vms, seed);
    println!("{cause:?}, {vms} entry VMs: {paced:?}; naive: {naive:?}");
    assert!(paced.claims <= 6, "{paced:?}");
    let first_renewal = paced.first_renewal.expect("a renewal that isn't refused");
    assert!(first_renewal <= Duration::from_millis(30), "{paced:?}");
    assert!(
        paced.won_at <= naive.won_at + Duration::from_millis(300),
        "{paced:?}"
    );
    let rates = StoreRates::default();
    assert!(
        paced.max_reads_per_s as f64 <= rates.reads_per_s / 2.0,
        "{paced:?}"
    );
}

/// A takeover among few entry VMs, which the store could serve at once, mustn't get slower.
#[test]
fn a_takeover_of_few_entry_vms_is_as_fast_as_without_turns() {
    let delays = (0..200).map(|seed| {
        let paced = play(Version::Paced, Cause::HolderLost, 7, seed).won_at;
        paced.saturating_sub(play(Version::Naive, Cause::HolderLost, 7, seed).won_at)
    });
    let mean = delays.sum::<Duration>() / 200;
    assert!(mean <= Duration::from_millis(40), "{mean:?}");
}

/// The naive version shows that the model has the fault which the turns mend.
#[test]
fn claims_without_turns_fill_the_part_of_many_entry_vms() {
    let naive = play(Version::Naive, Cause::AllReturn, 300, 1);
    assert!(naive.claims > 150, "{naive:?}");
    assert!(
        naive
            .first_renewal
            .is_none_or(|time| time > Duration::from_millis(500)),
        "{naive:?}"
    );
}

/// A term that changes hands is drawn for anew, and a claim that failed is repeated later than the first.
#[test]
fn a_turn_is_drawn_once_for_each_free_term() {
    let spread = Duration::from_millis(100);
    let mut turn = ClaimTurn::default();
    let now = Duration::from_secs(10);
    assert_eq!(turn.due_at(1, spread, 0.5, now), now + spread / 2);
    let later = now + spread;
    assert_eq!(turn.due_at(1, spread, 0.9, later), now + spread / 2);
    assert_eq!(turn.due_at(2, spread, 0.5, later), later + spread / 2);
    turn.record_failure();
    assert_eq!(turn.due_at(2, spread, 0.5, later), later + spread);
    turn.record_held();
    assert_eq!(turn.due_at(2, spread, 0.5, later), later + spread / 2);
}
