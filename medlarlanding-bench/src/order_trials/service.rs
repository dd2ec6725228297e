//! Fake backend service, which records executions to check the answers to callers.

use std::collections::HashMap;

use super::plan::TrialTime;

/// Index of an order in the plan.
pub type OrderIndex = usize;

/// One execution.
#[derive(Clone, Debug)]
pub struct Execution {
    /// Time of the execution.
    pub at: TrialTime,
    /// Body of the answer; differs between executions.
    pub answer: Vec<u8>,
}

/// Executes orders and records the executions of each order.
#[derive(Clone, Debug, Default)]
pub struct FakeService {
    executions: HashMap<OrderIndex, Vec<Execution>>,
}

impl FakeService {
    /// Executes an order and returns the body of the answer. With `checks_keys`, a repeated
    /// order gets the first answer and is not executed again.
    pub fn execute(&mut self, at: TrialTime, order: OrderIndex, checks_keys: bool) -> Vec<u8> {
        let executions = self.executions.entry(order).or_default();
        if let Some(first) = executions.first().filter(|_| checks_keys) {
            return first.answer.clone();
        }
        let answer = format!("{order}#{}", executions.len() + 1).into_bytes();
        executions.push(Execution { at, answer: answer.clone() });
        answer
    }

    /// Gets the executions of an order by time.
    pub fn executions(&self, order: OrderIndex) -> &[Execution] {
        self.executions.get(&order).map_or(&[], Vec::as_slice)
    }

    /// Returns whether an answer is that of an execution which did not follow another execution
    /// of the same order within the retention.
    pub fn is_first_answer(&self, order: OrderIndex, answer: &[u8], retention: TrialTime) -> bool {
        let executions = self.executions(order);
        executions.iter().enumerate().any(|(index, execution)| {
            let repeated = index > 0 && execution.at - executions[index - 1].at < retention;
            !repeated && execution.answer == answer
        })
    }

    /// Returns the number of orders that were executed.
    pub fn executed_orders(&self) -> usize {
        self.executions.len()
    }

    /// Returns the number of executions that followed another execution of the same order
    /// within the retention.
    pub fn repeated_executions(&self, retention: TrialTime) -> usize {
        let pairs = self.executions.values().flat_map(|executions| executions.windows(2));
        pairs.filter(|pair| pair[1].at - pair[0].at < retention).count()
    }

    /// Gets the orders that were executed again within the retention.
    pub fn repeated_orders(&self, retention: TrialTime) -> Vec<OrderIndex> {
        let repeated = self.executions.iter().filter(|(_, executions)| {
            executions.windows(2).any(|pair| pair[1].at - pair[0].at < retention)
        });
        let mut orders: Vec<_> = repeated.map(|(&order, _)| order).collect();
        orders.sort_unstable();
        orders
    }
}
