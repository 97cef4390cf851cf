//! Waves reboot each VM once, within the budgets, and halt when what they rebooted fails.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use slotmap::SecondaryMap;
use snipevane_core::pools::{
    Epoch, OperationId, OperationKind, ServiceBudget, Step, UnixMs, VmRow, VmState,
};
use snipevane_core::waves::{
    FleetView, Halt, Pace, Reboot, VmView, Wave, WaveRefused, WaveSettings, WaveState,
};
use snipevane_tests::fleet::Keys;

const MINUTE_MS: u64 = 60_000;
const REBOOT: Duration = Duration::from_secs(180);
const WAVE: OperationId = OperationId(7);
const START: UnixMs = UnixMs(100 * MINUTE_MS);

/// Rows that follow a wave minute by minute.
struct Fleet {
    view: FleetView,
    wave: Wave,
    now: UnixMs,
    reboots: BTreeMap<usize, u32>,
    most_out: usize,
}

impl Fleet {
    fn new(vms: usize, budget_percent: u8, settings: WaveSettings) -> Self {
        let view = view(vms, budget_percent);
        let wave = Wave::new(WAVE, settings, &view, START);
        Self {
            view,
            wave: wave.unwrap_or_else(|refused| panic!("{refused}")),
            now: START,
            reboots: BTreeMap::new(),
            most_out: 0,
        }
    }

    fn step(&mut self, index: usize, step: Step) {
        let row = &mut self.view.vms[index].row;
        if let Ok(next) = row.apply(step, Epoch(1), self.now) {
            *row = next;
        }
    }

    /// Passes a minute: reboots end after three, and the wave decides.
    fn minute(&mut self) -> Vec<Reboot> {
        self.now = UnixMs(self.now.0 + MINUTE_MS);
        for index in 0..self.view.vms.len() {
            let row = self.view.vms[index].row;
            let held = row
                .operation
                .is_some_and(|held| held.kind == OperationKind::Reboot);
            if row.state == VmState::Draining && held {
                self.step(index, Step::Emptied);
                self.step(index, Step::RebootStarted);
                *self.reboots.entry(index).or_default() += 1;
            } else if row.state == VmState::Rebooting && self.now.since(row.since) >= REBOOT {
                self.step(index, Step::Booted);
                self.step(index, Step::Admitted);
            }
        }
        let reboots = self.wave.round(&self.view, self.now);
        for reboot in &reboots {
            let index = self.view.vms.iter().position(|view| view.vm == reboot.vm);
            self.step(index.unwrap_or_default(), Step::Begin(reboot.operation));
        }
        let out = self.view.vms.iter().filter(|view| !view.row.is_available());
        self.most_out = self.most_out.max(out.count());
        reboots
    }

    fn minutes(&mut self, minutes: u32) -> usize {
        (0..minutes).map(|_| self.minute().len()).sum()
    }

    fn done(&self) -> usize {
        self.wave.progress(&self.view, self.now).done
    }
}

fn view(vms: usize, unavailable_percent: u8) -> FleetView {
    let keys = Keys::new(vms);
    let mut services = SecondaryMap::new();
    let budget = ServiceBudget {
        service: keys.service,
        unavailable_percent,
    };
    services.insert(keys.pools[0], vec![budget]);
    let vms = keys.vms.iter().enumerate().map(|(index, &vm)| VmView {
        vm,
        place: keys.place(index),
        row: VmRow::serving(keys.pools[0], UnixMs(0)),
    });
    FleetView {
        vms: vms.collect(),
        services,
    }
}

fn urgent() -> WaveSettings {
    WaveSettings {
        pace: Pace::Urgent,
        ..WaveSettings::default()
    }
}

