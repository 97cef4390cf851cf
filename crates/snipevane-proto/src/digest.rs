//! The header `Content-Digest` of RFC 9530, with SHA-256.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sha2::{Digest, Sha256};

/// Name of the header.
pub const CONTENT_DIGEST: &str = "content-digest";

/// Returns the header's value for a body.
pub fn header_value(body: &[u8]) -> String {
    format!("sha-256=:{}:", STANDARD.encode(Sha256::digest(body)))
}

/// Tells whether a body has the digest that a header's value states.
///
/// A value without a SHA-256 digest states nothing, so every body has it.
pub fn matches(value: &str, body: &[u8]) -> bool {
    let stated = value.split(',').find_map(|part| {
        let encoded = part.trim().strip_prefix("sha-256=:")?;
        STANDARD.decode(encoded.strip_suffix(':')?).ok()
    });
    stated.is_none_or(|digest| digest[..] == Sha256::digest(body)[..])
}
