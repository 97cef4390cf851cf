//! The `Content-Digest` header of RFC 9530, with SHA-256.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use sha2::{Digest, Sha256};

/// Name of the header.
pub const CONTENT_DIGEST: &str = "content-digest";

/// Returns the value of the header for a body.
pub fn header_value(body: &[u8]) -> String {
    format!("sha-256=:{}:", STANDARD.encode(Sha256::digest(body)))
}

/// Returns whether a body matches the digest in a header value.
///
/// Every body matches a value without a decodable SHA-256 digest.
pub fn matches(value: &str, body: &[u8]) -> bool {
    let stated = value.split(',').find_map(|part| {
        let encoded = part.trim().strip_prefix("sha-256=:")?;
        STANDARD.decode(encoded.strip_suffix(':')?).ok()
    });
    stated.is_none_or(|digest| digest[..] == Sha256::digest(body)[..])
}