#[test]
fn an_urgent_wave_starts_with_few_and_reboots_each_vm_once() {
    let mut fleet = Fleet::new(60, 25, urgent());
    assert_eq!(fleet.minute().len(), 1);
    assert_eq!(fleet.minutes(12), 0, "the first VM is watched");
    assert_eq!(fleet.minutes(3), 2, "then twice as many");
    fleet.minutes(600);
    assert_eq!(fleet.wave.state(), WaveState::Done);
    assert!(fleet.reboots.len() == 60 && fleet.reboots.values().all(|&count| count == 1));
    // 25 % of 60 are 15, less the rack of 4 that may fail besides.
    assert!(fleet.most_out <= 11, "{} out at once", fleet.most_out);
}

#[test]
fn a_paced_wave_spreads_its_reboots_over_the_period() {
    let settings = WaveSettings {
        pace: Pace::Within(Duration::from_secs(10 * 3600)),
        ..WaveSettings::default()
    };
    let mut fleet = Fleet::new(60, 25, settings);
    fleet.minutes(270);
    let half = fleet.done();
    assert!(
        (25..=31).contains(&half),
        "{half} of 60 after half of the paced time"
    );
    fleet.minutes(330);
    assert_eq!(fleet.wave.state(), WaveState::Done);
    assert!(fleet.most_out <= 2, "{} out at once", fleet.most_out);
}

#[test]
fn failures_of_rebooted_vms_halt_the_wave_until_an_operator_resumes_it() {
    let mut fleet = Fleet::new(60, 25, urgent());
    fleet.minutes(40);
    let booted: Vec<usize> = (0..60)
        .filter(|&index| fleet.view.vms[index].row.booted.is_some())
        .collect();
    let latest = &booted[booted.len() - 2..];
    // Failures in different racks, so that no rack explains them.
    for &index in latest {
        fleet.step(index, Step::Failed);
    }
    fleet.minutes(2);
    assert!(matches!(fleet.wave.state(), WaveState::Halted(_)));
    assert_eq!(fleet.minutes(60), 0);
    fleet.wave.resume();
    assert_eq!(fleet.minute().len(), 1, "goes on with few");
}

#[test]
fn the_loss_of_a_rack_does_not_halt_the_wave() {
    let settings = WaveSettings {
        failures_to_halt: 1,
        ..urgent()
    };
    let mut fleet = Fleet::new(60, 50, settings);
    fleet.minutes(32);
    let mut watched = fleet.view.vms.iter().rev();
    let watched = watched.find(|view| view.row.booted.is_some());
    let rack = watched.unwrap().place.rack;
    for index in 0..60 {
        if fleet.view.vms[index].place.rack == rack {
            fleet.step(index, Step::Failed);
        }
    }
    fleet.minutes(3);
    assert_eq!(fleet.wave.state(), WaveState::Running);
}

#[test]
fn a_wave_is_paused_resumed_and_cancelled() {
    let mut fleet = Fleet::new(60, 25, urgent());
    fleet.minutes(20);
    fleet.wave.pause();
    assert_eq!(fleet.minutes(30), 0);
    fleet.wave.resume();
    assert_eq!(fleet.minute().len(), 1);
    assert_eq!(fleet.wave.cancel(), WAVE);
    assert_eq!(fleet.minutes(30), 0);
    assert_eq!(fleet.wave.state(), WaveState::Cancelled);
}

#[test]
fn a_successor_reboots_only_what_is_left() {
    let mut fleet = Fleet::new(60, 25, urgent());
    fleet.minutes(45);
    assert!(fleet.done() > 2);
    fleet.wave = Wave::restore(WAVE, urgent(), START, WaveState::Running);
    fleet.minutes(600);
    assert_eq!(fleet.wave.state(), WaveState::Done);
    assert!(fleet.reboots.len() == 60 && fleet.reboots.values().all(|&count| count == 1));
}

#[rstest]
#[case::paused(WaveState::Paused)]
#[case::halted(WaveState::Halted(Halt { failures: 2, at: START }))]
#[case::cancelled(WaveState::Cancelled)]
fn a_successor_does_not_go_on_with_what_was_stopped(#[case] state: WaveState) {
    let mut fleet = Fleet::new(60, 25, urgent());
    fleet.minutes(20);
    fleet.wave = Wave::restore(WAVE, urgent(), START, state);
    assert_eq!(fleet.minutes(60), 0);
    assert_eq!(fleet.wave.state(), state);
}

