//! Decoding of outcomes of orders from a response that arrives in parts.

use super::messages::{Outcome, STARTS_PATH};
use crate::rows;

/// Splits the parts of a response into lines, each of which is an outcome.
#[derive(Clone, Debug, Default)]
pub struct OutcomeLines {
    /// Beginning of a line whose end hasn't arrived.
    rest: Vec<u8>,
}

impl OutcomeLines {
    /// Adds a part of the response and returns the outcomes that are complete. Invalid lines are skipped.
    pub fn add(&mut self, part: &[u8]) -> Vec<Outcome> {
        self.rest.extend_from_slice(part);
        let Some(end) = self.rest.iter().rposition(|byte| *byte == b'\n') else {
            return Vec::new();
        };
        let lines: Vec<u8> = self.rest.drain(..=end).collect();
        let lines = lines
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty());
        lines
            .filter_map(|line| rows::decode(STARTS_PATH, line))
            .collect()
    }
}
