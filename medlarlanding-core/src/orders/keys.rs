//! Identifiers of orders, attempts, partitions and request bodies.

use std::fmt;

use crate::handles::MintedKey;
use crate::ids::{CustomerId, DeskId, InstanceId, InstanceIdentity};

const TEXT_KEY_CONTEXT: &str = "medlarlanding 2026-12 order id of a caller's key";
const MINTED_KEY_CONTEXT: &str = "medlarlanding 2026-12 order id of a minted key";

value_type! { copy
    /// Identifies a submitted order within the process that received it.
    pub struct OrderId(pub u64);
}

value_type! { copy
    /// Identifies a query or a minting request within the process that received it.
    pub struct QueryId(pub u64);
}

value_type! { copy
    /// Number of a partition of the keys; below `OrderParams::partitions`.
    pub struct PartitionId(pub u16);
}

value_type! { copy
    /// Stable hash of customer, desk and idempotency key.
    ///
    /// The hash includes the customer, so that equal keys of two customers do not collide.
    pub struct OrderKey(pub [u8; 16]);
}

impl OrderKey {
    /// Derives the id of a key that the caller chose.
    pub fn from_text(customer: CustomerId, desk: DeskId, key: &str) -> Self {
        Self::derive(TEXT_KEY_CONTEXT, customer, desk, key.as_bytes())
    }

    /// Derives the id of a minted key.
    ///
    /// The id does not depend on the epoch: the minting instance first searches for a nonce whose
    /// partition it serves, and this partition determines the epoch.
    pub fn from_minted(key: &MintedKey) -> Self {
        Self::derive(MINTED_KEY_CONTEXT, key.customer, key.desk, &key.nonce.to_le_bytes())
    }

    fn derive(context: &str, customer: CustomerId, desk: DeskId, key: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(context.len() as u64).to_le_bytes());
        hasher.update(context.as_bytes());
        hasher.update(&customer.0.to_le_bytes());
        hasher.update(&desk.0.to_le_bytes());
        hasher.update(key);
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }

    /// Returns the partition that the key belongs to.
    pub fn partition(self, partitions: u16) -> PartitionId {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.0[..8]);
        PartitionId((u64::from_le_bytes(bytes) % u64::from(partitions.max(1))) as u16)
    }
}

impl fmt::Display for OrderKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

value_type! { copy
    /// First half of the BLAKE3 digest of a request body.
    pub struct BodyDigest(pub [u8; 16]);
}

impl From<[u8; 32]> for BodyDigest {
    fn from(digest: [u8; 32]) -> Self {
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&digest[..16]);
        Self(bytes)
    }
}

value_type! { copy
    /// Identifies one attempt of a proposer to claim a key. Unique across restarts.
    pub struct AttemptId {
        /// The proposer.
        pub instance: InstanceId,
        /// Start time of the proposer's process in ms of its wall clock.
        pub started: u64,
        /// Number of the attempt within that process, from 1.
        pub number: u64,
    }
}

impl AttemptId {
    /// Returns whether the process made this attempt.
    pub fn is_of(self, identity: InstanceIdentity) -> bool {
        self.instance == identity.id && self.started == identity.incarnation.started
    }
}
