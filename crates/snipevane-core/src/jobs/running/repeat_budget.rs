//! Limit of the orders that are sent again.

/// Number of repeats that can be saved up.
const MAX_REPEATS: u32 = 64;

/// Budget of the orders that are sent again before their timeout.
///
/// Each reply pays for one repeat, so a scheduler whose minions or network link don't reply sends few
/// of them, and never more than twice the orders that are answered.
#[derive(Clone, Copy, Debug)]
pub(in crate::jobs) struct RepeatBudget {
    repeats: u32,
}

impl Default for RepeatBudget {
    fn default() -> Self {
        Self {
            repeats: MAX_REPEATS,
        }
    }
}

impl RepeatBudget {
    /// Records a reply to an order.
    pub(in crate::jobs) fn record_reply(&mut self) {
        self.repeats = MAX_REPEATS.min(self.repeats + 1);
    }

    /// Takes one repeat out of the budget, and returns whether there was one.
    pub(in crate::jobs) fn take(&mut self) -> bool {
        let Some(left) = self.repeats.checked_sub(1) else {
            return false;
        };
        self.repeats = left;
        true
    }
}
