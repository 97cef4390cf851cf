//! Acceptance of a manifest: its body is stored first, then one conditional write makes it the
//! latest version.
//!
//! A manifest is accepted when the row `config/head` names it.

use smol_str::SmolStr;
use uuid::Uuid;

/// Maximum number of reads and commits that are retried after a lost reply or a row that was older
/// than expected.
const MAX_RETRIES: u32 = 6;

/// The row `config/head`, which names the latest accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadRow {
    /// Version of the row in the table; `None` if there is no row.
    pub row_version: Option<u64>,
    /// Version of the configuration; 0 if there is no row.
    pub version: u64,
    /// Hash of the manifest's canonical text.
    pub hash: SmolStr,
    /// Identifier of the write that made this version.
    pub write_id: Uuid,
}

/// The row `config/version/{version}`, which is written once, in the same transaction as the head
/// of that version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionRow {
    /// Identifier of the write that made this version.
    pub write_id: Uuid,
}

/// Reply to a read; `None` if the platform didn't reply.
pub type ReadReply<T> = Option<T>;

/// Reply to a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitReply {
    /// The transaction was committed.
    Committed,
    /// A check of the transaction failed.
    Conflict,
    /// The transaction wasn't committed and won't be.
    NotApplied,
    /// The transaction may have been committed, or may yet be.
    Unknown,
}

/// Step that the caller takes next; it reports the reply to every step but [`ApplyStep::Done`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// Read the row `config/head` and call [`ApplyAttempt::on_head`].
    ReadHead,
    /// Commit a transaction without writes that checks the version of the row `config/head`, and
    /// call [`ApplyAttempt::on_check`].
    CheckHead {
        /// Version that the row must have.
        row_version: Option<u64>,
    },
    /// Store the manifest's body and call [`ApplyAttempt::on_body`].
    PutBody,
    /// Write the rows `config/head` and `config/version/{version}` in one transaction that checks
    /// the head's row version, and call [`ApplyAttempt::on_commit`].
    Commit {
        /// Version that the head's row must have.
        row_version: Option<u64>,
        /// Version of the configuration to write.
        version: u64,
    },
    /// Read the row `config/version/{version}` and call [`ApplyAttempt::on_version_row`].
    ReadVersionRow {
        /// Version of the configuration.
        version: u64,
    },
    /// Report the outcome to the operator.
    Done(ApplyOutcome),
}

/// Outcome of an attempt to apply a manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The manifest was accepted.
    Applied {
        /// Version of the manifest.
        version: u64,
        /// Whether an earlier write of the same manifest is in force, so that nothing was written.
        already_in_force: bool,
    },
    /// A later version was accepted, or every version that could be read is earlier than the one
    /// that the manifest is based on; this manifest wasn't accepted and won't be.
    Conflict {
        /// Highest version seen.
        latest_version: u64,
    },
    /// The platform is unreachable; this manifest wasn't accepted and won't be.
    Unreachable,
    /// The reply to the write was lost and its result couldn't be found out; the manifest may be
    /// accepted.
    Unknown {
        /// Version that the manifest has if it is accepted.
        version: u64,
    },
}

/// State machine of one attempt to have a manifest accepted.
///
/// It does no I/O: the caller takes each [`ApplyStep`] and passes the reply to the method that the
/// step names. A second attempt with the same write identifier, through any entry VM, finds out the
/// outcome of the first one.
#[derive(Clone, Debug)]
pub struct ApplyAttempt {
    /// Version that the operator based the manifest on.
    based_on: u64,
    hash: SmolStr,
    write_id: Uuid,
    /// Head whose row version the commit checks.
    base_head: HeadRow,
    /// Highest version of the configuration seen.
    highest_version: u64,
    retries: u32,
    /// Whether a commit was sent whose result isn't known; it may still take effect.
    commit_in_doubt: bool,
}

impl ApplyAttempt {
    /// Starts an attempt and returns it with its first step.
    pub fn new(based_on: u64, hash: impl Into<SmolStr>, write_id: Uuid) -> (Self, ApplyStep) {
        let apply = Self {
            based_on,
            hash: hash.into(),
            write_id,
            base_head: HeadRow::default(),
            highest_version: 0,
            retries: 0,
            commit_in_doubt: false,
        };
        (apply, ApplyStep::ReadHead)
    }

