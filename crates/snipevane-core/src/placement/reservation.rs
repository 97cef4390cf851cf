//! A worker that is kept free for a task that fits nowhere.

use super::{Placed, Placer, Resources, Units, Waiting};
use crate::ids::WorkerKey;
use crate::pools::UnixMs;

/// Waiting tasks of a class among which a reserved task is looked for.
const SEARCHED: usize = 64;

/// Part of a worker that a task takes at least to get a reservation; smaller ones fit soon.
const LEAST_PART: f64 = 0.25;

/// A worker that takes no other task until a large one fits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Reservation {
    waiting: Waiting,
    worker: WorkerKey,
}

impl Placer {
    /// Reserves a worker for a task that has waited long; one task has a reservation at a time.
    pub(super) fn consider_reservation(&mut self, waiting: &Waiting, now: UnixMs) {
        let early = now.since(waiting.since) < self.settings.reserve_after;
        if self.reservation.is_some() || early {
            return;
        }
        let fitting = self.workers.iter().filter(|(key, worker)| {
            let large = waiting.size.dominant_part(&worker.capacity) >= LEAST_PART;
            let accepted = worker.is_open() && !waiting.avoid.contains(&Some(*key));
            large && accepted && waiting.size.fits_in(&worker.capacity)
        });
        let emptiest = fitting.min_by(|(_, a), (_, b)| {
            let part_a = a.reserved.dominant_part(&a.capacity);
            let part_b = b.reserved.dominant_part(&b.capacity);
            part_a.total_cmp(&part_b)
        });
        let Some((worker, _)) = emptiest else {
            return;
        };
        self.workers.hold(worker, true);
        self.reservation = Some(Reservation {
            waiting: *waiting,
            worker,
        });
    }

    /// Places the task that a worker is reserved for, as soon as it fits there.
    pub(super) fn place_reserved(
        &mut self,
        units: &mut impl Units,
        current: &impl Fn(&Waiting) -> Option<Resources>,
        placed: &mut Vec<Placed>,
    ) {
        let Some(reservation) = self.reservation else {
            return;
        };
        let waiting = reservation.waiting;
        let Some(worker) = self.workers.get(reservation.worker) else {
            self.reservation = None;
            return;
        };
        let closed = !worker.is_open();
        if closed || current(&waiting).is_none() || self.running.contains_key(waiting.task) {
            self.workers.hold(reservation.worker, false);
            self.reservation = None;
            return;
        }
        let free = worker.capacity.minus(&worker.reserved);
        if !waiting.size.fits_in(&free) {
            return;
        }
        self.workers.hold(reservation.worker, false);
        self.reservation = None;
        let Some(account) = self.accounts.get(waiting.team) else {
            return;
        };
        let queue = &account.queue;
        let at = (0..SEARCHED).find(|&nth| {
            let other = queue.get(waiting.class, nth);
            other.is_some_and(|other| other.task == waiting.task)
        });
        let Some(nth) = at else {
            return;
        };
        if !units.take(waiting.team) {
            return;
        }
        self.take(waiting.team, waiting.class, nth);
        let started = self.start(waiting, reservation.worker);
        placed.push(started);
    }
}
