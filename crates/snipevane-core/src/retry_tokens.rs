//! Tokens of retry budgets.

/// Number of retries that a budget still allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryTokens {
    tokens: f64,
    max: f64,
}

impl RetryTokens {
    /// Creates a full budget of this many retries.
    pub fn full(max: f64) -> Self {
        Self { tokens: max, max }
    }

    /// Adds retries, of which the budget keeps no more than when it was created.
    pub fn add(&mut self, retries: f64) {
        self.tokens = (self.tokens + retries).min(self.max);
    }

    /// Takes a retry; returns whether there was one.
    pub fn take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
