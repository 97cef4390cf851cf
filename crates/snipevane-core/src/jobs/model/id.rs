//! Identifiers of jobs and tasks.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Number of hexadecimal digits in the text form of a job identifier.
const JOB_ID_DIGITS: usize = 16;

/// Identifier of a job, chosen by the caller that submits it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(u64);

/// Error returned when a text isn't a valid job or task identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("invalid job or task identifier")]
pub struct ParseIdError;

impl JobId {
    /// Creates an identifier from its numeric value.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the numeric value.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl Display for JobId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(is_digit) {
            return Err(ParseIdError);
        }
        u64::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| ParseIdError)
    }
}

/// Identifier of a step in one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step in the job, from 0.
    pub step: u32,
}

impl Display for StepId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifier of a task in one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Step that the task belongs to.
    pub step: StepId,
    /// Index of the task in its step, from 0.
    pub index: u32,
}

impl Display for TaskId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let mut parts = text.split('.');
        let job = parts.next().ok_or(ParseIdError)?.parse()?;
        let mut number = || -> Result<u32, ParseIdError> {
            parts
                .next()
                .ok_or(ParseIdError)?
                .parse()
                .map_err(|_| ParseIdError)
        };
        let occurrence = number()?;
        let step = number()?;
        let index = number()?;
        if parts.next().is_some() {
            return Err(ParseIdError);
        }
        let step = StepId {
            job,
            occurrence,
            step,
        };
        Ok(Self { step, index })
    }
}
