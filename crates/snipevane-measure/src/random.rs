//! Random draws that several simulations share.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Draws from the exponential distribution with a mean of one.
pub(crate) fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}
