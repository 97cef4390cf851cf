//! Events of the model, and which mechanism is taken out.

use proptest::prelude::{Strategy, any};

use crate::fleet::{SHARDS, VMS};

/// Which mechanism is taken out.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Rule {
    Full,
    /// The naive version: claims in memory and nothing else.
    MemoryOnly,
    /// A new list of shards takes effect at once for all identifiers.
    ListAtOnce,
    /// A new list of shards is used before all entry VMs know it.
    ListUnsettled,
    /// Who takes a shard doesn't ask the former holder's witness.
    WitnessIgnored,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    Tick {
        ms: u64,
    },
    Mint {
        ahead_ms: u64,
    },
    Read {
        vm: usize,
        shard: usize,
        back: usize,
    },
    Raise {
        vm: usize,
        shard: usize,
    },
    Land {
        write: usize,
        answer_lost: bool,
    },
    Drop {
        write: usize,
    },
    Request {
        vm: usize,
        id: usize,
    },
    Execute {
        run: usize,
    },
    Finish {
        run: usize,
        kind: u8,
    },
    Crash {
        vm: usize,
    },
    Replace {
        vm: usize,
    },
    /// A holder that can't write its row asks the witness for a higher ceiling.
    Extend {
        vm: usize,
        shard: usize,
        answer_lost: bool,
    },
    /// A VM is replaced or released, and another one takes its shard without a lost message.
    TakeOver {
        vm: usize,
        by: usize,
        shard: usize,
        released: bool,
    },
    /// A request runs from its claim to its answer.
    Serve {
        vm: usize,
        id: usize,
    },
    Release {
        vm: usize,
        shard: usize,
    },
    ChangeShards {
        members: u8,
    },
    LoadConfiguration {
        vm: usize,
    },
}

pub(crate) fn event() -> impl Strategy<Value = Event> {
    (0..100_u8, 0..VMS, 0..SHARDS as usize, any::<u8>()).prop_map(|(kind, vm, shard, n)| {
        let index = usize::from(n);
        match kind {
            0..=9 => Event::Tick {
                ms: u64::from(n) * 20,
            },
            10..=19 => Event::Mint {
                ahead_ms: u64::from(n) * 20,
            },
            20..=29 => Event::Read {
                vm,
                shard,
                back: usize::from(n < 32),
            },
            30..=32 => Event::Raise { vm, shard },
            33..=39 => Event::Extend {
                vm,
                shard,
                answer_lost: n < 32,
            },
            40..=54 => Event::Land {
                write: index,
                answer_lost: n % 4 == 0,
            },
            55 => Event::Drop { write: index },
            56..=65 => Event::Request { vm, id: index },
            66..=79 => Event::Serve { vm, id: index },
            80..=84 => Event::Execute { run: index },
            85..=89 => Event::Finish {
                run: index,
                kind: n,
            },
            90 | 91 => Event::Crash { vm },
            92 | 93 => Event::Replace { vm },
            94 => Event::Release { vm, shard },
            95 => Event::ChangeShards { members: n % 7 + 1 },
            96 | 97 => Event::LoadConfiguration { vm },
            _ => Event::TakeOver {
                vm,
                by: index % VMS,
                shard,
                released: n >= 128,
            },
        }
    })
}
