//! Parts of the suites on limits, claims, keys and shards.

use proptest::test_runner::{Config, RngSeed};
use snipevane_core::shards::ShardName;

const SEED: u64 = 4;

/// Returns the settings of a differential test with a fixed seed.
pub fn seeded(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Returns shards that are spread over three zones.
pub fn shards(count: u16) -> Vec<ShardName> {
    (0..count)
        .map(|index| ShardName {
            zone: format!("z{}", index % 3).into(),
            index: index / 3,
        })
        .collect()
}
