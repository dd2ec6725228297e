//! Parts of a prompt and the progress of a run that is computed from them.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::ids::stable_hash;

use indexmap::IndexSet;

value_type! { copy
    /// Identifies a part of prompts, the same in every process.
    pub struct PartId(pub u64);
}

impl PartId {
    /// Number of hexadecimal digits of a `u64`.
    const DIGITS: usize = 16;

    /// Derives the id from the part's name, a hexadecimal number. Names that are no number of 64 bits
    /// are hashed.
    pub fn from_name(name: &str) -> Self {
        let number = u64::from_str_radix(name, 16).ok().filter(|_| name.len() <= Self::DIGITS);
        Self(number.unwrap_or_else(|| stable_hash(name.as_bytes())))
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// Distinct parts of a prompt. The last one belongs to the request or its session; the others are
/// shared with other requests.
///
/// Takes 8 bytes for each part. A head of N bytes names at most N / 2 parts, so the limit of a request's
/// head bounds them. Copies share one list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts(Arc<[PartId]>);

impl PromptParts {
    /// Creates the parts of a prompt from those that it names in their order. Repeated ones count once.
    pub fn new(parts: impl IntoIterator<Item = PartId>) -> Self {
        let mut distinct: IndexSet<PartId> = IndexSet::new();
        let mut last = None;
        for part in parts {
            distinct.insert(part);
            last = Some(part);
        }
        if let Some(last) = last {
            distinct.shift_remove(&last);
            distinct.insert(last);
        }
        Self(distinct.into_iter().collect())
    }

    /// Returns all parts.
    pub fn all(&self) -> &[PartId] {
        &self.0
    }

    /// Returns the parts that the prompt shares with others.
    pub fn shared(&self) -> &[PartId] {
        self.0.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the part that belongs to the request or its session; `None` if the prompt names none.
    pub fn own(&self) -> Option<PartId> {
        self.0.last().copied()
    }

    /// Returns whether the request names no parts.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Shows the first parts and the last one, and how many are left out between them.
impl fmt::Display for PromptParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        /// Parts before the last one in a log line.
        const SHOWN: usize = 31;
        for part in self.shared().iter().take(SHOWN) {
            write!(f, "{part},")?;
        }
        let left_out = self.shared().len().saturating_sub(SHOWN);
        if left_out > 0 {
            write!(f, "+{left_out},")?;
        }
        self.own().map_or(Ok(()), |own| write!(f, "{own}"))
    }
}

/// Time for which a run must write before its parts count as survived.
pub const SURVIVAL_TIME: Duration = Duration::from_secs(1);

value_type! { copy
    /// Progress of a run at a server, as far as its answer shows it.
    pub enum RunPhase {
        /// The answer is a stream whose head has not arrived: the prompt is queued or read.
        Waiting,
        /// The server has just begun to write the stream.
        Beginning,
        /// The server has written the stream for a while.
        Writing,
        /// The answer arrives as a whole, so its progress is not visible.
        Hidden,
    }
}

impl RunPhase {
    /// Time for which a stream counts as just begun. Engines end about 0.1 s after they begin to write
    /// on a fatal part.
    pub const BEGINNING: Duration = Duration::from_millis(300);

    /// Returns the phase of a stream that the server has written for this time.
    pub fn of_stream(writing: Duration) -> Self {
        if writing < Self::BEGINNING { Self::Beginning } else { Self::Writing }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Beginning => "beginning",
            Self::Writing => "writing",
            Self::Hidden => "hidden",
        }
    }
}
