//! Retry budget: limits retries and hedges to a fraction of the requests.

use crate::prelude::*;

/// Tokens that one retry costs. A request earns one token per permille, without rounding.
const RETRY_COST: u32 = 1000;

/// Maximum number of retries in a burst.
const BURST_RETRIES: u32 = 10;

/// Token bucket that requests fill and retries drain.
///
/// Tokens depend on counts alone. Time without requests earns none, so an outage is not followed
/// by a burst of more than [`BURST_RETRIES`] retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    permille: u32,
    tokens: u32,
}

impl RetryBudget {
    /// Creates a full bucket.
    pub fn new(permille: Permille) -> Self {
        let mut budget = Self {
            permille: permille.get(),
            tokens: BURST_RETRIES * RETRY_COST,
        };
        budget.clamp();
        budget
    }

    /// Changes the tokens that each request earns.
    pub fn configure(&mut self, permille: Permille) {
        self.permille = permille.get();
        self.clamp();
    }

    /// Adds the tokens of a request that is sent for the first time.
    pub fn earn(&mut self) {
        self.tokens = self.tokens.saturating_add(self.permille);
        self.clamp();
    }

    /// Takes one retry from the budget and returns `true`, or returns `false` if none is left.
    pub fn spend(&mut self) -> bool {
        match self.tokens.checked_sub(RETRY_COST) {
            Some(remaining) => {
                self.tokens = remaining;
                true
            }
            None => false,
        }
    }

    /// Returns whether the budget covers a retry.
    pub fn has_retry(&self) -> bool {
        self.tokens >= RETRY_COST
    }

    fn clamp(&mut self) {
        let max_tokens = match self.permille {
            0 => 0,
            _ => BURST_RETRIES * RETRY_COST,
        };
        self.tokens = self.tokens.min(max_tokens);
    }
}
