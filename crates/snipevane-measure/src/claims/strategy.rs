//! Ways to run a non-idempotent request at most once.

/// Way to run a non-idempotent request at most once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Strategy {
    /// A row for each request, written before it is sent and after its answer.
    RowPerRequest,
    /// Claims in the memory of the shard's holder, bounded by a ceiling in the shard's row.
    Owner { lead_s: f64 },
    /// As above; a new holder's floor is its clock plus the allowed skew if that is later.
    OwnerClockFloor { lead_s: f64 },
    /// As the owner; while the table is away, a witness vouches for ceilings.
    OwnerWitness { lead_s: f64 },
    /// As the owner; a row for each answer is written later.
    OwnerAndRows { lead_s: f64 },
}

impl Strategy {
    pub(super) fn name(self) -> String {
        match self {
            Self::RowPerRequest => "row for each request".to_owned(),
            Self::Owner { lead_s } => format!("owner, lead {lead_s} s"),
            Self::OwnerClockFloor { lead_s } => format!("owner, clock in floor, lead {lead_s} s"),
            Self::OwnerWitness { lead_s } => format!("owner with witness, lead {lead_s} s"),
            Self::OwnerAndRows { lead_s } => format!("owner and rows, lead {lead_s} s"),
        }
    }

    /// Returns the time by which a new ceiling lies above the clock, in seconds, if there is one.
    pub(super) fn lead_s(self) -> Option<f64> {
        match self {
            Self::RowPerRequest => None,
            Self::Owner { lead_s }
            | Self::OwnerClockFloor { lead_s }
            | Self::OwnerWitness { lead_s }
            | Self::OwnerAndRows { lead_s } => Some(lead_s),
        }
    }

    /// Returns the rows that a request writes by itself.
    pub(super) fn rows_per_request(self) -> f64 {
        match self {
            Self::RowPerRequest => 2.0,
            Self::Owner { .. } | Self::OwnerClockFloor { .. } | Self::OwnerWitness { .. } => 0.0,
            Self::OwnerAndRows { .. } => 1.0,
        }
    }
}
