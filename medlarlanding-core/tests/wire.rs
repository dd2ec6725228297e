//! Frames between instances and authenticated handles.

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

/// Guards against a codec that loses a field.
#[test]
fn frame_survives_the_codec() {
    let decoded = PeerCodec::new(SECRET).decode(&encoded(), PeerTransport::Datagram);
    assert_eq!(decoded, Ok(frame()));
}

/// Guards against frames of a process that does not know the cluster secret.
#[test]
fn other_secret_is_rejected() {
    let decoded = PeerCodec::new("another secret 42").decode(&encoded(), PeerTransport::Datagram);
    assert_eq!(decoded, Err(FrameFault::Tag));
}

/// Guards against a changed byte that passes the check of the tag.
#[test]
fn every_changed_byte_is_rejected() {
    let codec = PeerCodec::new(SECRET);
    for at in 0..encoded().len() {
        let mut bytes = encoded();
        bytes[at] ^= 1;
        assert!(codec.decode(&bytes, PeerTransport::Datagram).is_err(), "byte {at}");
    }
}

/// Guards against a panic or an accepted frame on arbitrary input.
#[test]
fn arbitrary_bytes_are_rejected() {
    fn holds(bytes: Vec<u8>) -> bool {
        PeerCodec::new(SECRET).decode(&bytes, PeerTransport::Datagram).is_err()
    }
    quickcheck().quickcheck(holds as fn(Vec<u8>) -> bool);
}

/// Guards against datagrams that the network would have to fragment.
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

/// Guards against a handle that can be altered to name the generation of another customer.
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

/// Guards against a panic on a handle that a caller made up, and against a minted key that is
/// taken for a handle.
#[test]
fn foreign_text_is_no_handle() {
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

/// Guards against request ids that the dump command cannot find again.
#[test]
fn request_id_survives_its_text() {
    fn holds(instance: u64, started: u64, number: u64) -> bool {
        let id = RequestId { instance: InstanceId(instance), started, number };
        RequestId::parse(&id.to_string()) == Some(id)
    }
    quickcheck().quickcheck(holds as fn(u64, u64, u64) -> bool);
}
