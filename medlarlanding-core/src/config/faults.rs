//! Faults of a configuration document with their position and tree path.

use std::fmt;

use super::limits::MAX_REPORTED_FAULTS;

value_type! {
    /// One fault of a configuration document.
    ///
    /// `Display` writes `LINE:COLUMN: PATH: MESSAGE`, ready to follow a file name and a colon.
    pub struct ConfigFault {
        /// Line, from 1.
        pub line: usize,
        /// Column in characters, from 1.
        pub column: usize,
        /// Keys from the root of the document to the faulty value, such as
        /// `desks.nile.children.trade.orders`; empty for the document itself.
        pub path: String,
        /// What is wrong, usually with the values that are accepted.
        pub message: String,
    }
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.message)
    }
}

impl std::error::Error for ConfigFault {}

/// Line, and column in characters, in the document; both count from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Position {
    pub line: usize,
    pub column: usize,
}

/// Keys and list indices from the root of the document to a value, such as
/// `routes.stock.servers[0]`.
#[derive(Clone, Default)]
pub(super) struct TreePath(String);

impl TreePath {
    pub fn with_key(&self, key: &str) -> Self {
        let separator = if self.0.is_empty() { "" } else { "." };
        Self(format!("{}{separator}{key}", self.0))
    }

    pub fn with_index(&self, index: usize) -> Self {
        Self(format!("{}[{index}]", self.0))
    }
}

impl fmt::Display for TreePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Collects the faults of one document and keeps the first [`MAX_REPORTED_FAULTS`] of them.
#[derive(Default)]
pub(super) struct FaultList {
    faults: Vec<ConfigFault>,
    /// Number of faults, including those that were not kept.
    total: usize,
}

impl FaultList {
    pub fn push(
        &mut self,
        position: Position,
        path: impl fmt::Display,
        message: impl Into<String>,
    ) {
        self.total += 1;
        if self.faults.len() < MAX_REPORTED_FAULTS {
            let Position { line, column } = position;
            let (path, message) = (path.to_string(), message.into());
            self.faults.push(ConfigFault { line, column, path, message });
        }
    }

    /// Gets the number of faults so far. Callers compare it before and after a step to see
    /// whether the step added faults.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns `value` if the document has no fault, otherwise the faults in order of position
    /// and, if some were not kept, a last entry with their number.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Vec<ConfigFault>> {
        if self.total == 0 {
            return Ok(value);
        }
        self.faults.sort_by_key(|fault| (fault.line, fault.column));
        if let Some(last) = self.faults.last().filter(|_| self.total > self.faults.len()) {
            let (line, column) = (last.line, last.column);
            let message = format!("{} more faults are not listed", self.total - self.faults.len());
            self.faults.push(ConfigFault { line, column, path: String::new(), message });
        }
        Err(self.faults)
    }
}
