//! Positions in the history of the platform's store.
//!
//! A store that is restored from an older copy loses the changes since, and gives their revisions out
//! again for other changes. It counts its histories; revisions can be compared within one history only.

value_type! { copy
    /// Number of a history of the store. A later history has a higher number, whatever its revisions.
    #[derive(Default)]
    pub struct StoreEra(
        /// The store's own number plus 1; 0 if it was not stated.
        u64,
    );
}

impl StoreEra {
    /// History of a store that does not state its number, or of an instance that has not heard it.
    pub const UNSTATED: Self = Self(0);

    /// Creates the number that the store states.
    pub fn stated(number: u64) -> Self {
        Self(number.saturating_add(1))
    }

    /// Returns the store's own number; `None` if it was not stated.
    pub fn number(self) -> Option<u64> {
        self.0.checked_sub(1)
    }

    /// Returns this history, or `known` if it was not stated.
    pub fn or(self, known: Self) -> Self {
        if self == Self::UNSTATED { known } else { self }
    }
}

value_type! { copy
    /// Position in the store's history. Positions are ordered by the history first.
    #[derive(Default)]
    pub struct StorePosition {
        /// History to which the revision belongs.
        pub era: StoreEra,
        /// Store revision; 0 if nothing of the history is known.
        pub revision: u64,
    }
}

impl StorePosition {
    /// Returns whether anything of the history is known.
    pub fn is_known(self) -> bool {
        self.revision > 0
    }
}
