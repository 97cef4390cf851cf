//! The platform's workers: tasks under leases.

use std::future::Future;

use thiserror::Error;

pub use snipevane_proto::platform::{
    LeaseRequest, Resources, StartTask, TaskAction, TaskCommand, TaskReport, TaskState,
    ThrottleTask, WorkerRefusal, WorkerReport, WorkerSpec,
};

use crate::error::PlatformError;

/// Why a command isn't known to have been carried out.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WorkerError {
    /// The worker declined; the command had no effect.
    #[error("the worker declined: {0}")]
    Declined(WorkerRefusal),
    /// The command had no effect.
    #[error("the command was not carried out: {0}")]
    NotApplied(PlatformError),
    /// The command may have been carried out, or may yet be; it can be sent again.
    #[error("it is unknown whether the command was carried out: {0}")]
    Unknown(PlatformError),
}

/// The platform's workers.
///
/// A worker obeys the holder of its lease with the highest epoch. When the lease lapses, all its
/// tasks end. A command that is sent twice has the effect of one.
pub trait Workers: Send + Sync + 'static {
    /// Fetches what the workers reported last, which lags.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform didn't answer with all reports.
    fn reports(&self) -> impl Future<Output = Result<Vec<WorkerReport>, PlatformError>> + Send;

    /// Takes or renews the lease on a worker.
    ///
    /// The holder counts the term from before the call.
    ///
    /// # Errors
    ///
    /// Returns why the lease isn't known to be held.
    fn lease(&self, req: LeaseRequest) -> impl Future<Output = Result<(), WorkerError>> + Send;

    /// Gives a command about a task.
    ///
    /// # Errors
    ///
    /// Returns why the command isn't known to have been carried out.
    fn command(&self, command: TaskCommand)
    -> impl Future<Output = Result<(), WorkerError>> + Send;
}
