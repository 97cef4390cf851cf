//! Times of identifiers.

use uuid::{Uuid, Version};

/// Returns the time of an identifier of version 7 in Unix milliseconds, `None` for other versions.
pub fn uuid_unix_ms(id: Uuid) -> Option<u64> {
    if id.get_version() != Some(Version::SortRand) {
        return None;
    }
    // The first 48 bits hold the time.
    Some(id.as_u64_pair().0 >> 16)
}
