//! Messages of the gossip.

use smol_str::SmolStr;

use super::item::{Item, Topic, Value};

/// What a VM knows of one origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Summary {
    /// VM that the items are from.
    pub origin: SmolStr,
    /// Incarnation of the origin.
    pub incarnation: u64,
    /// Ticks that the origin has made.
    pub heartbeat: u64,
    /// Number of the last change that is known.
    pub number: u64,
}

/// What a VM knows of some origins.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// The origins.
    pub summaries: Vec<Summary>,
    /// Whether these are all origins that the sender knows.
    pub complete: bool,
    /// Rumors that the sender heard in its last ticks.
    pub rumors: Vec<Rumor>,
}

/// Changes of one origin, without a gap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// VM that the items are from.
    pub origin: SmolStr,
    /// Incarnation of the origin.
    pub incarnation: u64,
    /// Ticks that the origin has made.
    pub heartbeat: u64,
    /// Number of the change after which the items follow.
    pub after: u64,
    /// Number up to which the receiver knows all changes with these items.
    pub number: u64,
    /// The items in order of their numbers; those that were changed again are left out.
    pub items: Vec<Item>,
}

/// Answer to a digest.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// What the sender of the digest lacks.
    pub deltas: Vec<Delta>,
    /// What the answering VM knows of the origins of which it lacks something.
    pub wants: Vec<Summary>,
    /// Rumors that the answering VM heard in its last ticks.
    pub rumors: Vec<Rumor>,
}

/// An urgent item on its way to all VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rumor {
    /// VM that the item is from.
    pub origin: SmolStr,
    /// Incarnation of the origin.
    pub incarnation: u64,
    /// The item.
    pub item: Item,
}

/// What a message brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// A VM was alive lately.
    Heartbeat {
        /// The VM.
        vm: SmolStr,
        /// Its incarnation.
        incarnation: u64,
    },
    /// A VM published something. Items may come more than once.
    Item {
        /// The VM.
        vm: SmolStr,
        /// Its incarnation.
        incarnation: u64,
        /// What the item is about.
        topic: Topic,
        /// What the item says.
        value: Value,
    },
}
