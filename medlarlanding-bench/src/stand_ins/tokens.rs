//! Token texts in which a reader can detect lost, repeated and foreign tokens.
//!
//! The text of a token depends only on the generation's id and the sequence number. It contains
//! hashes of the prompt and of the generation id, so a reader also detects the response to another
//! request.

use medlarlanding_core::ids::stable_hash;

/// Contents of a token's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParsedToken {
    /// Hash of the prompt.
    pub prompt: u32,
    /// Hash of the generation id.
    pub generation: u32,
    /// Sequence number within the generation, from 1.
    pub seq: u64,
}

/// Returns the hash of a prompt that token texts contain.
pub fn prompt_hash(prompt: &str) -> u32 {
    stable_hash(prompt.as_bytes()) as u32
}

/// Returns the name of a generation, which contains the prompt's hash.
pub fn generation_name(number: u64, prompt: &str) -> String {
    format!("g{number:x}-{:x}", prompt_hash(prompt))
}

/// Returns the text of a token.
pub fn token_text(generation: &str, seq: u64) -> String {
    let prompt = generation.rsplit('-').next().unwrap_or_default();
    format!("{prompt}.{:x}.{seq} ", stable_hash(generation.as_bytes()) as u32)
}

/// Parses the text of one token. Returns `None` if no engine stand-in wrote it.
pub fn parse_token(text: &str) -> Option<ParsedToken> {
    let mut parts = text.trim_end().split('.');
    let token = ParsedToken {
        prompt: u32::from_str_radix(parts.next()?, 16).ok()?,
        generation: u32::from_str_radix(parts.next()?, 16).ok()?,
        seq: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(token)
}

/// Numbers of faults in the tokens of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct TokenFaults {
    /// Sequence numbers that were skipped.
    pub lost: u64,
    /// Sequence numbers that were received again.
    pub repeated: u64,
    /// Tokens of another generation or prompt, and tokens that cannot be parsed.
    pub mixed: u64,
}

impl TokenFaults {
    /// Adds the faults of another response.
    pub fn add(&mut self, other: Self) {
        self.lost += other.lost;
        self.repeated += other.repeated;
        self.mixed += other.mixed;
    }

    /// Returns whether there are no faults.
    pub fn is_clean(self) -> bool {
        self == Self::default()
    }
}

/// Checks the tokens of one response, across reconnections.
#[derive(Clone, Debug)]
pub struct TokenChecker {
    prompt: u32,
    generation: Option<u32>,
    /// Highest sequence number received.
    last: u64,
    faults: TokenFaults,
}

impl TokenChecker {
    /// Creates a checker for the response to `prompt`.
    pub fn new(prompt: &str) -> Self {
        let faults = TokenFaults::default();
        Self { prompt: prompt_hash(prompt), generation: None, last: 0, faults }
    }

    /// Checks the next token. `number` is the sequence number of its event, if it has one.
    pub fn take(&mut self, number: Option<u64>, text: &str) {
        let Some(token) = parse_token(text) else {
            self.faults.mixed += 1;
            return;
        };
        let generation = *self.generation.get_or_insert(token.generation);
        let number_matches = number.is_none_or(|number| number == token.seq);
        if token.prompt != self.prompt || token.generation != generation || !number_matches {
            self.faults.mixed += 1;
        } else if token.seq <= self.last {
            self.faults.repeated += 1;
        } else {
            self.faults.lost += token.seq - self.last - 1;
            self.last = token.seq;
        }
    }

    /// Checks the text of a response that was not streamed.
    pub fn take_whole(&mut self, text: &str) {
        for token in text.split_whitespace() {
            self.take(None, token);
        }
    }

    /// Checks the number of tokens stated at the end of the response.
    pub fn finish(&mut self, tokens: u64) {
        self.faults.lost += tokens.saturating_sub(self.last);
        if tokens < self.last {
            self.faults.mixed += 1;
        }
    }

    /// Returns the highest sequence number received.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Returns the faults found so far.
    pub fn faults(&self) -> TokenFaults {
        self.faults
    }
}
