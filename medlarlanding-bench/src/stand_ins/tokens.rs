//! Token text from which a reader can tell lost, repeated, mixed and foreign tokens.
//!
//! The text of a token follows from the generation's id and the sequence number alone.
//! It names the prompt and the generation, so that a response that belongs to another
//! request is noticed as well.

use medlarlanding_core::ids::stable_hash;

/// What a token's text says about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenMark {
    /// Hash of the prompt.
    pub prompt: u32,
    /// Hash of the generation id.
    pub generation: u32,
    /// Number within the generation, from 1.
    pub seq: u64,
}

/// Hashes a prompt to the value that the tokens of its generations carry.
pub fn prompt_mark(prompt: &str) -> u32 {
    stable_hash(prompt.as_bytes()) as u32
}

/// Names a generation. The name carries the prompt's hash.
pub fn generation_name(number: u64, prompt: &str) -> String {
    format!("g{number:x}-{:x}", prompt_mark(prompt))
}

/// Writes the text of a token.
pub fn token_text(generation: &str, seq: u64) -> String {
    let prompt = generation.rsplit('-').next().unwrap_or_default();
    format!("{prompt}.{:x}.{seq} ", stable_hash(generation.as_bytes()) as u32)
}

/// Reads the text of one token. Returns `None` if no engine stand-in wrote it.
pub fn parse_token(text: &str) -> Option<TokenMark> {
    let mut parts = text.trim_end().split('.');
    let mark = TokenMark {
        prompt: u32::from_str_radix(parts.next()?, 16).ok()?,
        generation: u32::from_str_radix(parts.next()?, 16).ok()?,
        seq: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(mark)
}

/// Faults that a reader found in the tokens of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct TokenFaults {
    /// Numbers that were skipped.
    pub lost: u64,
    /// Numbers that came again.
    pub repeated: u64,
    /// Tokens of another generation or of another prompt, or that do not parse.
    pub mixed: u64,
}

impl TokenFaults {
    /// Adds the faults of another response.
    pub fn add(&mut self, other: Self) {
        self.lost += other.lost;
        self.repeated += other.repeated;
        self.mixed += other.mixed;
    }

    /// Returns whether there is none.
    pub fn is_clean(self) -> bool {
        self == Self::default()
    }
}

/// Checks the tokens of one response, across reconnections.
#[derive(Clone, Debug)]
pub struct TokenChecker {
    prompt: u32,
    generation: Option<u32>,
    /// Highest number seen.
    last: u64,
    faults: TokenFaults,
}

impl TokenChecker {
    /// Creates a checker for the response to `prompt`.
    pub fn new(prompt: &str) -> Self {
        let faults = TokenFaults::default();
        Self { prompt: prompt_mark(prompt), generation: None, last: 0, faults }
    }

    /// Takes the next token; `number` is the sequence number of its event, if it has one.
    pub fn take(&mut self, number: Option<u64>, text: &str) {
        let Some(mark) = parse_token(text) else {
            self.faults.mixed += 1;
            return;
        };
        let generation = *self.generation.get_or_insert(mark.generation);
        let numbered = number.is_none_or(|number| number == mark.seq);
        if mark.prompt != self.prompt || mark.generation != generation || !numbered {
            self.faults.mixed += 1;
        } else if mark.seq <= self.last {
            self.faults.repeated += 1;
        } else {
            self.faults.lost += mark.seq - self.last - 1;
            self.last = mark.seq;
        }
    }

    /// Takes the text of a whole response.
    pub fn take_whole(&mut self, text: &str) {
        for token in text.split_whitespace() {
            self.take(None, token);
        }
    }

    /// Takes the number of tokens that the end of the response states.
    pub fn finish(&mut self, tokens: u64) {
        self.faults.lost += tokens.saturating_sub(self.last);
        if tokens < self.last {
            self.faults.mixed += 1;
        }
    }

    /// Gets the highest number seen.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Gets the faults found so far.
    pub fn faults(&self) -> TokenFaults {
        self.faults
    }
}
