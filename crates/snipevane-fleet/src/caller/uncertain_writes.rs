//! Writes whose outcome isn't known.

use std::cell::RefCell;
use std::time::Duration;

use rustc_hash::FxHashMap;
use smol_str::SmolStr;

/// Time for which a write of unknown outcome is remembered. A caller repeats a submission up to four times
/// and waits 3 s each time.
const RETENTION: Duration = Duration::from_secs(60);

/// Number of remembered writes above which expired ones are removed.
const MAX_REMEMBERED: usize = 1_000;

/// Keys of jobs whose submission may be stored without the scheduler knowing of it, with the time of the
/// attempt. A repeat of the submission must not be answered that nothing was done.
#[derive(Default)]
pub(super) struct UncertainWrites {
    marked: RefCell<FxHashMap<SmolStr, Duration>>,
}

impl UncertainWrites {
    /// Returns whether a job is marked.
    pub(super) fn contains(&self, key: &SmolStr, now: Duration) -> bool {
        let marked_at = self.marked.borrow().get(key).copied();
        marked_at.is_some_and(|at| now < at + RETENTION)
    }

    /// Marks a job whose write is being attempted.
    pub(super) fn mark(&self, key: &SmolStr, now: Duration) {
        let mut marked = self.marked.borrow_mut();
        if marked.len() >= MAX_REMEMBERED {
            marked.retain(|_, at| now < *at + RETENTION);
        }
        marked.insert(key.clone(), now);
    }

    /// Removes the mark of a job whose outcome is known.
    pub(super) fn clear(&self, key: &SmolStr) {
        self.marked.borrow_mut().remove(key);
    }
}