    /// Handles the reply to [`ApplyStep::ReadHead`].
    pub fn on_head(&mut self, reply: ReadReply<HeadRow>) -> ApplyStep {
        let Some(head) = reply else {
            return self.retry_or(ApplyStep::ReadHead, self.outcome_without_reply());
        };
        self.highest_version = self.highest_version.max(head.version);
        if head.version > 0 && head.write_id == self.write_id {
            return done(self.applied(head.version, false));
        }
        if head.version < self.based_on {
            // The read is stale: the operator has seen a later version.
            return self.retry_or(ApplyStep::ReadHead, self.outcome_of_stale_reads());
        }
        if head.version > 0 && head.hash == self.hash {
            let row_version = head.row_version;
            self.base_head = head;
            return ApplyStep::CheckHead { row_version };
        }
        if head.version == self.based_on {
            self.base_head = head;
            return ApplyStep::PutBody;
        }
        // An earlier commit of this write may have taken effect and been replaced since.
        ApplyStep::ReadVersionRow {
            version: self.next_version(),
        }
    }

    /// Handles the reply to [`ApplyStep::CheckHead`].
    pub fn on_check(&mut self, reply: CommitReply) -> ApplyStep {
        match reply {
            CommitReply::Committed => done(self.applied(self.base_head.version, true)),
            CommitReply::Conflict => {
                self.retry_or(ApplyStep::ReadHead, self.outcome_of_stale_reads())
            }
            CommitReply::NotApplied | CommitReply::Unknown => {
                self.retry_or(ApplyStep::ReadHead, self.outcome_without_reply())
            }
        }
    }

    /// Handles the reply to [`ApplyStep::PutBody`]; `stored` says whether the body is known to be
    /// stored.
    pub fn on_body(&mut self, stored: bool) -> ApplyStep {
        if !stored {
            return done(ApplyOutcome::Unreachable);
        }
        self.commit()
    }

    /// Handles the reply to [`ApplyStep::Commit`].
    pub fn on_commit(&mut self, reply: CommitReply) -> ApplyStep {
        let version = self.next_version();
        match reply {
            CommitReply::Committed => done(self.applied(version, false)),
            // If the reply to an earlier commit was lost, this one may conflict with the row that
            // the earlier one wrote.
            CommitReply::Conflict => {
                self.highest_version = self.highest_version.max(version);
                ApplyStep::ReadVersionRow { version }
            }
            CommitReply::NotApplied if !self.commit_in_doubt => done(ApplyOutcome::Unreachable),
            CommitReply::NotApplied | CommitReply::Unknown => {
                self.commit_in_doubt = true;
                self.retry_or(
                    ApplyStep::ReadVersionRow { version },
                    self.outcome_without_reply(),
                )
            }
        }
    }

    /// Handles the reply to [`ApplyStep::ReadVersionRow`].
    pub fn on_version_row(&mut self, reply: ReadReply<Option<VersionRow>>) -> ApplyStep {
        let version = self.next_version();
        match reply {
            Some(Some(row)) if row.write_id == self.write_id => done(self.applied(version, false)),
            // Another write made this version, and version rows don't change, so no commit of this
            // write can take effect any more.
            Some(Some(_)) => done(ApplyOutcome::Conflict {
                latest_version: self.highest_version.max(version),
            }),
            // There is no row yet: the first commit is delayed or lost, or this read is stale.
            // Repeating the commit is safe, since the check of the head's row version lets at most
            // one of them take effect.
            Some(None) if self.commit_in_doubt => {
                self.retry_or(self.commit(), self.outcome_without_reply())
            }
            Some(None) | None => self.retry_or(
                ApplyStep::ReadVersionRow { version },
                self.outcome_without_reply(),
            ),
        }
    }

    fn commit(&self) -> ApplyStep {
        ApplyStep::Commit {
            row_version: self.base_head.row_version,
            version: self.next_version(),
        }
    }

    /// Returns `step` while retries are left, and `outcome` as the last step afterwards.
    fn retry_or(&mut self, step: ApplyStep, outcome: ApplyOutcome) -> ApplyStep {
        self.retries += 1;
        if self.retries > MAX_RETRIES {
            return done(outcome);
        }
        step
    }

    /// Returns the outcome if the platform's replies are still missing after all retries.
    ///
    /// The manifest may be accepted if a commit is in doubt, or if a version above `based_on` was
    /// seen, which an earlier attempt may have made.
    fn outcome_without_reply(&self) -> ApplyOutcome {
        if self.commit_in_doubt || self.highest_version > self.based_on {
            return ApplyOutcome::Unknown {
                version: self.next_version(),
            };
        }
        ApplyOutcome::Unreachable
    }

    /// Returns the outcome if the row of the head is still older than expected after all retries.
    fn outcome_of_stale_reads(&self) -> ApplyOutcome {
        ApplyOutcome::Conflict {
            latest_version: self.highest_version,
        }
    }

    /// Returns the version that the manifest gets if it is accepted.
    fn next_version(&self) -> u64 {
        self.based_on.saturating_add(1)
    }

    fn applied(&self, version: u64, already_in_force: bool) -> ApplyOutcome {
        ApplyOutcome::Applied {
            version,
            already_in_force,
        }
    }
}

fn done(outcome: ApplyOutcome) -> ApplyStep {
    ApplyStep::Done(outcome)
}
