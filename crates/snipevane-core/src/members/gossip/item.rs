//! Items that gossip carries.

use smol_str::SmolStr;

use crate::members::Sign;
use crate::routing::Load;

/// What an item is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// Configuration version in force at the VM.
    ConfigInForce,
    /// Last configuration version within whose deal the VM runs.
    ConfigSettled,
    /// A key that was withdrawn, by its identifier.
    KeyWithdrawn(SmolStr),
    /// Room that the VM has for a service, by the service's name.
    Slots(SmolStr),
    /// Free units that the VM has for a team, by the team's name.
    Units(SmolStr),
    /// A sign that the VM saw of another VM, by that VM's name.
    ServerSign(SmolStr),
}

/// What an item says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Value {
    /// A version or a sequence number.
    Number(u64),
    /// Room for a service.
    Load(Load),
    /// A number of units.
    Count(u32),
    /// A sign of one incarnation; 0 if the incarnation isn't known.
    Sign {
        /// The sign.
        sign: Sign,
        /// Incarnation of the VM that gave the sign.
        incarnation: u64,
    },
}

/// An item with its number among all changes of its origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// What the item is about.
    pub topic: Topic,
    /// What the item says.
    pub value: Value,
    /// Number of the change.
    pub number: u64,
}
