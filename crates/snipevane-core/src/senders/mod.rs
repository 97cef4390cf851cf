//! Senders: entry VMs that send start orders to minions on behalf of the scheduler.
//!
//! [`SenderPool`] decides for the scheduler which sender gets which orders, [`Permission`] for a sender
//! whether it may send an order.

mod offer;
mod permission;
mod pool;

pub use offer::{SenderOffer, max_orders_in_flight};
pub use permission::{Permission, TermGrant};
pub use pool::{Assignment, Batch, SenderPool, SenderSettings};
