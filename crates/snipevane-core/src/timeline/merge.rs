//! Merging of the events of several processes.

use std::collections::{BTreeMap, BTreeSet};

use snipevane_proto::operator::{DroppedEvents, Event, Events, Timeline};
use uuid::Uuid;

/// Merges the events of several processes in causal order.
///
/// An event comes after all events that could influence it. Events that couldn't influence each
/// other are ordered by time, then by process. An event that several responses contain appears
/// once. `unreachable` names processes that didn't respond. The result doesn't list processes that
/// did respond, even if another process couldn't reach them.
pub fn merge(
    responses: impl IntoIterator<Item = Events>,
    unreachable: impl IntoIterator<Item = String>,
) -> Timeline {
    let mut events = Vec::new();
    let mut dropped = BTreeMap::new();
    let mut responded = BTreeSet::new();
    let mut missing: BTreeSet<String> = unreachable.into_iter().collect();
    for response in responses {
        events.extend(response.events);
        missing.extend(response.unreachable);
        let process = response.process;
        responded.insert(process.vm.clone());
        let count = dropped
            .entry((process.vm, process.incarnation))
            .or_insert(0);
        *count = response.dropped.max(*count);
    }
    events.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    events.dedup();
    let dropped = dropped
        .into_iter()
        .filter(|(_, count)| *count > 0)
        .map(|((vm, incarnation), count)| DroppedEvents {
            vm,
            incarnation,
            count,
        })
        .collect();
    Timeline {
        events,
        dropped,
        unreachable: missing.difference(&responded).cloned().collect(),
    }
}

fn sort_key(event: &Event) -> (u64, u32, &str, Uuid, u16) {
    let process = &event.process;
    (
        event.wall_ms,
        event.logical,
        &process.vm,
        process.incarnation,
        event.number,
    )
}
