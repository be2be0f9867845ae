//! Limits retries and hedges to a fraction of the requests.

use crate::prelude::*;

/// Tokens that one retry costs, so that a request earns its permille without rounding.
const RETRY_COST: u32 = 1000;

/// Retries that may follow each other at once.
const BURST_RETRIES: u32 = 10;

/// Token bucket that requests fill and retries drain.
///
/// The bucket depends on counts alone: time without requests earns nothing, so an outage cannot
/// be followed by a burst of retries beyond [`BURST_RETRIES`].
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

    /// Changes the rate at which requests earn retries.
    pub fn configure(&mut self, permille: Permille) {
        self.permille = permille.get();
        self.clamp();
    }

    /// Counts a request that is sent for the first time.
    pub fn earn(&mut self) {
        self.tokens = self.tokens.saturating_add(self.permille);
        self.clamp();
    }

    /// Takes one retry from the budget, or returns `false` if none is left.
    pub fn spend(&mut self) -> bool {
        match self.tokens.checked_sub(RETRY_COST) {
            Some(rest) => {
                self.tokens = rest;
                true
            }
            None => false,
        }
    }

    /// Tells whether a retry is left.
    pub fn has_retry(&self) -> bool {
        self.tokens >= RETRY_COST
    }

    fn clamp(&mut self) {
        let most = match self.permille {
            0 => 0,
            _ => BURST_RETRIES * RETRY_COST,
        };
        self.tokens = self.tokens.min(most);
    }
}
