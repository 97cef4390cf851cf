//! The scheduler's term: the election of its holder, and the work that the holder does.

mod callers_write;
mod candidate;
mod decisions;
mod feeds;
mod handover;
mod leader;
mod notes;
mod open_vm_orders;
mod orders;
mod own_changes;
mod reach;
mod row_write;
mod stats;
mod storing;
mod view;
mod vm_calls;
mod vms;
mod wave_rows;
mod won_term;

pub use candidate::run_candidate;
pub use leader::Leader;
pub(crate) use orders::{ORDER_TIMEOUT, reply_name};
pub use reach::report_unheard_terms;
pub use view::SchedulerView;
