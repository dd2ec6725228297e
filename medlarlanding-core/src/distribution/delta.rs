//! Difference between two texts that share their beginning and end.

value_type! {
    /// Replaces the part of a base text that lies between a common prefix and a common suffix.
    ///
    /// A configuration change usually touches one place of a text of up to 1 MiB. Whole texts
    /// would cost each instance up to 7.5 KB/s at 620 changes a day.
    pub struct TextDelta {
        /// Bytes kept from the beginning of the base text.
        prefix: u32,
        /// Bytes kept from the end of the base text.
        suffix: u32,
        /// Text between them.
        middle: String,
    }
}

impl TextDelta {
    /// Computes the difference from `base` to `text`.
    pub fn between(base: &str, text: &str) -> Self {
        let common = base.bytes().zip(text.bytes()).take_while(|(left, right)| left == right);
        let mut prefix = common.count();
        while !(base.is_char_boundary(prefix) && text.is_char_boundary(prefix)) {
            prefix -= 1;
        }
        let (base_rest, text_rest) = (&base.as_bytes()[prefix..], &text.as_bytes()[prefix..]);
        let pairs = base_rest.iter().rev().zip(text_rest.iter().rev());
        let mut suffix = pairs.take_while(|(left, right)| left == right).count();
        while !(base.is_char_boundary(base.len() - suffix)
            && text.is_char_boundary(text.len() - suffix))
        {
            suffix -= 1;
        }
        let middle = text[prefix..text.len() - suffix].to_owned();
        // Texts are far below 4 GiB; a truncated length only makes `apply` fail.
        Self { prefix: prefix as u32, suffix: suffix as u32, middle }
    }

    /// Applies the difference. Returns `None` if it doesn't fit the base text.
    pub fn apply(&self, base: &str) -> Option<String> {
        let (prefix, suffix) = (self.prefix as usize, self.suffix as usize);
        let end = base.len().checked_sub(suffix).filter(|&end| end >= prefix)?;
        let (head, tail) = (base.get(..prefix)?, base.get(end..)?);
        let mut text = String::with_capacity(head.len() + self.middle.len() + tail.len());
        text.push_str(head);
        text.push_str(&self.middle);
        text.push_str(tail);
        Some(text)
    }

    /// Returns the length of the replacement in bytes.
    pub fn middle_len(&self) -> usize {
        self.middle.len()
    }
}
