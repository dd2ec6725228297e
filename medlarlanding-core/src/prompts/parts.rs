//! Parts of a prompt and the progress of a run that is computed from them.

use std::fmt;
use std::time::Duration;

use crate::ids::stable_hash;

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

value_type! {
    /// Parts of a prompt in their order. The last one belongs to the request or its session; the
    /// others are shared with other requests.
    #[derive(Default)]
    pub struct PromptParts(Vec<PartId>);
}

impl PromptParts {
    /// Most parts that are kept of a prompt; further ones before the last are ignored.
    pub const LIMIT: usize = 32;

    /// Creates the parts of a prompt.
    pub fn new(parts: impl IntoIterator<Item = PartId>) -> Self {
        let mut kept: Vec<PartId> = Vec::new();
        for part in parts {
            if kept.len() == Self::LIMIT {
                kept.pop();
            }
            kept.push(part);
        }
        Self(kept)
    }

    /// Returns all parts.
    pub fn all(&self) -> &[PartId] {
        &self.0
    }

    /// Returns the parts that the prompt shares with others.
    pub fn shared(&self) -> &[PartId] {
        self.0.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns whether the request names no parts.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether the prompt contains a part.
    pub fn contains(&self, part: PartId) -> bool {
        self.0.contains(&part)
    }
}

impl fmt::Display for PromptParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
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
    const BEGINNING: Duration = Duration::from_millis(300);

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
