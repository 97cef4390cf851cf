//! Strategies for at-most-once execution of non-idempotent requests.

/// Strategy for at-most-once execution of non-idempotent requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Strategy {
    /// A row for each request is written before the request is sent and again after its response.
    RowPerRequest,
    /// The shard's holder keeps claims in memory, bounded by a ceiling in the shard's row.
    Owner { lead_s: f64 },
    /// As [`Strategy::Owner`], but a new holder's floor is at least its clock plus the maximum
    /// clock skew.
    OwnerClockFloor { lead_s: f64 },
    /// As [`Strategy::Owner`], and a witness grants higher ceilings while the table is unreachable.
    OwnerWitness { lead_s: f64 },
    /// As [`Strategy::Owner`], and a row for each response is written later.
    OwnerAndRows { lead_s: f64 },
}

impl Strategy {
    /// Returns the name in the output, as the design page of claims has it.
    pub(super) fn name(self) -> String {
        match self {
            Self::RowPerRequest => "row for each request".to_owned(),
            Self::Owner { lead_s } => format!("owner, lead {lead_s} s"),
            Self::OwnerClockFloor { lead_s } => format!("owner, clock in floor, lead {lead_s} s"),
            Self::OwnerWitness { lead_s } => format!("owner with witness, lead {lead_s} s"),
            Self::OwnerAndRows { lead_s } => format!("owner and rows, lead {lead_s} s"),
        }
    }

    /// Returns the time by which a new ceiling is ahead of the holder's clock, in seconds.
    ///
    /// Returns `None` for a strategy without ceilings.
    pub(super) fn lead_s(self) -> Option<f64> {
        match self {
            Self::RowPerRequest => None,
            Self::Owner { lead_s }
            | Self::OwnerClockFloor { lead_s }
            | Self::OwnerWitness { lead_s }
            | Self::OwnerAndRows { lead_s } => Some(lead_s),
        }
    }

    /// Returns the number of rows that are written for each request.
    pub(super) fn rows_per_request(self) -> f64 {
        match self {
            Self::RowPerRequest => 2.0,
            Self::Owner { .. } | Self::OwnerClockFloor { .. } | Self::OwnerWitness { .. } => 0.0,
            Self::OwnerAndRows { .. } => 1.0,
        }
    }
}
