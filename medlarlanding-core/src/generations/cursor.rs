//! Accepts each token of a generation once and in order.

value_type! { copy
    /// Why an event of a stream is dropped.
    pub enum DropReason {
        /// The token was accepted before.
        Repeated,
        /// The event belongs to an attachment that a later one replaced.
        OldAttachment,
        /// The event belongs to an attachment whose headers have not arrived.
        UnknownAttachment,
        /// The event belongs to another generation.
        OtherGeneration,
        /// No generation is attached.
        NotAttached,
    }
}

value_type! { copy
    /// What to do with a token.
    pub enum CursorVerdict {
        /// The token is the next one; the cursor has moved past it.
        Deliver,
        /// Tokens after `after` are missing.
        Gap {
            /// Sequence number of the last accepted token; 0 for none.
            after: u64,
        },
        /// The event is ignored.
        Drop(DropReason),
    }
}

value_type! { copy
    /// What to do with the end of a stream.
    pub enum EndVerdict {
        /// All tokens were accepted.
        Complete,
        /// Tokens after `after` are missing.
        Gap {
            /// Sequence number of the last accepted token; 0 for none.
            after: u64,
        },
        /// The engine reports fewer tokens than were accepted.
        TooShort,
        /// The event is ignored.
        Drop(DropReason),
    }
}

/// Position in the stream of one generation.
#[derive(Clone, Debug, Default)]
pub struct StreamCursor {
    /// Set by the first attachment and unchanged afterwards.
    generation: Option<String>,
    /// Number of the latest attachment, 0 for none; never decreases.
    attachment: u64,
    /// Sequence number of the last accepted token; 0 for none.
    last: u64,
    dropped: u64,
}

value_type! {
    /// State of a [`StreamCursor`] for a dump.
    pub struct CursorDump {
        /// The generation, if one is attached.
        pub generation: Option<String>,
        /// Number of the latest attachment; 0 for none.
        pub attachment: u64,
        /// Sequence number of the last accepted token; 0 for none.
        pub last: u64,
        /// Events that were dropped.
        pub dropped: u64,
    }
}

impl StreamCursor {
    /// Creates the cursor of a generation that another session started. The token after
    /// `after` is the next one.
    pub fn adopt(generation: String, after: u64) -> Self {
        Self { generation: Some(generation), attachment: 0, last: after, dropped: 0 }
    }

    /// Gets the generation, if one is attached.
    pub fn generation(&self) -> Option<&str> {
        self.generation.as_deref()
    }

    /// Gets the number of the latest attachment; 0 for none.
    pub fn attachment(&self) -> u64 {
        self.attachment
    }

    /// Gets the sequence number of the last accepted token; 0 for none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// Moves to a new attachment, which must be later than the current one.
    ///
    /// # Errors
    /// Returns why the attachment is ignored: it belongs to another generation or is not later.
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

    /// Checks a token and moves past it if it is the next one.
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

    /// Checks the end of a stream that has `tokens` tokens according to the engine.
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

    /// Moves to the last token that a reconnected caller has, so that the tokens after it are
    /// accepted again.
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
