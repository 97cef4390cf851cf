//! Tests that each version has one writer, that every outcome reported to an operator is true, and
//! that the version in force never falls, for random orders of steps, lost replies, delayed writes,
//! stale reads and restarts.

use proptest::prelude::*;
use smol_str::SmolStr;
use snipevane_core::config::in_force::{
    ApplyAttempt, ApplyOutcome, ApplyStep, CommitReply, HeadRow, InForce, OfferOutcome, Proof,
    VersionRow,
};
use uuid::Uuid;

/// A write of a head that was sent to the table.
#[derive(Clone, Debug)]
struct Write {
    checked: Option<u64>,
    head: HeadRow,
}

/// Model of the table: all heads ever written, and writes that are still in flight.
#[derive(Clone, Debug)]
struct Table {
    heads: Vec<HeadRow>,
    delayed: Vec<Write>,
}

impl Table {
    fn new() -> Self {
        Self {
            heads: vec![HeadRow::default()],
            delayed: Vec::new(),
        }
    }

    fn latest(&self) -> &HeadRow {
        &self.heads[self.heads.len() - 1]
    }

    /// Reads the head as it was `age` writes ago.
    fn read(&self, age: usize) -> HeadRow {
        self.heads[self.heads.len().saturating_sub(1 + age)].clone()
    }

    /// Reads the row of a version; the read doesn't see the last `age` writes.
    fn version_row(&self, version: u64, age: usize) -> Option<VersionRow> {
        let seen = &self.heads[..self.heads.len().saturating_sub(age)];
        let head = seen.iter().find(|head| head.version == version);
        head.filter(|head| head.version > 0).map(|head| VersionRow {
            write_id: head.write_id,
        })
    }

    /// Applies a write if its check of the row version holds; returns whether it does.
    fn commit(&mut self, write: Write) -> bool {
        if write.checked != self.latest().row_version {
            return false;
        }
        let row_version = Some(write.checked.unwrap_or(0) + 1);
        self.heads.push(HeadRow {
            row_version,
            ..write.head
        });
        true
    }

    /// Returns the version that a write made, if it took effect.
    fn written_version(&self, write_id: Uuid) -> Option<u64> {
        let mut written = self.heads.iter().skip(1);
        let head = written.find(|head| head.write_id == write_id);
        head.map(|head| head.version)
    }
}

/// An attempt of an operator to apply a manifest.
#[derive(Clone, Debug)]
struct Attempt {
    apply: ApplyAttempt,
    step: ApplyStep,
    based_on: u64,
    hash: SmolStr,
    write_id: Uuid,
}

/// Fault of the platform during one call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// The platform is unreachable, so the call isn't carried out.
    Unreachable,
    /// A commit is carried out, but its reply is lost.
    ReplyLost,
    /// A commit isn't carried out, and the caller doesn't know it.
    RequestLost,
    /// A commit is carried out later, and its reply is lost.
    Delayed,
}

/// An event of a random sequence.
#[derive(Clone, Debug)]
enum Event {
    Apply {
        manifest: u8,
        behind: u64,
    },
    Retry {
        who: usize,
    },
    Advance {
        who: usize,
        fault: Fault,
        age: usize,
    },
    DeliverDelayed,
    Poll {
        vm: usize,
        age: usize,
    },
    LearnFromPeer {
        vm: usize,
        from: usize,
    },
    Restart {
        vm: usize,
    },
}

const VMS: usize = 4;

fn event() -> impl Strategy<Value = Event> {
    let fault = prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Unreachable),
        1 => Just(Fault::ReplyLost),
        1 => Just(Fault::RequestLost),
        1 => Just(Fault::Delayed),
    ];
    let age = prop_oneof![2 => Just(0_usize), 1 => 1..4_usize];
    prop_oneof![
        2 => (0..4_u8, 0..3_u64).prop_map(|(manifest, behind)| Event::Apply { manifest, behind }),
        1 => (0..8_usize).prop_map(|who| Event::Retry { who }),
        12 => (0..8_usize, fault, age.clone())
            .prop_map(|(who, fault, age)| Event::Advance { who, fault, age }),
        2 => Just(Event::DeliverDelayed),
        3 => (0..VMS, age).prop_map(|(vm, age)| Event::Poll { vm, age }),
        2 => (0..VMS, 0..VMS).prop_map(|(vm, from)| Event::LearnFromPeer { vm, from }),
        1 => (0..VMS).prop_map(|vm| Event::Restart { vm }),
    ]
}

/// Model of a site: the table, attempts to apply manifests, and entry VMs.
struct Model {
    table: Table,
    attempts: Vec<Attempt>,
    vms: Vec<InForce>,
    /// Highest version that each VM ever had in force, over its restarts.
    highest: Vec<u64>,
    next_id: u128,
}

