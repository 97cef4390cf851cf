//! Memory of answers that callers haven't read yet.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio_util::sync::CancellationToken;

use super::unread_answer::UnreadAnswer;

/// Bytes that the answers of one listener take until they are written.
///
/// When they don't suffice, the connection whose answer is unread for the longest time is closed.
#[derive(Debug)]
pub(crate) struct Answers {
    max_bytes: usize,
    unread: Mutex<Unread>,
}

#[derive(Debug, Default)]
struct Unread {
    bytes: usize,
    next_number: u64,
    /// Answers by number, oldest first.
    answers: BTreeMap<u64, Entry>,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    close: CancellationToken,
}

impl Answers {
    /// Creates the memory for answers, with a maximum size of all together in bytes.
    pub(crate) fn new(max_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            max_bytes,
            unread: Mutex::default(),
        })
    }

    /// Counts an answer as unread until its last copy is dropped, and returns it with the number of
    /// connections that are closed for it. Cancelling `close` closes the answer's own connection.
    pub(crate) fn hold(
        self: &Arc<Self>,
        answer: Bytes,
        close: &CancellationToken,
    ) -> (Bytes, usize) {
        let mut unread = self.unread.lock();
        let number = unread.next_number;
        unread.next_number += 1;
        unread.bytes += answer.len();
        let entry = Entry {
            bytes: answer.len(),
            close: close.clone(),
        };
        unread.answers.insert(number, entry);
        let mut closed = 0;
        // The answer itself stays, even if it is larger than all may be together.
        while unread.bytes > self.max_bytes && unread.answers.len() > 1 {
            let Some((_, oldest)) = unread.answers.pop_first() else {
                break;
            };
            unread.bytes -= oldest.bytes;
            oldest.close.cancel();
            closed += 1;
        }
        drop(unread);
        let held = UnreadAnswer::new(answer, number, self.clone());
        (Bytes::from_owner(held), closed)
    }

    /// Notes that an answer is written, or that its connection has ended.
    pub(super) fn release(&self, number: u64) {
        let mut unread = self.unread.lock();
        if let Some(entry) = unread.answers.remove(&number) {
            unread.bytes -= entry.bytes;
        }
    }
}
