//! The waiting tasks of a team.

use std::collections::{BTreeMap, VecDeque};

use super::{Class, Waiting};
use crate::pools::UnixMs;

/// Order of deferred tasks: by deadline, then by arrival; those without a deadline come last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DeferredOrder {
    deadline: UnixMs,
    arrival: u64,
}

/// The waiting tasks of a team, by class.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamQueue {
    urgent: VecDeque<Waiting>,
    normal: VecDeque<Waiting>,
    deferred: BTreeMap<DeferredOrder, Waiting>,
    arrivals: u64,
}

impl TeamQueue {
    pub(super) fn push(&mut self, waiting: Waiting) {
        self.arrivals += 1;
        match waiting.class {
            Class::Urgent => self.urgent.push_back(waiting),
            Class::Normal => self.normal.push_back(waiting),
            Class::Deferred => {
                let order = DeferredOrder {
                    deadline: waiting.deadline.unwrap_or(UnixMs(u64::MAX)),
                    arrival: self.arrivals,
                };
                self.deferred.insert(order, waiting);
            }
        }
    }

    pub(super) fn is_empty(&self, class: Class) -> bool {
        match class {
            Class::Urgent => self.urgent.is_empty(),
            Class::Normal => self.normal.is_empty(),
            Class::Deferred => self.deferred.is_empty(),
        }
    }

    /// Returns the `nth` task of a class.
    pub(super) fn get(&self, class: Class, nth: usize) -> Option<&Waiting> {
        match class {
            Class::Urgent => self.urgent.get(nth),
            Class::Normal => self.normal.get(nth),
            Class::Deferred => self.deferred.values().nth(nth),
        }
    }

    /// Removes the `nth` task of a class.
    pub(super) fn remove(&mut self, class: Class, nth: usize) -> Option<Waiting> {
        match class {
            Class::Urgent => self.urgent.remove(nth),
            Class::Normal => self.normal.remove(nth),
            Class::Deferred => {
                let order = *self.deferred.keys().nth(nth)?;
                self.deferred.remove(&order)
            }
        }
    }
}
