//! Disturbances of minions and daemons at random times.

use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::RngExt;
use snipevane_adapter_standin::{Conduct, OddEntry, Restart};

use super::callers::{Addresses, Caller};
use super::play::Play;

/// Time between two disturbances, in milliseconds.
const BETWEEN_MS: std::ops::Range<u64> = 20..250;

/// Time for which a minion that is back was down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 0..800;

/// The same, for a minion that is back at once.
const SHORT_DOWN_MS: std::ops::Range<u64> = 0..60;

/// Time for which an odd entry stays, in milliseconds.
const ODD_ENTRY_MS: std::ops::Range<u64> = 20..600;

/// Time for which a daemon is suspended, in milliseconds.
const SUSPENSION_MS: std::ops::Range<u64> = 300..2_500;

/// Longest run time of a task, in milliseconds.
const MAX_RUN_MS: u64 = 1_800;

/// What happens when a disturbance is over.
#[derive(Debug)]
enum Relief {
    ComeBack(usize, Restart),
    Register(usize),
    Calm(usize),
    Resume(usize),
}

/// Which disturbances are played.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Disturbances {
    /// Minions crash and are back under their identifiers.
    pub(crate) restarts: bool,
    /// Clocks of minions are set back between incarnations.
    pub(crate) clocks_back: bool,
    /// Answers of minions are lost, start orders and lists are late.
    pub(crate) late_calls: bool,
    /// Others write entries of minions.
    pub(crate) odd_entries: bool,
    /// Schedulers are killed or suspended.
    pub(crate) takeovers: bool,
}

impl Play {
    /// Disturbs minions and daemons for a while, beside callers' jobs, until all is calm again.
    pub(crate) fn disturb(&mut self, disturbances: Disturbances, time: Duration) {
        let addresses = Addresses::default();
        self.share_addresses(&addresses);
        let caller = Caller::start(&addresses, self.rng.random(), MAX_RUN_MS);
        let end = Instant::now() + time;
        let mut reliefs: Vec<(Instant, Relief)> = Vec::new();
        while Instant::now() < end || !reliefs.is_empty() {
            let now = Instant::now();
            let due: Vec<(Instant, Relief)> =
                reliefs.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, relief) in due {
                self.relieve(relief);
            }
            if now < end {
                let relief = self.disturb_once(disturbances, &addresses);
                reliefs.extend(relief.map(|(after, relief)| (now + after, relief)));
            }
            let pause_ms = self.rng.random_range(BETWEEN_MS);
            sleep(Duration::from_millis(pause_ms));
        }
        for id in caller.stop() {
            self.add_job(id);
        }
        // Each minion gets work again.
        let minions = u32::try_from(self.minions.len()).expect("a number");
        self.submit_apart(minions);
    }

    fn disturb_once(
        &mut self,
        disturbances: Disturbances,
        addresses: &Addresses,
    ) -> Option<(Duration, Relief)> {
        let index = self.rng.random_range(0..self.minions.len());
        match self.rng.random_range(0..20) {
            0..8 if disturbances.restarts => self.crash(index, disturbances.clocks_back),
            8..13 if disturbances.late_calls => Some(self.make_late(index)),
            13..17 if disturbances.odd_entries => self.write_odd_entry(index),
            17 if disturbances.takeovers => self.replace_scheduler(addresses),
            18 if disturbances.takeovers => self.suspend_scheduler(),
            _ => None,
        }
    }

    fn crash(&mut self, index: usize, may_set_clock_back: bool) -> Option<(Duration, Relief)> {
        let minion = self.minions[index].clone();
        if !minion.is_up() {
            return None;
        }
        minion.kill();
        let is_set_back = may_set_clock_back && self.rng.random_bool(0.3);
        let back_ms = if is_set_back {
            self.rng.random_range(1_000..30_000)
        } else {
            0
        };
        let restart = Restart {
            other_address: self.rng.random_bool(0.3),
            clock_back: Duration::from_millis(back_ms),
        };
        let is_short = self.rng.random_bool(0.4);
        let down_ms = self
            .rng
            .random_range(if is_short { SHORT_DOWN_MS } else { DOWN_MS });
        self.note(&format!(
            "{} crashes for {down_ms} ms, {restart:?}",
            minion.id()
        ));
        Some((
            Duration::from_millis(down_ms),
            Relief::ComeBack(index, restart),
        ))
    }

    fn make_late(&mut self, index: usize) -> (Duration, Relief) {
        let conduct = Conduct {
            start_delay: Duration::from_millis(self.rng.random_range(0..500)),
            withholds_starts: false,
            answer_delay: Duration::from_millis(self.rng.random_range(0..300)),
            list_delay: Duration::from_millis(self.rng.random_range(0..2_500)),
            lose_every: self
                .rng
                .random_bool(0.5)
                .then(|| self.rng.random_range(2..6)),
        };
        let minion = &self.minions[index];
        minion.set_conduct(conduct);
        self.note(&format!("{}: {conduct:?}", minion.id()));
        (
            Duration::from_millis(self.rng.random_range(100..1_500)),
            Relief::Calm(index),
        )
    }

    fn write_odd_entry(&mut self, index: usize) -> Option<(Duration, Relief)> {
        let minion = self.minions[index].clone();
        if !minion.is_up() {
            return None;
        }
        let later = Duration::from_millis(self.rng.random_range(0..5_000));
        let mut odd = OddEntry {
            id: minion.id().to_owned(),
            address: minion.address(),
            later,
        };
        match self.rng.random_range(0..4) {
            0 => {}
            1 => odd.id = format!("x-{}", self.rng.random_range(0..4)),
            _ => odd.address = self.minions[self.rng.random_range(0..self.minions.len())].address(),
        }
        minion.publish_odd_entry(&odd);
        self.note(&format!("{}: {odd:?}", minion.id()));
        let stays = Duration::from_millis(self.rng.random_range(ODD_ENTRY_MS));
        Some((stays, Relief::Register(index)))
    }

    fn replace_scheduler(&mut self, addresses: &Addresses) -> Option<(Duration, Relief)> {
        let scheduler = self.site.scheduler()?;
        if self.suspended.is_some() {
            return None;
        }
        self.note(&format!("kill of {}", self.site.nodes[scheduler].name()));
        self.site.restart_node(scheduler, 1.0);
        self.share_addresses(addresses);
        None
    }

    fn suspend_scheduler(&mut self) -> Option<(Duration, Relief)> {
        let scheduler = self.site.scheduler()?;
        if self.suspended.is_some() {
            return None;
        }
        let time_ms = self.rng.random_range(SUSPENSION_MS);
        self.note(&format!(
            "{} is suspended for {time_ms} ms",
            self.site.nodes[scheduler].name()
        ));
        self.site.nodes[scheduler].suspend();
        self.suspended = Some(scheduler);
        Some((Duration::from_millis(time_ms), Relief::Resume(scheduler)))
    }

    fn relieve(&mut self, relief: Relief) {
        match relief {
            Relief::ComeBack(index, restart) => {
                self.minions[index].come_back(restart);
                self.note(&format!("{} is back", self.minions[index].id()));
            }
            // A minion that is down doesn't write; its entry is that of its last incarnation.
            Relief::Register(index) if self.minions[index].is_up() => {
                self.minions[index].register()
            }
            Relief::Register(_) => {}
            Relief::Calm(index) => self.minions[index].set_conduct(Conduct::default()),
            Relief::Resume(index) => {
                self.site.nodes[index].resume();
                self.suspended = None;
                self.note(&format!("{} goes on", self.site.nodes[index].name()));
            }
        }
    }
}
