//! Differences between versions of a configuration, which are fetched instead of whole texts.
//!
//! Load pattern: a configuration of tens of KB changes every few seconds in two or three places: its version
//! and one or two values far from it. Each instance of a fleet fetches each version.

use std::collections::VecDeque;

use crate::distribution::TextDelta;
use crate::ids::stable_hash;

/// Most ranges in which two versions are compared; all changes after them are in the last one.
const RANGE_LIMIT: usize = 8;
/// Number of equal bytes after which two texts count as equal again.
const MATCH_LENGTH: usize = 24;
/// Longest replaced part, in bytes of either text, after which equal bytes are searched. A changed value is
/// shorter; the search takes up to the square of this.
const SEARCH_LENGTH: usize = 128;
/// Most earlier texts that are kept. An instance that is further behind fetches the whole text.
const KEPT_TEXTS: usize = 4;
/// Most bytes of earlier texts that are kept: two of the largest texts.
const KEPT_BYTES: usize = 2 << 20;

value_type! {
    /// Difference between two versions of a text.
    pub struct ConfigDelta {
        /// Consecutive ranges of the base text, each with its length in bytes and its difference.
        ranges: Vec<(u32, TextDelta)>,
        /// Hash of the new text.
        hash: u64,
    }
}

impl ConfigDelta {
    /// Computes the difference that turns `base` into `text`.
    pub fn between(base: &str, text: &str) -> Self {
        let hash = stable_hash(text.as_bytes());
        let (mut base, mut text) = (base, text);
        let mut ranges = Vec::new();
        while ranges.len() + 1 < RANGE_LIMIT
            && let Some((base_end, text_end)) = first_change(base, text)
        {
            let delta = TextDelta::between(&base[..base_end], &text[..text_end]);
            ranges.push((base_end as u32, delta));
            (base, text) = (&base[base_end..], &text[text_end..]);
        }
        ranges.push((base.len() as u32, TextDelta::between(base, text)));
        Self { ranges, hash }
    }

    /// Applies the difference. Returns `None` if `base` is not the text from which it was computed.
    pub fn apply(&self, base: &str) -> Option<String> {
        let mut rest = base;
        let mut text = String::with_capacity(base.len());
        for (length, delta) in &self.ranges {
            let range = rest.get(..*length as usize)?;
            text.push_str(&delta.apply(range)?);
            rest = rest.get(*length as usize..)?;
        }
        (rest.is_empty() && stable_hash(text.as_bytes()) == self.hash).then_some(text)
    }

    /// Returns the number of bytes that replace others.
    pub fn changed_length(&self) -> usize {
        self.ranges.iter().map(|(_, delta)| delta.middle_len()).sum()
    }
}

/// Returns the ends of the first differing part in both texts, after which they are equal for a while;
/// `None` if there is no such part.
fn first_change(base: &str, text: &str) -> Option<(usize, usize)> {
    let equal = base.bytes().zip(text.bytes()).take_while(|(left, right)| left == right).count();
    let (base, text) = (base.as_bytes(), text.as_bytes());
    // The shortest replaced parts are tried first.
    for length in 1..=2 * SEARCH_LENGTH {
        for removed in length.saturating_sub(SEARCH_LENGTH)..=length.min(SEARCH_LENGTH) {
            let (base_end, text_end) = (equal + removed, equal + length - removed);
            let base_match = base.get(base_end..base_end + MATCH_LENGTH);
            let text_match = text.get(text_end..text_end + MATCH_LENGTH);
            if base_match.is_some()
                && base_match == text_match
                && is_boundary(base, base_end)
                && is_boundary(text, text_end)
            {
                return Some((base_end, text_end));
            }
        }
    }
    None
}

/// Returns whether a character of a text in UTF-8 begins at this position.
fn is_boundary(text: &[u8], position: usize) -> bool {
    text.get(position).is_none_or(|byte| byte & 0xc0 != 0x80)
}

/// Earlier texts of the configuration, from which differences are computed.
#[derive(Debug, Default)]
pub struct ConfigHistory {
    /// Versions with their texts, the latest last; at most `KEPT_TEXTS` and `KEPT_BYTES`.
    texts: VecDeque<(u64, Vec<u8>)>,
}

impl ConfigHistory {
    /// Keeps the text of a version that is replaced.
    pub fn push(&mut self, version: u64, text: Vec<u8>) {
        self.texts.push_back((version, text));
        let length = |texts: &VecDeque<(u64, Vec<u8>)>| -> usize {
            texts.iter().map(|(_, text)| text.len()).sum()
        };
        while self.texts.len() > KEPT_TEXTS || length(&self.texts) > KEPT_BYTES {
            self.texts.pop_front();
        }
    }

    /// Returns the difference from an earlier version to `text`; `None` if that version is not kept, or if the
    /// difference is no shorter than half of the text.
    pub fn delta_from(&self, version: u64, text: &[u8]) -> Option<ConfigDelta> {
        let (_, base) = self.texts.iter().find(|(kept, _)| *kept == version)?;
        let (base, current) = (str::from_utf8(base).ok()?, str::from_utf8(text).ok()?);
        let delta = ConfigDelta::between(base, current);
        (delta.changed_length() < text.len() / 2).then_some(delta)
    }
}
