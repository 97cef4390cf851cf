//! Rounds of a play that each cause one failure.

use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::RngExt;
use snipevane_adapter_standin::{Conduct, OddEntry, Restart, RestartingMinion};

use super::play::Play;

const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Time after which a refusal arrives.
const REFUSAL_DELAY: Duration = Duration::from_millis(250);

/// Time by which a minion's clock is set back further in each round.
const CLOCK_STEP: Duration = Duration::from_secs(60);

/// Longest time that a round waits for the moment at which it crashes a minion.
const MOMENT_TIMEOUT: Duration = Duration::from_secs(8);

/// Longest time for which a minion that is back was down, in milliseconds.
const MAX_DOWN_MS: u64 = 600;

impl Play {
    /// Loses a minion under a task, and crashes the minion that the task's next start order is on its way to: after
    /// it has listed its runs, before it has begun the run.
    pub(crate) fn lose_an_order_with_its_minion(&mut self, round: u64) {
        let job = self.submit_apart(2);
        let task = format!("{job}.0.0.1");
        let is_begun = |play: &Self| play.runs_of(&job).len() == 2;
        self.wait_for("both tasks begun", is_begun);
        let lost = self.minion_of(&task);
        for (index, minion) in self.minions.iter().enumerate() {
            minion.set_conduct(Conduct {
                withholds_starts: index != lost,
                ..Conduct::default()
            });
        }
        self.lose(lost);
        let crashed = self.wait_for_order(&task);
        match crashed {
            Some(index) => self.crash_after_list(index, &task),
            None => println!("round {round}: no order came"),
        }
        self.calm();
        if let Some(index) = crashed {
            let restart = Restart {
                other_address: self.rng.random_bool(0.3),
                ..Restart::default()
            };
            let down_ms = self.rng.random_range(0..MAX_DOWN_MS);
            sleep(Duration::from_millis(down_ms));
            println!("round {round}: down for {down_ms} ms, {restart:?}");
            self.minions[index].come_back(restart);
        }
        self.wait_until_ended(&job);
        self.minions[lost].expire_entry();
        self.minions.remove(lost);
        self.add_minion();
    }

    /// Gives a minion with a run the address of another one, until the other one has refused a call for it and the
    /// refusal is on its way.
    pub(crate) fn confuse_addresses(&mut self, round: u64) {
        let job = self.submit_apart(2);
        self.wait_for("both tasks begun", |play| play.runs_of(&job).len() == 2);
        let confused = self.minion_of(&format!("{job}.0.0.1"));
        let runs = self.runs_of(&job);
        let is_idle = |minion: &RestartingMinion| runs.iter().all(|run| run.minion != minion.id());
        let other = self.minions.iter().position(is_idle).expect("a minion");
        self.minions[other].set_conduct(Conduct {
            answer_delay: REFUSAL_DELAY,
            ..Conduct::default()
        });
        let refused = self.minions[other].refused_count();
        let minion = &self.minions[confused];
        minion.publish_odd_entry(&OddEntry {
            id: minion.id().to_owned(),
            address: self.minions[other].address(),
            later: Duration::ZERO,
        });
        let end = Instant::now() + MOMENT_TIMEOUT;
        while self.minions[other].refused_count() == refused && Instant::now() < end {
            sleep(POLL_INTERVAL);
        }
        let refusals = self.minions[other].refused_count() - refused;
        self.note(&format!("round {round}: {refusals} refusals"));
        minion.register();
        self.wait_until_ended(&job);
        self.calm();
    }

    /// Crashes the minion of a task; it is back with its clock set back further than in the rounds before. Returns
    /// whether the task's job has ended in time.
    pub(crate) fn set_clock_back(&mut self, round: u64) -> bool {
        let job = self.submit_apart(1);
        self.wait_for("the task begun", |play| play.runs_of(&job).len() == 1);
        let index = self.minion_of(&format!("{job}.0.0.0"));
        self.minions[index].kill();
        let down_ms = self.rng.random_range(0..MAX_DOWN_MS);
        sleep(Duration::from_millis(down_ms));
        let back = CLOCK_STEP * u32::try_from(round + 1).expect("a number");
        self.note(&format!(
            "round {round}: down for {down_ms} ms, clock {back:?} back"
        ));
        self.minions[index].come_back(Restart {
            clock_back: back,
            ..Restart::default()
        });
        self.wait_until_ended(&job);
        self.jobs.last().is_some_and(|job| job.state.is_some())
    }

    /// Crashes a minion shortly after it has listed its runs with a start order on its way.
    fn crash_after_list(&mut self, index: usize, task: &str) {
        let minion = &self.minions[index];
        let waiting = minion.waiting_starts();
        let order = waiting.iter().find(|start| start.task == task);
        let came_at = order.expect("an order").came_at;
        let end = Instant::now() + MOMENT_TIMEOUT;
        while minion.listed_at() < Some(came_at) && Instant::now() < end {
            sleep(POLL_INTERVAL);
        }
        // The list is on its way to the daemon for some time.
        sleep(Duration::from_millis(self.rng.random_range(1..10)));
        minion.kill();
    }

    /// Waits until a start order of a task has come to a minion; returns the minion's index.
    fn wait_for_order(&self, task: &str) -> Option<usize> {
        let end = Instant::now() + MOMENT_TIMEOUT;
        while Instant::now() < end {
            let found = self.minions.iter().position(|minion| {
                let waiting = minion.waiting_starts();
                waiting.iter().any(|start| start.task == task)
            });
            if found.is_some() {
                return found;
            }
            sleep(POLL_INTERVAL);
        }
        None
    }
}
