//! Tests of frames between instances, resume handles, minted keys and request ids.

use medlarlanding_core::handles::{HandleSigner, MintedKey, ResumeHandle};
use medlarlanding_core::ids::{
    CustomerId, DeskId, Incarnation, InstanceId, InstanceIdentity, RequestId, ServerId,
};
use medlarlanding_core::orders::{OrderMessage, QueryId};
use medlarlanding_core::wire::{
    DATAGRAM_LIMIT, FrameFault, PeerCodec, PeerFrame, PeerMessage, PeerTransport,
};

use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 0x6c61_6e64;
const SECRET: &str = "0123456789abcdef";

fn frame() -> PeerFrame {
    let id = InstanceId::from_name("cairo-entry-1");
    PeerFrame {
        from: InstanceIdentity { id, incarnation: Incarnation::new(7) },
        to: InstanceId::from_name("cairo-entry-2"),
        to_started: Some(9),
        message: PeerMessage::Order(OrderMessage::Read {
            query: QueryId(3),
            started: 7,
            key: medlarlanding_core::orders::OrderKey([5; 16]),
        }),
    }
}

fn encoded() -> Vec<u8> {
    PeerCodec::new(SECRET).encode(&frame(), PeerTransport::Datagram).expect("a small frame")
}

fn quickcheck() -> QuickCheck {
    println!("seed {SEED:#x}");
    QuickCheck::new().rng(Gen::from_size_and_seed(300, SEED)).tests(2_000)
}

/// Guards against a field that is lost or changed by encoding and decoding.
#[test]
fn frame_round_trips() {
    let decoded = PeerCodec::new(SECRET).decode(&encoded(), PeerTransport::Datagram);
    assert_eq!(decoded, Ok(frame()));
}

/// Guards against accepting frames of a process that does not know the cluster secret.
#[test]
fn other_secret_is_rejected() {
    let decoded = PeerCodec::new("another secret 42").decode(&encoded(), PeerTransport::Datagram);
    assert_eq!(decoded, Err(FrameFault::Tag));
}

/// Guards against a changed byte that the authentication tag does not cover.
#[test]
fn every_changed_byte_is_rejected() {
    let codec = PeerCodec::new(SECRET);
    for at in 0..encoded().len() {
        let mut bytes = encoded();
        bytes[at] ^= 1;
        assert!(codec.decode(&bytes, PeerTransport::Datagram).is_err(), "byte {at}");
    }
}

/// Guards against a panic on arbitrary input, and against accepting it as a frame.
#[test]
fn arbitrary_bytes_are_rejected() {
    fn holds(bytes: Vec<u8>) -> bool {
        PeerCodec::new(SECRET).decode(&bytes, PeerTransport::Datagram).is_err()
    }
    quickcheck().quickcheck(holds as fn(Vec<u8>) -> bool);
}

/// Guards against accepting datagrams above the size that avoids fragmentation.
#[test]
fn oversized_datagram_is_rejected() {
    let codec = PeerCodec::new(SECRET);
    let bytes = vec![1; DATAGRAM_LIMIT + 1];
    assert_eq!(codec.decode(&bytes, PeerTransport::Datagram), Err(FrameFault::TooLarge));
}

fn handle() -> ResumeHandle {
    ResumeHandle {
        customer: CustomerId::from_name("cairo-museum"),
        desk: DeskId::from_name("fitment"),
        server: ServerId::from_name("cairo-gpu-1"),
        generation: "g-17".to_owned(),
    }
}

/// Guards against a handle that a caller can alter to resume the generation of another customer.
#[test]
fn altered_handle_is_rejected() {
    let signer = HandleSigner::new(SECRET);
    let text = signer.sign_handle(&handle());
    assert_eq!(signer.open_handle(&text), Some(handle()));
    for at in 0..text.len() {
        let mut altered = text.clone().into_bytes();
        altered[at] = if altered[at] == b'0' { b'1' } else { b'0' };
        let altered = String::from_utf8(altered).expect("ASCII");
        assert_eq!(signer.open_handle(&altered), None, "character {at}");
    }
}

/// Guards against a panic on arbitrary text from a caller, and against accepting a minted key as a
/// handle.
#[test]
fn unsigned_text_and_minted_key_are_not_handles() {
    fn holds(text: String) -> bool {
        let signer = HandleSigner::new(SECRET);
        signer.open_handle(&text).is_none() && signer.open_key(&text).is_none()
    }
    quickcheck().quickcheck(holds as fn(String) -> bool);
    let signer = HandleSigner::new(SECRET);
    let ResumeHandle { customer, desk, .. } = handle();
    let key = signer.sign_key(&MintedKey { customer, desk, epoch: 1, nonce: 2 });
    assert!(signer.open_handle(&key).is_none());
}

/// Guards against request ids in logs that the dump command cannot parse.
#[test]
fn request_id_round_trips_as_text() {
    fn holds(instance: u64, started: u64, number: u64) -> bool {
        let id = RequestId { instance: InstanceId(instance), started, number };
        RequestId::parse(&id.to_string()) == Some(id)
    }
    quickcheck().quickcheck(holds as fn(u64, u64, u64) -> bool);
}
