//! Group commit: writes of rows gathered into few transactions, the most important ones first.
//!
//! [`WriteQueue`] decides what is written when; it does no I/O and takes the time as an argument.
//! [`Writer`] drives it against a [`Table`](crate::Table).

mod driver;
mod pace;
mod queue;
mod row_write;

pub use driver::{Writer, WriterHandle};
pub use pace::{Pace, PaceSettings};
pub use queue::{Batch, NextBatch, Settled, WriteQueue, WriteQueueSettings};
pub use row_write::{Condition, Importance, RowWrite, WriteError};
