//! What entry VMs tell each other by gossip: anti-entropy for all items, rumors for urgent ones.
//!
//! Each VM numbers its own items. Once a tick it sends a digest (incarnation, heartbeat and number
//! of some VMs) to one peer, which answers with the items that the sender lacks and asks for those
//! that it lacks itself. Work that mustn't wait for the ticks goes on as a rumor to a few peers at
//! once, and each VM that hears it first passes it on.

mod exchange;
mod item;
mod message;
mod origin;

pub use exchange::{Gossip, GossipLimits};
pub use item::{Item, Topic, Value};
pub use message::{Answer, Delta, Digest, News, Rumor, Summary};
