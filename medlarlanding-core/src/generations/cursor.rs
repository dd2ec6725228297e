//! Decides which token of a stream is delivered next.

value_type! { copy
    /// Reason for which an event of a stream is dropped.
    pub enum DropReason {
        /// The token was delivered before.
        Repeated,
        /// It belongs to an attachment that a later one replaced.
        OldAttachment,
        /// It belongs to an attachment that was not announced.
        UnknownAttachment,
        /// It belongs to another generation.
        OtherGeneration,
        /// No generation is attached.
        NotAttached,
    }
}

value_type! { copy
    /// What to do with a token.
    pub enum CursorVerdict {
        /// It is the next token; the cursor has moved past it.
        Deliver,
        /// Tokens after `after` are missing.
        Gap {
            /// The last token that was delivered; 0 for none.
            after: u64,
        },
        /// It is of no use.
        Drop(DropReason),
    }
}

value_type! { copy
    /// What to do with the end of a stream.
    pub enum EndVerdict {
        /// All tokens were delivered.
        Complete,
        /// Tokens after `after` are missing.
        Gap {
            /// The last token that was delivered; 0 for none.
            after: u64,
        },
        /// The engine counts fewer tokens than were delivered.
        TooShort,
        /// It is of no use.
        Drop(DropReason),
    }
}

/// Position in the stream of one generation.
#[derive(Clone, Debug, Default)]
pub struct StreamCursor {
    /// Set by the first attachment and not changed afterwards.
    generation: Option<String>,
    /// The latest attachment; only rises.
    attachment: u64,
    /// The last token that was delivered; 0 for none.
    last: u64,
    dropped: u64,
}

value_type! {
    /// State of a [`StreamCursor`] for a dump.
    pub struct CursorDump {
        /// The generation, if one is attached.
        pub generation: Option<String>,
        /// The latest attachment.
        pub attachment: u64,
        /// The last token that was delivered; 0 for none.
        pub last: u64,
        /// Events that were dropped.
        pub dropped: u64,
    }
}

impl StreamCursor {
    /// Creates the cursor of a generation that was attached elsewhere, after token `after`.
    pub fn adopt(generation: String, after: u64) -> Self {
        Self { generation: Some(generation), attachment: 0, last: after, dropped: 0 }
    }

    /// Gets the generation.
    pub fn generation(&self) -> Option<&str> {
        self.generation.as_deref()
    }

    /// Gets the latest attachment; 0 for none.
    pub fn attachment(&self) -> u64 {
        self.attachment
    }

    /// Gets the last token that was delivered; 0 for none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Moves to a new attachment, which must be later than the current one.
    ///
    /// # Errors
    /// Returns the reason for which the attachment is of no use.
    pub fn attach(&mut self, generation: &str, attachment: u64) -> Result<(), DropReason> {
        if self.generation.as_deref().is_some_and(|known| known != generation) {
            return Err(self.drop_event(DropReason::OtherGeneration));
        }
        if attachment <= self.attachment {
            return Err(self.drop_event(DropReason::OldAttachment));
        }
        if self.generation.is_none() {
            self.generation = Some(generation.to_owned());
        }
        self.attachment = attachment;
        Ok(())
    }

    /// Decides on a token and moves past it if it is the next one.
    pub fn accept(&mut self, generation: &str, attachment: u64, seq: u64) -> CursorVerdict {
        if let Some(reason) = self.mismatch(generation, attachment) {
            return CursorVerdict::Drop(self.drop_event(reason));
        }
        if seq <= self.last {
            return CursorVerdict::Drop(self.drop_event(DropReason::Repeated));
        }
        if seq > self.last + 1 {
            return CursorVerdict::Gap { after: self.last };
        }
        self.last = seq;
        CursorVerdict::Deliver
    }

    /// Decides on the end of a stream that the engine says has `tokens` tokens.
    pub fn accept_end(&mut self, generation: &str, attachment: u64, tokens: u64) -> EndVerdict {
        if let Some(reason) = self.mismatch(generation, attachment) {
            return EndVerdict::Drop(self.drop_event(reason));
        }
        match tokens.cmp(&self.last) {
            std::cmp::Ordering::Equal => EndVerdict::Complete,
            std::cmp::Ordering::Greater => EndVerdict::Gap { after: self.last },
            std::cmp::Ordering::Less => EndVerdict::TooShort,
        }
    }

    /// Moves to the token after which a caller that reconnected continues.
    pub fn rewind(&mut self, after: u64) {
        self.last = after;
    }

    /// Describes the state.
    pub fn dump(&self) -> CursorDump {
        let Self { generation, attachment, last, dropped } = self.clone();
        CursorDump { generation, attachment, last, dropped }
    }

    fn mismatch(&self, generation: &str, attachment: u64) -> Option<DropReason> {
        match &self.generation {
            None => Some(DropReason::NotAttached),
            Some(known) if known != generation => Some(DropReason::OtherGeneration),
            Some(_) if attachment < self.attachment => Some(DropReason::OldAttachment),
            Some(_) if attachment > self.attachment => Some(DropReason::UnknownAttachment),
            Some(_) => None,
        }
    }

    fn drop_event(&mut self, reason: DropReason) -> DropReason {
        self.dropped += 1;
        reason
    }
}
