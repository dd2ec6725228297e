//! Faults of a configuration document with their place.

use std::fmt;

use super::limits::REPORTED_FAULTS;

value_type! {
    /// One fault of a configuration document.
    ///
    /// `Display` writes `LINE:COLUMN: PATH: MESSAGE`, ready to follow a file name and a colon.
    pub struct ConfigFault {
        /// Line, from 1.
        pub line: usize,
        /// Column in characters, from 1.
        pub column: usize,
        /// Place in the tree, such as `desks.nile.children.trade.orders`; empty for the
        /// document itself.
        pub path: String,
        /// What is wrong and what is accepted.
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

/// A place in the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Position {
    pub line: usize,
    pub column: usize,
}

/// A place in the tree, such as `routes.stock.servers[0]`.
#[derive(Clone, Default)]
pub(super) struct TreePath(String);

impl TreePath {
    pub fn key(&self, key: &str) -> Self {
        let separator = if self.0.is_empty() { "" } else { "." };
        Self(format!("{}{separator}{key}", self.0))
    }

    pub fn item(&self, index: usize) -> Self {
        Self(format!("{}[{index}]", self.0))
    }
}

impl fmt::Display for TreePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Collects the faults of one document.
#[derive(Default)]
pub(super) struct FaultList {
    faults: Vec<ConfigFault>,
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
        if self.faults.len() < REPORTED_FAULTS {
            let Position { line, column } = position;
            let (path, message) = (path.to_string(), message.into());
            self.faults.push(ConfigFault { line, column, path, message });
        }
    }

    /// Gets the number of faults so far, for telling whether a step added any.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns `value` if the document has no fault, otherwise the faults by position.
    pub fn finish<T>(mut self, value: T) -> Result<T, Vec<ConfigFault>> {
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
