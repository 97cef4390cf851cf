//! Routing: which backend server runs a request, from the slots dealt to this entry VM.
//!
//! [`Router::pick`] hands out a [`Slot`], which comes back by [`Router::release`] with a [`Report`]
//! of what was seen, or by [`Router::quarantine`] if the request may still run. A backend server
//! that fails fast counts as loaded, so its short run times draw no work.

mod lane;
mod retry_budget;
mod router;
mod server;
mod timers;

pub use retry_budget::{RetryBudget, RetryLimits};
pub use router::{Router, RouterLimits};
pub use server::{Counts, Health, Report, Server, ServerSpec, Slot};
