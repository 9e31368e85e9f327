//! Tests of the encoding of frames.

use base::prelude::*;
use peer::{CodecError, Envelope, decode, encode};
use policy::message::{Frame, Message};
use proptest::prelude::*;

fn request() -> Envelope<Frame> {
    Envelope::Frame(Frame::Message(Message::Request { upstream: 1, serial: 2 }))
}

#[test]
fn decode_own_encoding() {
    let bytes = encode(&request()).expect("encodes");
    assert_eq!(bytes[..4], u32::try_from(bytes.len() - 4).expect("short").to_le_bytes());
    assert_eq!(decode(&bytes[4..]), Ok(request()));
}

#[test]
fn decode_trailing_bytes() {
    let mut bytes = encode(&request()).expect("encodes")[4..].to_vec();
    bytes.push(0);
    assert_eq!(decode::<Frame>(&bytes), Err(CodecError::Trailing { size: 1 }));
    assert!(decode::<Frame>(&bytes[..2]).is_err());
    let large = Envelope::Frame(Frame::Config(vec![0; peer::MAX_FRAME_BYTES]));
    assert!(matches!(encode(&large), Err(CodecError::TooLarge { .. })));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decode_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        // Any input gives a frame or an error, and a frame survives encoding and decoding.
        if let Ok(envelope) = decode::<Frame>(&bytes) {
            let encoded = encode(&envelope).expect("encodes");
            prop_assert_eq!(decode(&encoded[4..]), Ok(envelope));
        }
    }
}

/// Times are encoded as plain numbers, so that members need not share a clock.
#[test]
fn encode_time_as_number() {
    assert_eq!(postcard::to_stdvec(&Moment(5)).expect("encodes"), [5]);
}
