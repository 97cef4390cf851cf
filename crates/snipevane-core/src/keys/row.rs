//! What is kept of a key.

use std::fmt;

use smol_str::SmolStr;

/// Identifier of a key, the part of a presented key that isn't secret.
pub type KeyId = SmolStr;

/// What is kept of a key; the secret itself isn't.
#[derive(Clone, PartialEq, Eq)]
pub struct KeyRow {
    /// Identifier of the key.
    pub id: KeyId,
    /// Name of the team that the key belongs to; empty if a withdrawal came before the key.
    pub team: SmolStr,
    /// Hash of the secret.
    pub hash: [u8; 32],
    /// Whether the key was withdrawn. A withdrawn key stays withdrawn.
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
