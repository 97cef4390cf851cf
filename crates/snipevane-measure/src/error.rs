//! Why a measurement couldn't be made.

use std::io;

use thiserror::Error;

/// Why a measurement couldn't be made.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// A file or socket failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The result couldn't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A histogram couldn't be made.
    #[error("can't make a histogram: {0}")]
    Histogram(String),
    /// A process of the measured site ended with an error.
    #[error("the part {0} ended with an error")]
    Process(String),
    /// The picture couldn't be drawn.
    #[error("can't draw the picture: {0}")]
    Picture(String),
}

impl MeasureError {
    /// Wraps an error of a histogram.
    pub(crate) fn histogram(error: impl std::fmt::Display) -> Self {
        Self::Histogram(error.to_string())
    }
}
