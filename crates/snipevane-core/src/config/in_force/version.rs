//! The version of the configuration that one process has in force.

/// Evidence that a version was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// A read of the table, which may be stale.
    Read,
    /// A read that was followed by a transaction which checked that the row read is the latest one.
    Checked,
    /// A peer that has the version in force.
    Peer,
}

/// Outcome of offering a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The version takes the place of the one in force.
    PutInForce,
    /// The version may be older than the one that the VM had in force before it restarted. The
    /// caller checks that the row is the latest one and offers the version again.
    NeedsCheck,
    /// The version in force is at least as high, so it stays.
    NotNewer,
}

/// The version in force, which never falls while the process runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InForce {
    version: u64,
}

impl InForce {
    /// Returns the version in force, or 0 if there is none yet.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Offers a version, and puts it in force if [`evaluate_offer`] decides so.
    pub fn offer(&mut self, version: u64, proof: Proof) -> OfferOutcome {
        let outcome = evaluate_offer(self.version, version, proof);
        if outcome == OfferOutcome::PutInForce {
            self.version = version;
        }
        outcome
    }
}

/// Decides whether an offered version takes the place of `in_force`, which is 0 if there is none.
///
/// A read of the table doesn't suffice for the first version after a start. The process doesn't
/// know which version its predecessor on the same VM had in force, and the read may be stale.
pub fn evaluate_offer(in_force: u64, offered: u64, proof: Proof) -> OfferOutcome {
    if offered <= in_force {
        return OfferOutcome::NotNewer;
    }
    if in_force == 0 && proof == Proof::Read {
        return OfferOutcome::NeedsCheck;
    }
    OfferOutcome::PutInForce
}
