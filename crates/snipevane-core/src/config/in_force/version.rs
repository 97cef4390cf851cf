//! The version in force in one process.

/// How a version is known to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// A read of the table, which may return an older row.
    Read,
    /// A transaction that checked that the row read is the table's latest one.
    Checked,
    /// A peer has it in force.
    Peer,
}

/// What becomes of an offered version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force from now on.
    InForce,
    /// It may be older than what the VM had in force before it restarted; check the row first.
    NeedsCheck,
    /// The version in force is as high or higher.
    Older,
}

/// The version in force; it only rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    version: u64,
}

impl InForce {
    /// Returns the version in force; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Offers a version, and puts it in force if [`evaluate_offer`] says so.
    pub fn offer(&mut self, version: u64, proof: Proof) -> OfferOutcome {
        let outcome = evaluate_offer(self.version, version, proof);
        if outcome == OfferOutcome::InForce {
            self.version = version;
        }
        outcome
    }
}

/// Decides whether a version takes the place of the one in force, 0 if there is none.
///
/// The first version after a start needs more than a read of the table: the process has no memory
/// of what the former one on the same VM had in force, and the row may be an old one.
pub fn evaluate_offer(in_force: u64, offered: u64, proof: Proof) -> OfferOutcome {
    if offered <= in_force {
        return OfferOutcome::Older;
    }
    if in_force == 0 && proof == Proof::Read {
        return OfferOutcome::NeedsCheck;
    }
    OfferOutcome::InForce
}
