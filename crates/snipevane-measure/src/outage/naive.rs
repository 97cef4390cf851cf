//! A node that commits each row by itself.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::Node;
use super::demand::DueRow;
use super::platform_model::PlatformModel;
use super::report::Log;

/// Pause before a row is sent again.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// A node that sends each row until it's applied.
#[derive(Default)]
pub(super) struct NaiveNode {
    waiting: BTreeMap<SmolStr, DueRow>,
    due: BinaryHeap<Reverse<(Instant, SmolStr)>>,
}

impl Node for NaiveNode {
    fn submit(&mut self, row: DueRow, now: Instant) {
        let key = row.key.clone();
        if self.waiting.insert(key.clone(), row).is_none() {
            self.due.push(Reverse((now, key)));
        }
    }

    fn step(&mut self, now: Instant, platform: &mut PlatformModel, log: &mut Log) {
        while let Some(Reverse((due, _))) = self.due.peek()
            && *due <= now
        {
            let Some(Reverse((_, key))) = self.due.pop() else {
                return;
            };
            let applied = platform.commit(now).is_ok();
            log.attempt(now, applied);
            if !applied {
                self.due.push(Reverse((now + RETRY_PAUSE, key)));
                continue;
            }
            if let Some(row) = self.waiting.remove(&key) {
                log.written(&row, now);
            }
        }
    }
}
