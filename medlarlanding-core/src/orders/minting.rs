//! Minted keys, which are safe to run while a partition is in doubt.

use rand::Rng;
use rand::rngs::SmallRng;

use super::keys::OrderKey;
use super::replica::{ReplicaTable, StepScope};
use crate::errors::ErrorKind;
use crate::handles::{HandleSigner, MintedKey};
use crate::ids::{CustomerId, DeskId};

/// Mints a key in a partition in which this process is synchronised and shares the epoch with
/// another member.
///
/// # Errors
///
/// `NotReady` if no such partition is found within `OrderParams::mint_tries` nonces.
pub(super) fn mint(
    scope: &StepScope<'_>,
    replica: &ReplicaTable,
    signer: &HandleSigner,
    customer: CustomerId,
    desk: DeskId,
    rng: &mut SmallRng,
) -> Result<String, ErrorKind> {
    // Without a synchronised partition no nonce fits; trying them all takes milliseconds.
    if !scope.may_grant()
        || replica.numbered().all(|(_, state)| !state.current().is_some_and(|own| own.shared))
    {
        return Err(ErrorKind::NotReady);
    }
    (0..scope.params.mint_tries)
        .find_map(|_| {
            let mut key = MintedKey { customer, desk, epoch: 0, nonce: rng.random() };
            let partition = OrderKey::from_minted(&key).partition(scope.params.partitions);
            key.epoch = replica.partition(partition).current().filter(|own| own.shared)?.epoch;
            Some(signer.sign_key(&key))
        })
        .ok_or(ErrorKind::NotReady)
}