impl Model {
    fn new() -> Self {
        Self {
            table: Table::new(),
            attempts: Vec::new(),
            vms: vec![InForce::default(); VMS],
            highest: vec![0; VMS],
            next_id: 1,
        }
    }

    fn run(&mut self, event: Event) {
        match event {
            Event::Apply { manifest, behind } => {
                let based_on = self.table.latest().version.saturating_sub(behind);
                let hash = SmolStr::new(format!("h{manifest}"));
                let write_id = Uuid::from_u128(self.next_id);
                self.next_id += 1;
                self.start(based_on, hash, write_id);
            }
            Event::Retry { who } => {
                let Some(attempt) = self.attempts.get(who).cloned() else {
                    return;
                };
                self.start(attempt.based_on, attempt.hash, attempt.write_id);
            }
            Event::Advance { who, fault, age } => self.advance(who, fault, age),
            Event::DeliverDelayed => {
                if let Some(write) = self.table.delayed.pop() {
                    self.table.commit(write);
                }
            }
            Event::Poll { vm, age } => self.poll(vm, age),
            Event::LearnFromPeer { vm, from } => {
                let version = self.vms[from].version();
                self.offer(vm, version, Proof::Peer);
            }
            Event::Restart { vm } => self.vms[vm] = InForce::default(),
        }
    }

    fn start(&mut self, based_on: u64, hash: SmolStr, write_id: Uuid) {
        let (apply, step) = ApplyAttempt::new(based_on, hash.clone(), write_id);
        self.attempts.push(Attempt {
            apply,
            step,
            based_on,
            hash,
            write_id,
        });
    }

    fn advance(&mut self, who: usize, fault: Fault, age: usize) {
        let Some(mut attempt) = self.attempts.get(who).cloned() else {
            return;
        };
        let unreachable = matches!(fault, Fault::Unreachable);
        let table = &mut self.table;
        attempt.step = match attempt.step {
            ApplyStep::ReadHead => attempt
                .apply
                .on_head((!unreachable).then(|| table.read(age))),
            ApplyStep::CheckHead { row_version } => {
                let same = table.latest().row_version == row_version;
                let reply = match (unreachable, same) {
                    (true, _) => CommitReply::Unknown,
                    (false, true) => CommitReply::Committed,
                    (false, false) => CommitReply::Conflict,
                };
                attempt.apply.on_check(reply)
            }
            ApplyStep::PutBody => attempt.apply.on_body(!unreachable),
            ApplyStep::Commit {
                row_version,
                version,
            } => {
                let head = HeadRow {
                    row_version: None,
                    version,
                    hash: attempt.hash.clone(),
                    write_id: attempt.write_id,
                };
                let write = Write {
                    checked: row_version,
                    head,
                };
                attempt.apply.on_commit(send(table, write, fault))
            }
            ApplyStep::ReadVersionRow { version } => {
                let reply = (!unreachable).then(|| table.version_row(version, age));
                attempt.apply.on_version_row(reply)
            }
            ApplyStep::Done(outcome) => ApplyStep::Done(outcome),
        };
        self.attempts[who] = attempt;
    }

    fn poll(&mut self, vm: usize, age: usize) {
        let head = self.table.read(age);
        let before = self.vms[vm].version();
        if self.offer(vm, head.version, Proof::Read) == OfferOutcome::NeedsCheck
            && self.table.latest().row_version == head.row_version
        {
            self.offer(vm, head.version, Proof::Checked);
        }
        // After a restart, a version read from the table is never below the highest one that this
        // VM had in force before.
        let after = self.vms[vm].version();
        assert!(before > 0 || after == 0 || after >= self.highest[vm]);
    }

    fn offer(&mut self, vm: usize, version: u64, proof: Proof) -> OfferOutcome {
        let before = self.vms[vm].version();
        let outcome = self.vms[vm].offer(version, proof);
        assert!(self.vms[vm].version() >= before);
        self.highest[vm] = self.highest[vm].max(self.vms[vm].version());
        outcome
    }

