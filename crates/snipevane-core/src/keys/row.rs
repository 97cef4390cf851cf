//! Stored part of a key.

use std::fmt;

use smol_str::SmolStr;

/// Identifier of a key, which is the public part of a presented key.
pub type KeyId = SmolStr;

/// Stored part of a key, which doesn't include the secret itself.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyRow {
    /// Identifier of the key.
    pub id: KeyId,
    /// Name of the team that the key belongs to; empty if the withdrawal arrived before the key.
    pub team: SmolStr,
    /// Hash of the secret.
    pub hash: [u8; 32],
    /// Whether the key was withdrawn (revoked). A withdrawn key stays withdrawn.
    pub withdrawn: bool,
}

impl fmt::Debug for KeyRow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyRow")
            .field("id", &self.id)
            .field("team", &self.team)
            .field("withdrawn", &self.withdrawn)
            .finish_non_exhaustive()
    }
}
