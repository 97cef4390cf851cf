//! Load balancing of requests over backend servers, within the slots allocated to this entry VM.
//!
//! A slot is the right to run one request on a backend server; each entry VM is allocated a part of
//! the slots. [`Router::pick`] returns a [`Slot`], which the caller gives back with
//! [`Router::release`] and the [`RequestOutcome`], or with [`Router::quarantine`] if the request
//! may still be running. Failures of a backend server count as load, so a server that fails fast
//! does not attract requests by its short run times.
//!
//! An entry VM that has no free slot of its own forwards a request at most once: to a peer with a
//! free slot, or into the queue of a peer whose queue per slot is clearly shorter. [`Peers`]
//! selects the peer from the load reports that the entry VMs send when their [`LoadReporter`] says
//! that they are due. Only the measuring tool uses [`Peers`] and [`LoadReporter`].

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
