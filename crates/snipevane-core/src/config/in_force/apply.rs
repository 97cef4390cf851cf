//! Acceptance of a manifest: its body is stored first, then one conditional write names it.

use smol_str::SmolStr;
use uuid::Uuid;

/// Reads and commits that are tried after an answer was lost or a row was older than expected.
const MAX_RETRIES: u32 = 6;

/// The row `config/head`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeadRow {
    /// Version of the row in the table; `None` if there is no row.
    pub row_version: Option<u64>,
    /// Version of the configuration; 0 if there is no row.
    pub version: u64,
    /// Hash of the manifest's canonical text.
    pub hash: SmolStr,
    /// Identifier of the write.
    pub write_id: Uuid,
}

/// The row `config/version/{version}`, which is written once with the head of that version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionRow {
    /// Identifier of the write.
    pub write_id: Uuid,
}

/// Answer to a read; `None` if the platform didn't answer.
pub type ReadReply<T> = Option<T>;

/// Answer to a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitReply {
    /// It took effect.
    Committed,
    /// A check failed.
    Conflict,
    /// It had no effect and will have none.
    NotApplied,
    /// It may have taken effect, or may yet do so.
    Unknown,
}

/// What the caller does next; each step but the last has one answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyStep {
    /// Read the row `config/head` and call [`ApplyAttempt::on_head`].
    ReadHead,
    /// Commit a transaction without writes that checks the row's version, and call
    /// [`ApplyAttempt::on_check`].
    CheckHead {
        /// Version that the row must have.
        row_version: Option<u64>,
    },
    /// Store the body and call [`ApplyAttempt::on_body`].
    PutBody,
    /// Commit the row `config/head` and the row of the version, checking the head's row version,
    /// and call [`ApplyAttempt::on_commit`].
    Commit {
        /// Version that the head's row must have.
        row_version: Option<u64>,
        /// Version of the configuration that is written.
        version: u64,
    },
    /// Read the row `config/version/{version}` and call [`ApplyAttempt::on_version_row`].
    ReadVersionRow {
        /// Version of the configuration.
        version: u64,
    },
    /// Tell the operator.
    Done(ApplyOutcome),
}

/// What became of a manifest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It was accepted.
    Applied {
        /// Its version.
        version: u64,
        /// Whether it was accepted before.
        already_in_force: bool,
    },
    /// Another version is in force; this manifest isn't accepted and won't be.
    Conflict {
        /// Highest version seen.
        in_force: u64,
    },
    /// The platform is away; this manifest isn't accepted and won't be.
    Unreachable,
    /// The answer of the write was lost and can't be resolved; the manifest may be accepted.
    Unknown {
        /// Version that the manifest has if it is accepted.
        version: u64,
    },
}

/// One attempt to have a manifest accepted.
///
/// A second attempt with the same write identifier, through any entry VM, finds out what became
/// of the first one.
#[derive(Clone, Debug)]
pub struct ApplyAttempt {
    based_on: u64,
    hash: SmolStr,
    write_id: Uuid,
    /// Head that the write is based on.
    base_head: HeadRow,
    highest_version: u64,
    retries: u32,
    /// Whether a copy of the write may still be on its way.
    commit_in_doubt: bool,
}

impl ApplyAttempt {
    /// Starts an attempt; returns it with its first step.
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

    /// Takes the answer to [`ApplyStep::ReadHead`].
    pub fn on_head(&mut self, reply: ReadReply<HeadRow>) -> ApplyStep {
        let Some(head) = reply else {
            return self.retry_or(ApplyStep::ReadHead, self.outcome_without_reply());
        };
        self.highest_version = self.highest_version.max(head.version);
        if head.version > 0 && head.write_id == self.write_id {
            return done(self.applied(head.version, false));
        }
        if head.version < self.based_on {
            // The row is older than what the operator has seen.
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
        // An earlier copy of this write may have landed and been replaced since.
        ApplyStep::ReadVersionRow {
            version: self.next_version(),
        }
    }

    /// Takes the answer to [`ApplyStep::CheckHead`].
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

    /// Takes the answer to [`ApplyStep::PutBody`]: whether the body is known to be stored.
    pub fn on_body(&mut self, stored: bool) -> ApplyStep {
        if !stored {
            return done(ApplyOutcome::Unreachable);
        }
        self.commit()
    }

    /// Takes the answer to [`ApplyStep::Commit`].
    pub fn on_commit(&mut self, reply: CommitReply) -> ApplyStep {
        let version = self.next_version();
        match reply {
            CommitReply::Committed => done(self.applied(version, false)),
            // With a lost answer before, the row that this copy met may be the first copy's own.
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

    /// Takes the answer to [`ApplyStep::ReadVersionRow`].
    pub fn on_version_row(&mut self, reply: ReadReply<Option<VersionRow>>) -> ApplyStep {
        let version = self.next_version();
        match reply {
            Some(Some(row)) if row.write_id == self.write_id => done(self.applied(version, false)),
            // The version belongs to another write for good, so no copy of this one can land.
            Some(Some(_)) => done(ApplyOutcome::Conflict {
                in_force: self.highest_version.max(version),
            }),
            // No row yet: the first copy is on its way or lost, or this read is old. The check on
            // the head's row lets one copy through at most, so another one does no harm.
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

    fn retry_or(&mut self, step: ApplyStep, outcome: ApplyOutcome) -> ApplyStep {
        self.retries += 1;
        if self.retries > MAX_RETRIES {
            return done(outcome);
        }
        step
    }

    /// Returns the outcome where the platform's answers stay away.
    fn outcome_without_reply(&self) -> ApplyOutcome {
        if self.commit_in_doubt || self.highest_version > self.based_on {
            return ApplyOutcome::Unknown {
                version: self.next_version(),
            };
        }
        ApplyOutcome::Unreachable
    }

    /// Returns the outcome where reads keep returning rows older than expected.
    fn outcome_of_stale_reads(&self) -> ApplyOutcome {
        ApplyOutcome::Conflict {
            in_force: self.highest_version,
        }
    }

    /// Returns the version that the manifest gets.
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
