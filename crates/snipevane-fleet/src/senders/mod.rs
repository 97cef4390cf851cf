//! Senders: other entry VMs than the scheduler's send start orders to minions on its behalf.
//!
//! The scheduler sends batches of orders ([`send_batch`]). A sender passes the orders on as long as its
//! permission and the batch allow ([`send_starts`]), and reports each outcome as soon as it is known.

mod dispatch;
pub mod messages;
mod order_sender;
mod outcome_lines;
mod outcome_stream;

pub(crate) use dispatch::send_batch;
pub use order_sender::OrderSender;
pub(crate) use order_sender::{offer, send_starts};
pub use outcome_lines::OutcomeLines;
pub(crate) use outcome_stream::OutcomeStream;
