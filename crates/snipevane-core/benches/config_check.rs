//! Measures the validation of a manifest at the target fleet size.

use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use snipevane_core::config::check;

const TARGET: &str = include_str!("../../../samples/target.json");

fn check_target(c: &mut Criterion) {
    c.bench_function("check the manifest at the target size", |b| {
        b.iter(|| check(black_box(TARGET), "target.json"));
    });
}

criterion_group!(benches, check_target);
criterion_main!(benches);
