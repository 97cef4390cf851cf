//! Errors of measurements.

use std::io;

use thiserror::Error;

/// Error of a measurement.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// An I/O operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// JSON can't be encoded or decoded.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A histogram can't be created, or a value can't be recorded.
    #[error("can't use a histogram: {0}")]
    Histogram(String),
    /// A process of a measured site failed.
    #[error("the process {0} failed")]
    Process(String),
}

impl MeasureError {
    /// Converts the error of a histogram.
    pub(crate) fn histogram(error: impl std::fmt::Display) -> Self {
        Self::Histogram(error.to_string())
    }
}
