//! Events of the model, and its variants.

use proptest::prelude::{Strategy, any};

use crate::fleet::{SHARDS, VMS};

/// Variants of the model, each but the full one without one of the mechanisms.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum Variant {
    Full,
    /// The naive version: claims are kept in memory, and no other mechanism is used.
    MemoryOnly,
    /// A new list of shards takes effect immediately for all identifiers.
    ImmediateShardList,
    /// A new list of shards is used before all entry VMs know it.
    UnsettledShardList,
    /// A VM that acquires a shard doesn't seal the former holder's witness.
    WitnessIgnored,
}

#[derive(Clone, Debug)]
pub(crate) enum Event {
    AdvanceClock {
        ms: u64,
    },
    CreateId {
        ahead_ms: u64,
    },
    /// An entry VM reads a shard's row; a stale read returns an earlier version.
    ReadRow {
        vm: usize,
        shard: usize,
        versions_back: usize,
    },
    RaiseCeiling {
        vm: usize,
        shard: usize,
    },
    ApplyWrite {
        write: usize,
        reply_lost: bool,
    },
    DropWrite {
        write: usize,
    },
    Request {
        vm: usize,
        id: usize,
    },
    ExecuteRun {
        run: usize,
    },
    FinishRun {
        run: usize,
        kind: u8,
    },
    /// An entry VM's process restarts and loses its memory.
    CrashVm {
        vm: usize,
    },
    /// A VM is gone, and a VM with another name takes its place.
    ReplaceVm {
        vm: usize,
    },
    /// A holder that can't write its row requests a higher ceiling from the witness.
    ExtendCeiling {
        vm: usize,
        shard: usize,
        reply_lost: bool,
    },
    /// A VM is replaced or releases its shard, and another one acquires the shard without a lost
    /// message.
    TakeOver {
        vm: usize,
        by: usize,
        shard: usize,
        released: bool,
    },
    /// A request runs from its claim to its response.
    Serve {
        vm: usize,
        id: usize,
    },
    Release {
        vm: usize,
        shard: usize,
    },
    /// A configuration with a new list of shards is accepted.
    ChangeShards {
        /// Bit mask of the shards in the list.
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
            0..=9 => Event::AdvanceClock {
                ms: u64::from(n) * 20,
            },
            10..=19 => Event::CreateId {
                ahead_ms: u64::from(n) * 20,
            },
            20..=29 => Event::ReadRow {
                vm,
                shard,
                versions_back: usize::from(n < 32),
            },
            30..=32 => Event::RaiseCeiling { vm, shard },
            33..=39 => Event::ExtendCeiling {
                vm,
                shard,
                reply_lost: n < 32,
            },
            40..=54 => Event::ApplyWrite {
                write: index,
                reply_lost: n % 4 == 0,
            },
            55 => Event::DropWrite { write: index },
            56..=65 => Event::Request { vm, id: index },
            66..=79 => Event::Serve { vm, id: index },
            80..=84 => Event::ExecuteRun { run: index },
            85..=89 => Event::FinishRun {
                run: index,
                kind: n,
            },
            90 | 91 => Event::CrashVm { vm },
            92 | 93 => Event::ReplaceVm { vm },
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
