//! Ring buffer of the events of a process, in bounded memory.

use std::collections::VecDeque;
use std::mem;

use smol_str::SmolStr;
use snipevane_proto::operator::{Events, ProcessId};

use crate::timeline::{Field, Filter, Hlc, Level, Record};

/// Limits of a ring buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RingLimits {
    /// Maximum number of events.
    pub max_events: usize,
    /// Maximum memory of all events together, in bytes.
    pub max_bytes: usize,
    /// Maximum length of a field's value, in bytes; longer values are truncated.
    pub max_value_bytes: usize,
    /// Maximum number of fields of an event; further ones are omitted.
    pub max_fields: usize,
}

impl Default for RingLimits {
    fn default() -> Self {
        Self {
            max_events: 16_384,
            max_bytes: 4 << 20,
            max_value_bytes: 256,
            max_fields: 16,
        }
    }
}

/// Ring buffer of the last events of a process; the oldest events are dropped first.
#[derive(Clone, Debug)]
pub struct EventRing {
    process: ProcessId,
    limits: RingLimits,
    records: VecDeque<Record>,
    bytes: usize,
    dropped: u64,
}

impl EventRing {
    /// Creates an empty ring buffer for a process.
    pub fn new(process: ProcessId, limits: RingLimits) -> Self {
        Self {
            process,
            limits,
            records: VecDeque::new(),
            bytes: 0,
            dropped: 0,
        }
    }

    /// Adds an event; `at` must come from the process's [`HlcClock`](crate::timeline::HlcClock).
    pub fn push(
        &mut self,
        at: Hlc,
        number: u16,
        level: Level,
        text: impl Into<SmolStr>,
        fields: impl IntoIterator<Item = Field>,
    ) {
        let fields = fields
            .into_iter()
            .take(self.limits.max_fields)
            .map(|field| Field {
                value: truncate(field.value, self.limits.max_value_bytes),
                ..field
            })
            .collect();
        let record = Record {
            at,
            number,
            level,
            text: text.into(),
            fields,
        };
        self.bytes += footprint(&record);
        self.records.push_back(record);
        while self.records.len() > self.limits.max_events || self.bytes > self.limits.max_bytes {
            self.drop_oldest();
        }
    }

    /// Returns the number of events in the buffer.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the memory of the events in the buffer, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the events that match, oldest first, as the operator listener sends them.
    pub fn select(&self, filter: &Filter) -> Events {
        let events = self
            .records
            .iter()
            .filter(|record| filter.matches(record, &self.process.vm))
            .map(|record| record.to_event(&self.process))
            .collect();
        Events {
            process: self.process.clone(),
            events,
            dropped: self.dropped,
            unreachable: Vec::new(),
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(record) = self.records.pop_front() {
            self.bytes -= footprint(&record);
            self.dropped += 1;
        }
    }
}

/// Returns the memory that an event takes, in bytes, without the overhead of the allocator.
fn footprint(record: &Record) -> usize {
    let fields: usize = record
        .fields
        .iter()
        .map(|field| mem::size_of::<Field>() + field.name.len() + field.value.len())
        .sum();
    mem::size_of::<Record>() + record.text.len() + fields
}

fn truncate(value: SmolStr, max_bytes: usize) -> SmolStr {
    if value.len() <= max_bytes {
        return value;
    }
    SmolStr::new(&value[..value.floor_char_boundary(max_bytes)])
}
