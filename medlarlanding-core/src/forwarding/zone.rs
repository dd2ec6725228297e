//! Short key of an availability zone in messages between instances.

use crate::ids::stable_hash;

value_type! { copy
    /// Hash of a zone's name; 0 if the zone is unknown.
    ///
    /// Two of twelve zones have the same key with a probability of 0.1 %. They are then treated as
    /// one zone, which costs some traffic between them and has no other effect.
    #[derive(Default)]
    pub struct ZoneKey(u16);
}

impl ZoneKey {
    /// Key of an instance whose zone is not known, for example because it runs an earlier version.
    pub const UNKNOWN: Self = Self(0);

    /// Returns the key of the zone with this name; an empty name is an unknown zone.
    pub fn of(name: &str) -> Self {
        if name.is_empty() {
            return Self::UNKNOWN;
        }
        Self((stable_hash(name.as_bytes()) as u16).max(1))
    }

    /// Returns whether the zone is known.
    pub fn is_known(self) -> bool {
        self != Self::UNKNOWN
    }

    /// Returns whether a message between instances of these zones crosses a zone boundary, as far as
    /// both zones are known.
    pub fn is_apart(self, other: Self) -> bool {
        self.is_known() && other.is_known() && self != other
    }
}
