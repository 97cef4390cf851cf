//! Timestamps of UUIDs of version 7.

use uuid::{Uuid, Version};

/// Returns the timestamp of a UUID of version 7 in Unix milliseconds, or `None` for other versions.
pub fn uuid_unix_ms(id: Uuid) -> Option<u64> {
    if id.get_version() != Some(Version::SortRand) {
        return None;
    }
    // The first 48 bits hold the timestamp.
    Some(id.as_u64_pair().0 >> 16)
}
