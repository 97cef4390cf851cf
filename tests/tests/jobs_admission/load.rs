//! A site whose callers submit jobs through entry VMs, which reject by snapshots.

use std::collections::BTreeMap;
use std::time::Duration;

use snipevane_core::jobs::{AdmissionSnapshot, JobDemand, JobId, JobSpec, MoveOutlook, Rejection};
use snipevane_tests::jobs::{FakeMinion, JobSite, TICK, entry, job, site, site_spec, step};

pub(crate) const START: Duration = Duration::from_secs(10);

/// Four minions have 64 cores, which complete five of the jobs of [`two_steps`] per second.
pub(crate) const MINIONS: usize = 4;

pub(crate) const BURST: Duration = Duration::from_secs(4);

/// Interval between the jobs of a burst: 25 jobs per second, five times the capacity.
pub(crate) const BURST_INTERVAL: Duration = Duration::from_millis(40);

/// Number of entry VMs, each of which gets a snapshot at a time of its own.
pub(crate) const ENTRY_VMS: usize = 5;

/// Interval between the snapshots that an entry VM gets.
pub(crate) const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

const MAX_RETRIES: u32 = 4;

/// Time that a VM takes to move to another pool.
pub(crate) const MOVE_TIME: Duration = Duration::from_millis(1_500);

/// Time from the first attempt to the deadline of [`two_steps`]: 1.6 times 1.6 s, and 600 ms.
pub(crate) const TIME_ALLOWED: Duration = Duration::from_millis(3_160);

/// Multiple of the time allowed for which a result has value.
pub(crate) const EXPIRY_FACTOR: u32 = 3;

pub(crate) fn two_steps() -> JobSpec {
    job(
        "p0",
        vec![step(8, 1_000, 800, &[]), step(8, 1_000, 800, &[0])],
    )
}

/// Returns why a job of the test's queue is rejected by a snapshot of this age.
pub(crate) fn rejection(
    snapshot: &AdmissionSnapshot,
    spec: &JobSpec,
    age: Duration,
) -> Option<Rejection> {
    let queue = site_spec(1, 0).queues.remove(0);
    snapshot.rejection(&JobDemand::new(spec, &queue)?, age)
}

/// A caller that retries as it is told.
#[derive(Clone, Copy)]
pub(crate) struct Caller {
    number: u64,
    first_attempt: Duration,
    pub(crate) retries: u32,
}

#[derive(Default)]
struct EntryVm {
    snapshot: Option<(AdmissionSnapshot, Duration)>,
}

/// A site whose callers submit jobs through entry VMs.
pub(crate) struct Load {
    pub(crate) site: JobSite,
    pub(crate) admission: bool,
    pub(crate) outlook: MoveOutlook,
    entry_vms: Vec<EntryVm>,
    /// Callers by the time of their next attempt.
    due: BTreeMap<(Duration, u64), Caller>,
    pub(crate) accepted: BTreeMap<u64, Accepted>,
    pub(crate) rejections: usize,
    pub(crate) snapshot_interval: Duration,
}

/// An accepted job, and the attempt of its caller that was accepted.
pub(crate) struct Accepted {
    pub(crate) id: JobId,
    pub(crate) caller: Caller,
    pub(crate) at: Duration,
}

impl Load {
    pub(crate) fn new(seed: u64, admission: bool) -> Self {
        let minions = (0..MINIONS).map(|number| FakeMinion::new(entry(number, "p0"), START));
        let mut site = JobSite::new(site(1, 0), minions.collect(), seed);
        site.run(Duration::from_millis(100));
        Self {
            site,
            admission,
            outlook: MoveOutlook::default(),
            entry_vms: (0..ENTRY_VMS).map(|_| EntryVm::default()).collect(),
            due: BTreeMap::new(),
            accepted: BTreeMap::new(),
            rejections: 0,
            snapshot_interval: SNAPSHOT_INTERVAL,
        }
    }

    /// Adds callers whose first attempts follow each other at this interval, for this time.
    pub(crate) fn add_callers(&mut self, interval: Duration, time: Duration) {
        let count = time.as_millis() / interval.as_millis();
        for index in 0..count as u64 {
            let number = index + 1;
            let at = self.site.now + interval * index as u32;
            let caller = Caller {
                number,
                first_attempt: at,
                retries: 0,
            };
            self.due.insert((at, number), caller);
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.site.now + time;
        while self.site.now < end {
            self.refresh_snapshots();
            while let Some(entry) = self.due.first_entry() {
                if entry.key().0 > self.site.now {
                    break;
                }
                let caller = entry.remove();
                self.attempt(caller);
            }
            self.site.tick();
        }
    }

    fn refresh_snapshots(&mut self) {
        let ticks = (self.snapshot_interval.as_millis() / TICK.as_millis()) as usize;
        let tick = (self.site.now.as_millis() / TICK.as_millis()) as usize;
        for (index, vm) in self.entry_vms.iter_mut().enumerate() {
            if tick % ticks == index * ticks / ENTRY_VMS {
                let now = self.site.now;
                let snapshot =
                    self.site
                        .scheduler
                        .admission_snapshot(&self.outlook, MOVE_TIME, now);
                vm.snapshot = snapshot.map(|snapshot| (snapshot, now));
            }
        }
    }

    fn attempt(&mut self, caller: Caller) {
        let spec = two_steps();
        let now = self.site.now;
        let vm = &self.entry_vms[(caller.number as usize + caller.retries as usize) % ENTRY_VMS];
        let known = vm.snapshot.as_ref().filter(|_| self.admission);
        let rejection =
            known.and_then(|(snapshot, at)| rejection(snapshot, &spec, now.saturating_sub(*at)));
        let Some(rejection) = rejection else {
            let id = self.site.submit(caller.number, spec);
            self.accepted.insert(
                caller.number,
                Accepted {
                    id,
                    caller,
                    at: now,
                },
            );
            return;
        };
        self.rejections += 1;
        if caller.retries == MAX_RETRIES {
            return;
        }
        // Spreads the retries as the jitter does.
        let jitter = 1.0 + (caller.number % 7) as f64 / 20.0;
        let wait = rejection.retry_after.mul_f64(jitter).as_secs_f64().ceil();
        let again = Caller {
            retries: caller.retries + 1,
            ..caller
        };
        let at = now + Duration::from_secs_f64(wait);
        self.due.insert((at, caller.number), again);
    }

    pub(crate) fn completed_within(&self, time: Duration) -> usize {
        let accepted = self.accepted.values();
        let completed = accepted.filter(|accepted| {
            let by = accepted.caller.first_attempt + time;
            self.site.completed_by(accepted.id, by)
        });
        completed.count()
    }

    /// Returns what the callers get: the results in time count 14 times as much as the later ones that still
    /// have value.
    pub(crate) fn value(&self) -> usize {
        let in_time = self.completed_within(TIME_ALLOWED);
        let with_value = self.completed_within(TIME_ALLOWED * EXPIRY_FACTOR);
        in_time * 13 + with_value
    }
}
