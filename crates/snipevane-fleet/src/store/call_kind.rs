//! Kinds of calls to the store, for metrics.

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    /// Commits a transaction.
    Commit,
    /// Reads rows.
    Read,
    /// Waits for changes of rows.
    Changes,
}

impl CallKind {
    /// Returns the kind's name in metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Commit => "commit",
            Self::Read => "read",
            Self::Changes => "changes",
        }
    }
}
