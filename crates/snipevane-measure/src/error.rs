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
    /// The picture couldn't be drawn.
    #[error("can't draw the picture: {0}")]
    Picture(String),
}
