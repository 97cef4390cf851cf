//! A write of one row that is to be committed together with others.

use std::time::Instant;

use serde_json::Value;
use smol_str::SmolStr;
use thiserror::Error;

use crate::error::PlatformError;
use crate::table::{Check, Write};

/// What a row must be like for it to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Anything; only for rows that this process alone writes.
    Any,
    /// The row must be absent.
    Absent,
    /// The row must have this version.
    Version(u64),
}

/// Order in which waiting writes are committed, the most important first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Importance {
    /// Limits, shards and ceilings of claims: requests wait for it or are refused without it.
    Essential,
    /// Configuration, keys, pools and plans: operators wait for it.
    Normal,
    /// Statistics and progress: a later write makes up for it.
    Bookkeeping,
}

/// A write of one row.
#[derive(Clone, Debug, PartialEq)]
pub struct RowWrite {
    /// Key of the row.
    pub key: SmolStr,
    /// New content; unlike any other ever written to the row.
    pub value: Value,
    /// What the row must be like.
    pub condition: Condition,
    /// Order among waiting writes.
    pub importance: Importance,
    /// Time from which the write isn't sent any more.
    pub expires: Option<Instant>,
}

impl RowWrite {
    pub(super) fn check(&self) -> Option<Check> {
        let expected = match self.condition {
            Condition::Any => return None,
            Condition::Absent => None,
            Condition::Version(version) => Some(version),
        };
        Some(Check {
            key: self.key.clone(),
            expected,
        })
    }

    pub(super) fn write(&self) -> Write {
        Write::Put {
            key: self.key.clone(),
            value: self.value.clone(),
        }
    }
}

/// Why a write isn't known to have taken effect.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum WriteError {
    /// The row isn't as the condition says; nothing was written.
    #[error("the row was changed in between")]
    Conflict,
    /// Nothing was written before the write expired.
    #[error("the write expired before it was applied")]
    Expired,
    /// Nothing was written, because more important or newer writes took its place.
    #[error("the write was dropped for a more important or newer one")]
    Shed,
    /// The write may have taken effect, or may yet do so.
    #[error("it is unknown whether the row was written: {0}")]
    Unknown(PlatformError),
}