    /// Compares the outcomes reported to operators with what the table holds.
    fn check(&self) {
        let versions: Vec<u64> = self.table.heads.iter().map(|head| head.version).collect();
        let expected: Vec<u64> = (0..).take(versions.len()).collect();
        assert_eq!(versions, expected, "each version is written once, in order");
        for attempt in &self.attempts {
            let ApplyStep::Done(outcome) = attempt.step else {
                continue;
            };
            let written = self.table.written_version(attempt.write_id);
            // Another attempt with the same identifier may have written after this one ended.
            let alone = self
                .attempts
                .iter()
                .filter(|other| other.write_id == attempt.write_id)
                .count()
                == 1;
            match outcome {
                ApplyOutcome::Applied {
                    version,
                    already_in_force: false,
                } => {
                    assert_eq!(written, Some(version));
                }
                ApplyOutcome::Applied {
                    version,
                    already_in_force: true,
                } => {
                    let head = self.table.heads.iter().find(|head| head.version == version);
                    assert_eq!(head.map(|head| &head.hash), Some(&attempt.hash));
                }
                ApplyOutcome::Conflict { latest_version } => {
                    assert!(latest_version <= self.table.latest().version);
                    let decisive = alone || latest_version > attempt.based_on;
                    assert!(
                        !decisive || written.is_none(),
                        "a conflict was reported, but the write took effect"
                    );
                }
                ApplyOutcome::Unreachable => {
                    assert!(
                        !alone || written.is_none(),
                        "the manifest was reported as not accepted, but the write took effect"
                    );
                }
                ApplyOutcome::Unknown { version } => {
                    assert!(written.is_none_or(|written| written == version));
                }
            }
        }
    }
}

fn send(table: &mut Table, write: Write, fault: Fault) -> CommitReply {
    match fault {
        Fault::Unreachable => CommitReply::NotApplied,
        Fault::RequestLost => CommitReply::Unknown,
        Fault::Delayed => {
            table.delayed.push(write);
            CommitReply::Unknown
        }
        Fault::ReplyLost => {
            table.commit(write);
            CommitReply::Unknown
        }
        Fault::None if table.commit(write) => CommitReply::Committed,
        Fault::None => CommitReply::Conflict,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_024,
        rng_seed: prop::test_runner::RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn outcomes_are_true_and_versions_only_rise(
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut model = Model::new();
        for event in events {
            model.run(event);
            model.check();
        }
        while let Some(write) = model.table.delayed.pop() {
            model.table.commit(write);
        }
        model.check();
    }
}

/// Runs an attempt to its end against a table without faults.
fn finish(
    table: &mut Table,
    attempt: (ApplyAttempt, ApplyStep),
    hash: &str,
    id: u128,
) -> ApplyOutcome {
    let mut model = Model::new();
    std::mem::swap(&mut model.table, table);
    model.attempts.push(Attempt {
        apply: attempt.0,
        step: attempt.1,
        based_on: 0,
        hash: hash.into(),
        write_id: Uuid::from_u128(id),
    });
    let outcome = loop {
        if let ApplyStep::Done(outcome) = model.attempts[0].step {
            break outcome;
        }
        model.advance(0, Fault::None, 0);
    };
    std::mem::swap(&mut model.table, table);
    outcome
}

fn attempt(based_on: u64, hash: &str, id: u128) -> (ApplyAttempt, ApplyStep) {
    ApplyAttempt::new(based_on, hash, Uuid::from_u128(id))
}

fn applied(version: u64, already_in_force: bool) -> ApplyOutcome {
    ApplyOutcome::Applied {
        version,
        already_in_force,
    }
}

#[test]
fn the_same_manifest_twice_is_the_same_version_and_a_return_to_it_is_a_new_one() {
    let mut table = Table::new();
    assert_eq!(
        finish(&mut table, attempt(0, "a", 1), "a", 1),
        applied(1, false)
    );
    assert_eq!(
        finish(&mut table, attempt(1, "a", 2), "a", 2),
        applied(1, true)
    );
    assert_eq!(
        finish(&mut table, attempt(0, "a", 3), "a", 3),
        applied(1, true)
    );
    assert_eq!(
        finish(&mut table, attempt(1, "b", 4), "b", 4),
        applied(2, false)
    );
    let raced = finish(&mut table, attempt(1, "c", 5), "c", 5);
    assert_eq!(raced, ApplyOutcome::Conflict { latest_version: 2 });
    assert_eq!(
        finish(&mut table, attempt(2, "a", 6), "a", 6),
        applied(3, false)
    );
    // A retry of the write that made version 2 finds that it was accepted, although version 3 has
    // replaced it since.
    assert_eq!(
        finish(&mut table, attempt(1, "b", 4), "b", 4),
        applied(2, false)
    );
}

/// A stale read of a head with the same hash must not hide that another manifest is in force.
#[test]
fn an_old_row_isnt_taken_for_the_same_manifest() {
    let mut table = Table::new();
    finish(&mut table, attempt(0, "a", 1), "a", 1);
    finish(&mut table, attempt(1, "b", 2), "b", 2);
    let (mut apply, step) = attempt(1, "a", 3);
    assert_eq!(step, ApplyStep::ReadHead);
    let step = apply.on_head(Some(table.read(1)));
    assert!(matches!(step, ApplyStep::CheckHead { .. }), "{step:?}");
    let step = apply.on_check(CommitReply::Conflict);
    let outcome = finish(&mut table, (apply, step), "a", 3);
    assert_eq!(outcome, ApplyOutcome::Conflict { latest_version: 2 });
}
