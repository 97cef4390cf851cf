//! The items of one origin as one VM knows them.

use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

use super::item::{Item, Topic, Value};
use super::message::{Delta, Summary};

/// Items of an origin, by topic and in order of their changes.
#[derive(Clone, Debug)]
pub(super) struct Origin {
    pub(super) incarnation: u64,
    pub(super) heartbeat: u64,
    /// Number up to which all changes are known.
    pub(super) number: u64,
    items: FxHashMap<Topic, (u64, Value)>,
    changes: BTreeMap<u64, Topic>,
    /// Numbers of later changes that came as rumors.
    rumored: BTreeSet<u64>,
}

impl Origin {
    pub(super) fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            heartbeat: 0,
            number: 0,
            items: FxHashMap::default(),
            changes: BTreeMap::new(),
            rumored: BTreeSet::new(),
        }
    }

    /// Returns the value of a topic.
    pub(super) fn get(&self, topic: &Topic) -> Option<Value> {
        self.items.get(topic).map(|&(_, value)| value)
    }

    /// Adds a change of its own; returns the item.
    pub(super) fn publish(&mut self, topic: Topic, value: Value) -> Item {
        self.number += 1;
        let item = Item {
            topic,
            value,
            number: self.number,
        };
        self.put(&item);
        item
    }

    /// Takes over changes that follow the known ones without a gap; returns the new items.
    pub(super) fn merge(&mut self, delta: Delta) -> Vec<Item> {
        self.heartbeat = self.heartbeat.max(delta.heartbeat);
        if delta.after > self.number || delta.number <= self.number {
            return Vec::new();
        }
        let known = self.number;
        let new: Vec<Item> = delta
            .items
            .into_iter()
            .filter(|item| item.number > known)
            .collect();
        for item in &new {
            self.put(item);
        }
        self.number = delta.number;
        self.rumored.retain(|&number| number > delta.number);
        new
    }

    /// Notes a rumor; returns whether it is new here.
    pub(super) fn note_rumor(&mut self, number: u64) -> bool {
        number > self.number && self.rumored.insert(number)
    }

    /// Returns at most `most` changes after a number.
    pub(super) fn delta(&self, origin: &SmolStr, after: u64, most: usize) -> Delta {
        let later = after.saturating_add(1)..;
        let mut items = Vec::new();
        let mut number = self.number;
        for (&change, topic) in self.changes.range(later) {
            if items.len() == most {
                // The changes between the last item and this one were overwritten since.
                number = change - 1;
                break;
            }
            let value = self.items.get(topic);
            items.extend(value.map(|&(_, value)| Item {
                topic: topic.clone(),
                value,
                number: change,
            }));
        }
        Delta {
            origin: origin.clone(),
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            after,
            number,
            items,
        }
    }

    pub(super) fn summary(&self, origin: &SmolStr) -> Summary {
        Summary {
            origin: origin.clone(),
            incarnation: self.incarnation,
            heartbeat: self.heartbeat,
            number: self.number,
        }
    }

    fn put(&mut self, item: &Item) {
        let entry = (item.number, item.value);
        if let Some((former, _)) = self.items.insert(item.topic.clone(), entry) {
            self.changes.remove(&former);
        }
        self.changes.insert(item.number, item.topic.clone());
    }
}
