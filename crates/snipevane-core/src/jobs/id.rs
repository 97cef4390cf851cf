//! Identifiers of jobs and tasks.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Hexadecimal digits of a job's identifier.
const JOB_ID_DIGITS: usize = 16;

/// Identifier of a job, chosen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobId(u64);

/// The text isn't an identifier of a job or task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not an identifier of a job or task")]
pub struct ParseIdError;

impl JobId {
    /// Creates an identifier from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
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
    /// Job.
    pub job: JobId,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
}

impl Display for StepId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifier of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Step.
    pub step: StepId,
    /// Number of the task in its step, from 0.
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
