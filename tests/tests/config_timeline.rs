//! Tests that the timeline is in causal order even if the clocks of the processes differ, and that
//! the event ring uses bounded memory.

use std::time::Duration;

use proptest::prelude::*;
use rstest::rstest;
use snipevane_cli::render_timeline;
use snipevane_core::timeline::{
    ClockDrift, EventRing, Field, Filter, Hlc, HlcClock, Level, MAX_CLOCK_DRIFT, RingLimits, merge,
};
use snipevane_proto::operator::ProcessId;
use uuid::Uuid;

/// 2026-01-05T08:00:00Z.
const START_MS: u64 = 1_767_600_000_000;

/// A process whose wall clock differs from the true time by a fixed offset.
struct Process {
    clock: HlcClock,
    ring: EventRing,
    offset_ms: i64,
}

impl Process {
    fn new(vm: &str, offset_ms: i64, limits: RingLimits) -> Self {
        let id = ProcessId {
            vm: vm.to_owned(),
            incarnation: Uuid::nil(),
        };
        Self {
            clock: HlcClock::default(),
            ring: EventRing::new(id, limits),
            offset_ms,
        }
    }

    fn wall(&self, true_ms: u64) -> u64 {
        true_ms.saturating_add_signed(self.offset_ms)
    }

    fn record(&mut self, true_ms: u64, number: u16, text: &str, fields: &[(&str, &str)]) {
        let at = self.clock.tick(self.wall(true_ms));
        let fields = fields.iter().map(|(name, value)| Field::new(*name, *value));
        self.ring.push(at, number, Level::Info, text, fields);
    }

    fn send(&mut self, true_ms: u64) -> Hlc {
        self.clock.tick(self.wall(true_ms))
    }

    fn receive(&mut self, true_ms: u64, at: Hlc) {
        let wall = self.wall(true_ms);
        assert_eq!(self.clock.observe(at, wall), Ok(()));
    }
}

#[test]
fn events_of_processes_with_differing_clocks_are_in_causal_order() {
    let limits = RingLimits::default();
    let mut a = Process::new("a-1", 0, limits);
    let mut b = Process::new("b-1", -4_000, limits);
    let mut c = Process::new("c-1", 2_500, limits);
    a.record(START_MS, 1001, "process started", &[("zone", "a")]);
    b.record(START_MS + 1, 1001, "process started", &[("zone", "b")]);
    c.record(START_MS + 2, 1001, "process started", &[("zone", "c")]);
    // A key is withdrawn at c, whose clock is ahead; c informs a and b.
    c.record(
        START_MS + 100,
        1101,
        "key withdrawn",
        &[("team", "ledger"), ("key", "k7")],
    );
    let sent_at = c.send(START_MS + 101);
    a.receive(START_MS + 102, sent_at);
    a.record(
        START_MS + 102,
        1102,
        "withdrawal learned",
        &[("team", "ledger"), ("vm", "c-1")],
    );
    b.receive(START_MS + 102, sent_at);
    b.record(
        START_MS + 103,
        1102,
        "withdrawal learned",
        &[("team", "ledger"), ("vm", "c-1")],
    );
    // b refuses the key within the same millisecond of its clock.
    b.record(
        START_MS + 103,
        1103,
        "key refused",
        &[("team", "ledger"), ("note", "two words")],
    );
    a.record(
        START_MS + 5_000,
        1201,
        "configuration in force",
        &[("version", "2")],
    );

    let all = Filter::default();
    let answers = [&b, &c, &a].map(|process| process.ring.select(&all));
    let timeline = merge(answers, ["a-1".to_owned(), "d-1".to_owned()]);
    insta::assert_snapshot!("timeline_text", render_timeline(&timeline));
    insta::assert_json_snapshot!("timeline_json", timeline);

    let ledger = Filter {
        team: Some("ledger".into()),
        vm: Some("c-1".into()),
        since_ms: START_MS + 2_000,
    };
    let chosen = [&a, &b, &c].map(|process| process.ring.select(&ledger));
    insta::assert_snapshot!("timeline_filtered", render_timeline(&merge(chosen, [])));
}

#[rstest]
#[case::clock_steps_back(START_MS, START_MS - 10_000)]
#[case::clock_stands_still(START_MS, START_MS)]
#[case::clock_goes_on(START_MS, START_MS + 1)]
fn times_of_a_process_only_rise(#[case] first_ms: u64, #[case] second_ms: u64) {
    let mut clock = HlcClock::default();
    let first = clock.tick(first_ms);
    assert!(clock.tick(second_ms) > first);
}

