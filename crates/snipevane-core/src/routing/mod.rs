//! Routing: which backend server runs a request, from the slots dealt to this entry VM.
//!
//! [`Router::pick`] hands out a [`Slot`], which comes back by [`Router::release`] with a [`RequestOutcome`]
//! of what was seen, or by [`Router::quarantine`] if the request may still run. A backend server
//! that fails fast counts as loaded, so its short run times draw no work.
//!
//! Without a free slot of its own, an entry VM forwards a request once: to a peer with a free slot,
//! or to wait at a peer with a clearly shorter queue per slot. [`Peers`] chooses the peer from the
//! notices that [`LoadReporter`] makes due.

mod load_reporter;
mod peers;
mod retry_budget;
mod router;
mod server;
mod server_index;
mod timers;

pub use load_reporter::{LoadReporter, LoadReporterSettings};
pub use peers::{Distance, ForwardingSettings, Load, PeerKey, Peers};
pub use retry_budget::{RetryBudget, RetrySettings};
pub use router::{Router, RouterSettings};
pub use server::{Health, RequestOutcome, Server, ServerSpec, ServerStats, Slot};
