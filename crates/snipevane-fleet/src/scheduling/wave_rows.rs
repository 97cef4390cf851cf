//! Rows of the progress of maintenance waves.

use std::collections::VecDeque;

use smol_str::{SmolStr, ToSmolStr};
use snipevane_adapter::config;
use snipevane_adapter::rows::{Row, Transaction};
use snipevane_core::jobs::WaveProgress;

use crate::rows::{self, WAVES_TABLE, WaveRow};

/// Adds progress to the queue of what is to be stored, in place of earlier progress of the same wave.
pub(super) fn enqueue(pending: &mut VecDeque<WaveProgress>, progress: WaveProgress) {
    let mut earlier = pending.iter_mut();
    match earlier.find(|earlier| earlier.number == progress.number) {
        Some(earlier) => *earlier = progress,
        None => pending.push_back(progress),
    }
}

/// Returns the entries that store the progress of a wave, for the next term and for the operator.
///
/// The list of VMs is no longer than the one in the operator's request, which fits in a row.
pub(super) fn encode(progress: &WaveProgress) -> Transaction {
    let status_key: SmolStr = config::wave_status_key(progress.number).into();
    let status = config::encode_wave_status(progress.completed);
    let row = WaveRow {
        done: progress.settled.clone(),
        completed: progress.completed,
        seen_unix_ms: progress.seen_unix_ms,
    };
    Transaction {
        writes: vec![
            (config::STATUS_TABLE.into(), status_key, status),
            (
                WAVES_TABLE.into(),
                progress.number.to_smolstr(),
                rows::encode(&row),
            ),
        ],
        ..Transaction::default()
    }
}

/// Decodes the stored progress of a wave; returns `None` for a row that isn't one.
pub(super) fn decode(row: &Row) -> Option<WaveProgress> {
    let number = row.key.parse().ok()?;
    let value: WaveRow = rows::decode(&row.key, row.value.as_ref()?)?;
    Some(WaveProgress {
        number,
        settled: value.done,
        completed: value.completed,
        seen_unix_ms: value.seen_unix_ms,
    })
}
