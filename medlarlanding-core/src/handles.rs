//! Resume handles and minted idempotency keys, signed with the cluster secret.

use std::fmt::Write;

use crate::ids::{CustomerId, DeskId, ServerId};
use crate::wire::constant_time_eq;

use serde::{Serialize, de::DeserializeOwned};

const TAG_LEN: usize = 16;
const HANDLE_CONTEXT: &str = "medlarlanding 2026-12 resume handles";
const ORDER_KEY_CONTEXT: &str = "medlarlanding 2026-12 order keys";
/// Maximum length in characters of a handle or minted key.
const HANDLE_LIMIT: usize = 512;

value_type! {
    /// Data with which any instance can resume a generation.
    pub struct ResumeHandle {
        /// Customer that the generation belongs to.
        pub customer: CustomerId,
        /// Desk at which the generation was started.
        pub desk: DeskId,
        /// Engine that runs the generation.
        pub server: ServerId,
        /// Name of the generation on its engine.
        pub generation: String,
    }
}

value_type! {
    /// Idempotency key that the system created for a customer.
    pub struct MintedKey {
        /// Customer that may use the key.
        pub customer: CustomerId,
        /// Desk at which the key may be used.
        pub desk: DeskId,
        /// Epoch of the key's partition when the key was created. Only replicas whose stored claims
        /// continue those of that epoch grant a claim on the key.
        pub epoch: u64,
        /// Random part that makes the key unique.
        pub nonce: u64,
    }
}

/// Signs and verifies handles and minted keys with keys derived from the cluster secret.
///
/// The tag is a keyed BLAKE3 hash truncated to 128 bits.
#[derive(Clone)]
pub struct HandleSigner {
    handle_key: [u8; 32],
    order_key: [u8; 32],
}

impl HandleSigner {
    /// Derives the signing keys from the cluster secret.
    pub fn new(cluster_secret: &str) -> Self {
        let secret = cluster_secret.as_bytes();
        Self {
            handle_key: blake3::derive_key(HANDLE_CONTEXT, secret),
            order_key: blake3::derive_key(ORDER_KEY_CONTEXT, secret),
        }
    }

    /// Signs a resume handle and encodes it as text that can be used in URLs and event ids.
    pub fn sign_handle(&self, handle: &ResumeHandle) -> String {
        sign(&self.handle_key, handle)
    }

    /// Verifies and decodes a resume handle. Returns `None` unless it was signed with the same
    /// cluster secret.
    pub fn open_handle(&self, text: &str) -> Option<ResumeHandle> {
        open(&self.handle_key, text)
    }

    /// Signs and encodes a minted key.
    pub fn sign_key(&self, key: &MintedKey) -> String {
        sign(&self.order_key, key)
    }

    /// Verifies and decodes a minted key. Returns `None` unless it was signed with the same cluster
    /// secret.
    pub fn open_key(&self, text: &str) -> Option<MintedKey> {
        open(&self.order_key, text)
    }
}

fn sign<T: Serialize>(key: &[u8; 32], value: &T) -> String {
    let mut bytes = postcard::to_stdvec(value).expect("handles are plain data");
    let tag = blake3::keyed_hash(key, &bytes);
    bytes.extend_from_slice(&tag.as_bytes()[..TAG_LEN]);
    hex_text(&bytes)
}

/// Encodes bytes as lower-case hexadecimal digits.
pub fn hex_text(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn open<T: DeserializeOwned>(key: &[u8; 32], text: &str) -> Option<T> {
    if text.len() > HANDLE_LIMIT || !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    let bytes = (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect::<Option<Vec<_>>>()?;
    let split = bytes.len().checked_sub(TAG_LEN)?;
    let (signed, tag) = bytes.split_at(split);
    let expected = blake3::keyed_hash(key, signed);
    if !constant_time_eq(&expected.as_bytes()[..TAG_LEN], tag) {
        return None;
    }
    postcard::from_bytes(signed).ok()
}
