//! An answer that isn't written yet.

use std::sync::Arc;

use bytes::Bytes;

use super::Answers;

/// Answer that counts as unread until it is dropped.
#[derive(Debug)]
pub(super) struct UnreadAnswer {
    answer: Bytes,
    number: u64,
    answers: Arc<Answers>,
}

impl UnreadAnswer {
    pub(super) fn new(answer: Bytes, number: u64, answers: Arc<Answers>) -> Self {
        Self {
            answer,
            number,
            answers,
        }
    }
}

impl AsRef<[u8]> for UnreadAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.answer
    }
}

impl Drop for UnreadAnswer {
    fn drop(&mut self) {
        // The memory is freed before others may use it.
        self.answer = Bytes::new();
        self.answers.release(self.number);
    }
}
