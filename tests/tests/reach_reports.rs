//! Reports of entry VMs that get no heartbeats, against a model of the store's part that all transactions share.
//!
//! The load: a holder that is too slow for its heartbeats, or cut off from the others, so that 7 to 300 entry VMs
//! find out within a moment that they don't hear it. Its renewals wait behind their reports.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use smol_str::format_smolstr;
use snipevane_core::reach::{Reach, ReachSettings};
use snipevane_core::reach_reports::{ReportPacing, ReportSettings};
use snipevane_core::term::TermSettings;

/// Resolution of the model.
const TICK: Duration = Duration::from_millis(1);
/// Interval at which an entry VM checks whether it hears the scheduler.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time that a transaction takes in the store.
const TRANSACTION_TIME: Duration = Duration::from_millis(5);
/// Time of waiting transactions from which the store refuses further ones.
const MAX_QUEUE_TIME: Duration = Duration::from_secs(1);
/// Time that is played.
const PLAYED: Duration = Duration::from_secs(30);
/// Longest time that a renewal may wait for reports, which leaves a term of 1.4 s three attempts.
const MAX_RENEWAL_TIME: Duration = Duration::from_millis(100);
/// Most reports in a second of the play, a quarter of what the part carries, and what chance adds.
const MAX_REPORTS_PER_S: usize = 75;
const FENCE: u64 = 7;
const SEED: u64 = 57;

/// Sender of a transaction.
#[derive(Clone, Copy)]
enum Sender {
    Holder,
    Vm(usize),
}

/// Entry VM that doesn't hear the holder.
struct Vm {
    pacing: ReportPacing,
    check_at: Duration,
    is_writing: bool,
}

/// What a play shows.
#[derive(Debug, Default)]
struct Outcome {
    /// Longest time from a renewal's first attempt until it was stored.
    longest_renewal: Duration,
    /// Largest number of reports that reached the store within a second.
    most_reports: usize,
    /// Time after which the holder would release its term, if it learned of reports at once.
    released_after: Option<Duration>,
}

/// State of a play.
struct Play {
    vms: Vec<Vm>,
    queue: VecDeque<Sender>,
    /// Times at which reports reached the store.
    reports: Vec<Duration>,
    renewal_sent_at: Option<Duration>,
    renewal_due: Duration,
    served_until: Duration,
    reach: Reach,
    random: StdRng,
    outcome: Outcome,
}

impl Play {
    fn new(vms: usize) -> Self {
        let mut random = StdRng::seed_from_u64(SEED);
        let vm = |_| Vm {
            pacing: ReportPacing::new(ReportSettings::default()),
            check_at: CHECK_INTERVAL.mul_f64(random.random_range(0.0..1.0)),
            is_writing: false,
        };
        Self {
            vms: (0..vms).map(vm).collect(),
            queue: VecDeque::new(),
            reports: Vec::new(),
            renewal_sent_at: None,
            renewal_due: Duration::ZERO,
            served_until: Duration::ZERO,
            reach: Reach::new(ReachSettings::default(), Duration::ZERO, false),
            random,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let mut now = Duration::ZERO;
        while now < PLAYED {
            self.renew(now);
            for index in 0..self.vms.len() {
                self.check(index, now);
            }
            self.serve(now);
            if self.outcome.released_after.is_none() && self.reach.should_release(now) {
                self.outcome.released_after = Some(now);
            }
            now += TICK;
        }
        let in_second_from = |from: &Duration| {
            let until = *from + Duration::from_secs(1);
            let reports = self.reports.iter();
            reports.filter(|at| (*from..until).contains(*at)).count()
        };
        let counts = self.reports.iter().map(in_second_from);
        self.outcome.most_reports = counts.max().unwrap_or(0);
        self.outcome
    }

    /// Returns whether the store takes another transaction.
    fn has_room(&self) -> bool {
        TRANSACTION_TIME * (self.queue.len() as u32) < MAX_QUEUE_TIME
    }

    fn renew(&mut self, now: Duration) {
        if now < self.renewal_due {
            return;
        }
        let sent_at = *self.renewal_sent_at.get_or_insert(now);
        if self.has_room() {
            self.queue.push_back(Sender::Holder);
            self.renewal_due = Duration::MAX;
        } else {
            self.renewal_due = now + Duration::from_millis(50);
            let waited = now - sent_at;
            self.outcome.longest_renewal = self.outcome.longest_renewal.max(waited);
        }
    }

    fn check(&mut self, index: usize, now: Duration) {
        let vms = self.vms.len();
        let vm = &mut self.vms[index];
        if vm.is_writing || now < vm.check_at {
            return;
        }
        vm.check_at = now + CHECK_INTERVAL;
        let random = self.random.random_range(0.0..1.0);
        if !vm.pacing.is_due(Some(FENCE), vms, random, now) {
            return;
        }
        self.reports.push(now);
        if self.has_room() {
            self.queue.push_back(Sender::Vm(index));
            self.vms[index].is_writing = true;
        } else {
            self.vms[index].pacing.record_failed(vms, random, now);
        }
    }

    fn serve(&mut self, now: Duration) {
        if now < self.served_until + TRANSACTION_TIME {
            return;
        }
        self.served_until = now;
        match self.queue.pop_front() {
            Some(Sender::Holder) => {
                let sent_at = self.renewal_sent_at.take().unwrap_or(now);
                let elapsed = now - sent_at;
                self.outcome.longest_renewal = self.outcome.longest_renewal.max(elapsed);
                self.renewal_due = sent_at.max(now) + TermSettings::default().renewal_interval;
            }
            Some(Sender::Vm(index)) => {
                let vms = self.vms.len();
                let vm = &mut self.vms[index];
                vm.is_writing = false;
                vm.check_at = now + CHECK_INTERVAL;
                vm.pacing.record_stored(vms, now);
                let interval = ReportSettings::default().interval(vms);
                self.reach
                    .record_report(&format_smolstr!("vm-{index}"), interval, now);
            }
            None => {}
        }
    }
}

/// Guards against reports that delay the renewals of the term that they are about: 300 VMs that report at once fill
/// the part for 1.5 s, longer than the term lasts, so that the next term is unheard as well.
#[rstest]
fn reports_leave_room_for_the_renewals_of_the_term(#[values(7, 43, 140, 300)] vms: usize) {
    let outcome = Play::new(vms).run();
    assert!(
        outcome.longest_renewal <= MAX_RENEWAL_TIME,
        "{vms} VMs, seed {SEED}: {outcome:?}"
    );
    assert!(
        outcome.most_reports <= MAX_REPORTS_PER_S,
        "{vms} VMs, seed {SEED}: {outcome:?}"
    );
}

/// Guards against reports that are so few that a holder which nobody reaches keeps its term.
#[rstest]
fn a_holder_that_nobody_hears_learns_of_it(#[values(7, 43, 140, 300)] vms: usize) {
    let outcome = Play::new(vms).run();
    let limit = Duration::from_secs(5);
    let released = outcome.released_after;
    assert!(released.is_some_and(|after| after <= limit), "{outcome:?}");
}
