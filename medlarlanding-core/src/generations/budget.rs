//! Limits an instance's retries to a share of its recent successes.

/// Parameters of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetParams {
    /// Successes that earn one retry.
    pub successes_per_retry: u32,
    /// Most retries that can be saved up.
    pub ceiling: u32,
    /// Retries available at the start, before any success; limited to `ceiling`.
    pub initial: u32,
}

impl Default for BudgetParams {
    fn default() -> Self {
        // One retry per 10 successes limits the extra load to a tenth when every request fails
        // once.
        Self { successes_per_retry: 10, ceiling: 20, initial: 10 }
    }
}

/// Retries that an instance may still spend, shared by its requests.
///
/// Successes earn nothing once the ceiling is reached, so a long period without failures does
/// not permit a storm of retries afterwards.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    params: BudgetParams,
    /// Unspent successes; at most `ceiling * successes_per_retry`.
    saved: u32,
    spent: u64,
    refused: u64,
}

value_type! { copy
    /// State of a [`RetryBudget`] for a dump.
    pub struct BudgetDump {
        /// Retries that are available.
        pub available: u32,
        /// Retries granted since the start.
        pub spent: u64,
        /// Retries refused since the start.
        pub refused: u64,
    }
}

impl RetryBudget {
    /// Creates a budget with its initial retries.
    pub fn new(params: BudgetParams) -> Self {
        let saved = params.initial.min(params.ceiling) * params.successes_per_retry;
        Self { params, saved, spent: 0, refused: 0 }
    }

    /// Records a request that completed.
    pub fn record_success(&mut self) {
        let limit = self.params.ceiling * self.params.successes_per_retry;
        self.saved = (self.saved + 1).min(limit);
    }

    /// Spends one retry, or returns `false` if none is available.
    pub fn try_spend(&mut self) -> bool {
        match self.saved.checked_sub(self.params.successes_per_retry) {
            Some(rest) => {
                self.saved = rest;
                self.spent += 1;
                true
            },
            None => {
                self.refused += 1;
                false
            },
        }
    }

    /// Gets the number of retries that are available.
    pub fn available(&self) -> u32 {
        self.saved / self.params.successes_per_retry.max(1)
    }

    /// Describes the state.
    pub fn dump(&self) -> BudgetDump {
        BudgetDump { available: self.available(), spent: self.spent, refused: self.refused }
    }
}
