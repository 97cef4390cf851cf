//! Traits for and HTTP client of the platform's table, object store, VM list and workers.
//!
//! The rest of the system is generic over the traits [`Table`], [`ObjectStore`], [`VmList`] and
//! [`Workers`]; [`PlatformClient`] implements them over HTTP. [`commit_resolved`] determines the
//! outcome of a transaction whose response was lost.

mod client;
mod error;
mod object_store;
mod resolve;
mod retry;
mod settings;
mod table;
mod vm_list;
mod wire;
mod workers;

pub use client::PlatformClient;
pub use error::{CommitError, PlatformError};
pub use object_store::ObjectStore;
pub use resolve::commit_resolved;
pub use retry::{RetryBudget, RetryPolicy};
pub use settings::PlatformSettings;
pub use table::{Check, Committed, Row, Table, Transaction, Write};
pub use vm_list::{VmEntry, VmList, VmRole, VmState};
pub use workers::{
    LeaseRequest, Resources, StartTask, TaskAction, TaskCommand, TaskReport, TaskState,
    ThrottleTask, WorkerError, WorkerRefusal, WorkerReport, WorkerSpec, Workers,
};
