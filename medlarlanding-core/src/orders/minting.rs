//! Mints idempotency keys, whose orders can be run while their partition is in doubt.

use rand::Rng;
use rand::rngs::SmallRng;

use super::keys::OrderKey;
use super::messages::EpochAgreement;
use super::replica::{ReplicaTable, StepContext, SyncedView};
use crate::errors::ErrorKind;
use crate::handles::{HandleSigner, MintedKey};
use crate::ids::{CustomerId, DeskId};

/// Returns whether keys of the replica's epoch stay valid.
fn is_mintable(own: &SyncedView) -> bool {
    own.agreement == EpochAgreement::Shared
}

/// Mints a key in a partition in which this process is synchronised and its epoch is shared.
///
/// # Errors
///
/// `NotReady` if no such partition is found within `OrderParams::mint_tries` nonces.
pub(super) fn mint(
    context: &StepContext<'_>,
    replica: &ReplicaTable,
    signer: &HandleSigner,
    customer: CustomerId,
    desk: DeskId,
    rng: &mut SmallRng,
) -> Result<String, ErrorKind> {
    // Without such a partition no nonce can succeed, and trying all of them takes milliseconds.
    if !context.may_grant()
        || replica.numbered().all(|(_, state)| !state.current().is_some_and(is_mintable))
    {
        return Err(ErrorKind::NotReady);
    }
    (0..context.params.mint_tries)
        .find_map(|_| {
            let mut key = MintedKey { customer, desk, epoch: 0, nonce: rng.random() };
            let partition = OrderKey::from_minted(&key).partition(context.params.partitions);
            key.epoch =
                replica.partition(partition).current().filter(|own| is_mintable(own))?.epoch;
            Some(signer.sign_key(&key))
        })
        .ok_or(ErrorKind::NotReady)
}