#[test]
fn a_remote_clock_far_ahead_is_refused_and_changes_nothing() {
    let drift = MAX_CLOCK_DRIFT + Duration::from_millis(1);
    let mut clock = HlcClock::default();
    clock.tick(START_MS);
    let before = clock;
    let remote = Hlc {
        wall_ms: START_MS + u64::try_from(drift.as_millis()).unwrap(),
        logical: 0,
    };
    assert_eq!(
        clock.observe(remote, START_MS),
        Err(ClockDrift { ahead: drift })
    );
    assert_eq!(clock, before);
    let edge = Hlc {
        wall_ms: remote.wall_ms - 1,
        logical: 65_535,
    };
    assert_eq!(Hlc::unpack(edge.pack()), edge);
    clock.observe(edge, START_MS).unwrap();
    let next = clock.tick(START_MS);
    assert!(next > edge && next.pack() > edge.pack());
}

#[rstest]
#[case::by_count(RingLimits { max_events: 10, ..RingLimits::default() })]
#[case::by_bytes(RingLimits { max_bytes: 2_000, ..RingLimits::default() })]
fn a_full_ring_keeps_the_newest_events_and_counts_the_others(#[case] limits: RingLimits) {
    let mut process = Process::new("a-1", 0, limits);
    let long = "é".repeat(10_000);
    for number in 0..500 {
        process.record(START_MS, number, "text", &[("team", &long)]);
    }
    let ring = &process.ring;
    assert!(ring.len() <= limits.max_events && ring.bytes() <= limits.max_bytes);
    let held = ring.select(&Filter::default());
    let numbers: Vec<u16> = held.events.iter().map(|event| event.number).collect();
    let kept = u16::try_from(ring.len()).unwrap();
    assert!(kept > 0);
    assert_eq!(numbers, (500 - kept..500).collect::<Vec<_>>());
    assert_eq!(held.dropped, u64::from(500 - kept));
    assert_eq!(held.events[0].fields["team"].len(), limits.max_value_bytes);
}

/// A step of a random sequence, with the processes involved and the true time that passes.
#[derive(Clone, Debug)]
enum Step {
    Record {
        who: usize,
        after_ms: u64,
    },
    Message {
        from: usize,
        to: usize,
        after_ms: u64,
    },
}

fn step(processes: usize) -> impl Strategy<Value = Step> {
    let who = 0..processes;
    prop_oneof![
        (who.clone(), 0..3_u64).prop_map(|(who, after_ms)| Step::Record { who, after_ms }),
        (who.clone(), who, 0..3_u64).prop_map(|(from, to, after_ms)| Step::Message {
            from,
            to,
            after_ms
        }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: prop::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Compares the merge with a vector clock for each event: the merge must never place an event
    /// before one that happened before it according to the vector clocks.
    #[test]
    fn the_merge_agrees_with_vector_clocks(
        offsets in prop::collection::vec(-20_000_i64..20_000, 4),
        steps in prop::collection::vec(step(4), 1..120),
    ) {
        let mut processes: Vec<Process> = offsets
            .iter()
            .enumerate()
            .map(|(i, offset)| Process::new(&format!("vm-{i}"), *offset, RingLimits::default()))
            .collect();
        let mut process_vectors = [[0_u32; 4]; 4];
        let mut event_vectors: Vec<[u32; 4]> = Vec::new();
        let mut now = START_MS;
        for step in steps {
            match step {
                Step::Record { who, after_ms } => {
                    now += after_ms;
                    process_vectors[who][who] += 1;
                    let number = u16::try_from(event_vectors.len()).unwrap();
                    event_vectors.push(process_vectors[who]);
                    processes[who].record(now, number, "event", &[]);
                }
                Step::Message { from, to, after_ms } => {
                    let at = processes[from].send(now);
                    now += after_ms;
                    processes[to].receive(now, at);
                    let sent = process_vectors[from];
                    for (own, seen) in process_vectors[to].iter_mut().zip(sent) {
                        *own = seen.max(*own);
                    }
                }
            }
        }
        let answers = processes.iter().map(|process| process.ring.select(&Filter::default()));
        let merged = merge(answers, []).events;
        prop_assert_eq!(merged.len(), event_vectors.len());
        for (i, earlier) in merged.iter().enumerate() {
            for later in &merged[i + 1..] {
                let (a, b) = (
                    event_vectors[usize::from(earlier.number)],
                    event_vectors[usize::from(later.number)],
                );
                let reversed = b != a && b.iter().zip(a).all(|(b, a)| *b <= a);
                prop_assert!(!reversed, "{} shown before {}", earlier.number, later.number);
            }
        }
    }
}
