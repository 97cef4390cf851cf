//! A caller that submits jobs all the time, each at any daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use snipevane_adapter_standin::{Step, submission};

use crate::site::call_with_wait;

/// Time between two jobs.
const BETWEEN_JOBS: Duration = Duration::from_millis(100);

/// Longest run time of short tasks, in milliseconds.
const SHORT_RUN_MS: u64 = 150;

/// Time between two attempts to submit a job.
const BETWEEN_ATTEMPTS: Duration = Duration::from_millis(100);

/// Time for which the caller waits for an answer, in milliseconds.
const WAIT_MS: u64 = 1_500;

/// Addresses of the daemons, which change when one is started again.
pub(crate) type Addresses = Arc<Mutex<Vec<SocketAddr>>>;

/// A caller on a thread of its own.
pub(crate) struct Caller {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Vec<String>>,
}

impl Caller {
    /// Starts to submit jobs of tasks that run for up to `max_run_ms` milliseconds.
    pub(crate) fn start(addresses: &Addresses, seed: u64, max_run_ms: u64) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let (over, addresses) = (is_over.clone(), addresses.clone());
        let thread = spawn(move || {
            let mut rng = StdRng::seed_from_u64(seed);
            let mut jobs = Vec::new();
            while !over.load(Ordering::SeqCst) {
                jobs.push(submit(&addresses, &mut rng, max_run_ms));
                sleep(BETWEEN_JOBS);
            }
            jobs
        });
        Self { is_over, thread }
    }

    /// Stops submitting; returns the jobs that were accepted.
    ///
    /// # Panics
    ///
    /// Panics if the thread has panicked.
    pub(crate) fn stop(self) -> Vec<String> {
        self.is_over.store(true, Ordering::SeqCst);
        self.thread.join().expect("the caller")
    }
}

/// Submits a job until it is accepted; returns its identifier.
fn submit(addresses: &Addresses, rng: &mut StdRng, max_run_ms: u64) -> String {
    let id = format!("{:016x}", rng.random::<u64>());
    let is_short = rng.random_bool(0.5);
    let run_ms = rng.random_range(20..if is_short { SHORT_RUN_MS } else { max_run_ms });
    let step = Step {
        tasks: rng.random_range(1..4),
        cpu_millis: 2_000,
        estimate_ms: run_ms,
        max_per_minion: rng.random_range(0..2),
        ..Step::default()
    };
    let body = submission(&run_ms.to_string(), &[step]).to_string();
    loop {
        let address = {
            let addresses = addresses.lock().unwrap_or_else(PoisonError::into_inner);
            addresses[rng.random_range(0..addresses.len())]
        };
        let path = format!("/p/{id}");
        if call_with_wait(address, "POST", &path, "key", &body, WAIT_MS).0 == 200 {
            return id;
        }
        sleep(BETWEEN_ATTEMPTS);
    }
}