#[test]
fn a_successor_counts_the_failures_of_what_its_predecessor_rebooted() {
    let settings = WaveSettings {
        failures_to_halt: 1,
        ..urgent()
    };
    let mut fleet = Fleet::new(60, 25, settings);
    while !fleet.view.vms.iter().any(|view| view.row.booted.is_some()) {
        fleet.minute();
    }
    fleet.wave = Wave::restore(WAVE, settings, START, WaveState::Running);
    assert_eq!(fleet.minutes(3), 0, "the first VM is still watched");
    let rebooted = fleet
        .view
        .vms
        .iter()
        .position(|view| view.row.booted.is_some());
    fleet.step(rebooted.unwrap(), Step::Failed);
    fleet.minute();
    assert!(matches!(fleet.wave.state(), WaveState::Halted(_)));
}

#[test]
fn the_estimate_comes_down_to_nothing() {
    let mut fleet = Fleet::new(60, 25, urgent());
    let mut before = Duration::MAX;
    while fleet.wave.state() == WaveState::Running {
        fleet.minutes(30);
        let progress = fleet.wave.progress(&fleet.view, fleet.now);
        assert_eq!(progress.done + progress.in_progress + progress.left, 60);
        let remaining = progress.remaining.unwrap_or_default();
        assert!(remaining <= before);
        before = remaining;
    }
    assert_eq!(before, Duration::ZERO);
}

#[rstest]
#[case::empty_pool(0, 25)]
#[case::no_budget(10, 5)]
fn a_wave_that_could_reboot_nothing_is_refused(#[case] vms: usize, #[case] percent: u8) {
    let fleet = view(vms, percent);
    let refused = Wave::new(WAVE, urgent(), &fleet, START).unwrap_err();
    match refused {
        WaveRefused::NoVms => assert_eq!(vms, 0),
        WaveRefused::BudgetAllowsNone { vms: counted, .. } => assert_eq!(counted, 10),
    }
}

/// Returns whether the VMs out of service keep the budget, counted naively.
fn naive_holds(fleet: &Fleet, percent: usize) -> bool {
    let vms = &fleet.view.vms;
    let out = vms.iter().filter(|view| !view.row.is_available()).count();
    out <= vms.len() * percent / 100
}

proptest! {
    #![proptest_config(Config {
        cases: 100,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Compares each round with a naive count, under failures, repairs and operators' words.
    #[test]
    fn no_round_breaks_the_budget(
        vms in 8..60_usize,
        events in proptest::collection::vec((0..60_usize, 0..12_u8), 10..300),
    ) {
        let settings = WaveSettings { failures_to_halt: 4, ..urgent() };
        let mut fleet = Fleet::new(vms, 25, settings);
        for (vm, event) in events {
            let vm = vm % vms;
            match event {
                0 => fleet.step(vm, Step::Failed),
                1 | 2 => (0..vms).for_each(|vm| fleet.step(vm, Step::Repaired)),
                3 => fleet.wave.pause(),
                4 | 5 => fleet.wave.resume(),
                6 => fleet.wave = Wave::restore(WAVE, settings, START, fleet.wave.state()),
                _ => {}
            }
            let reboots = fleet.minute();
            prop_assert!(reboots.is_empty() || naive_holds(&fleet, 25));
        }
    }
}

#[test]
fn reboots_that_the_rows_do_not_show_yet_count_for_the_budget() {
    let settings = WaveSettings {
        first_batch: 30,
        ..urgent()
    };
    let view = view(60, 25);
    let mut wave = Wave::new(WAVE, settings, &view, START).unwrap();
    let rounds = (0..20).map(|second| wave.round(&view, UnixMs(START.0 + second * 1000)).len());
    assert_eq!(rounds.sum::<usize>(), 11);
}
