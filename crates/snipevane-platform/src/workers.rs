//! The platform's workers, which run tasks under leases.

use std::future::Future;

use thiserror::Error;

pub use snipevane_proto::platform::{
    LeaseRequest, Resources, StartTask, TaskAction, TaskCommand, TaskReport, TaskState,
    ThrottleTask, WorkerRefusal, WorkerReport, WorkerSpec,
};

use crate::error::PlatformError;

/// Why a lease request or a command isn't known to have been carried out.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker declined the command, which had no effect.
    #[error("the worker declined: {0}")]
    Declined(WorkerRefusal),
    /// The command failed before it had any effect.
    #[error("the command was not carried out: {0}")]
    NotApplied(PlatformError),
    /// The command may have been carried out, or may still be; it can safely be sent again.
    #[error("it is unknown whether the command was carried out: {0}")]
    Unknown(PlatformError),
}

/// The platform's workers.
///
/// A worker carries out the commands of its lease holder with the highest epoch. All its tasks end
/// when the lease expires. Commands are idempotent.
pub trait Workers: Send + Sync + 'static {
    /// Fetches the latest reports of the workers, which lag behind their actual state.
    ///
    /// # Errors
    ///
    /// Returns an error if the reports weren't received in full.
    fn reports(&self) -> impl Future<Output = Result<Vec<WorkerReport>, PlatformError>> + Send;

    /// Acquires or renews the lease on a worker.
    ///
    /// The caller must measure the duration of the lease from a time before the call.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease isn't known to be held.
    fn lease(&self, req: LeaseRequest) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Sends a command about a task.
    ///
    /// # Errors
    ///
    /// Returns an error if the command isn't known to have been carried out.
    fn command(&self, command: TaskCommand)
    -> impl Future<Output = Result<(), WorkerError>> + Send;
}
