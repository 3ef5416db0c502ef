//! Decoding bytes from another node returns a message or a typed error, within limits.

use std::sync::Arc;
use std::time::Duration;

use briarbank_core::call::{Outcome, Reason, Refusal};
use briarbank_core::conf;
use briarbank_core::ids::{HostName, Incarnation, Revision};
use briarbank_core::peer::{Envelope, Message};
use briarbank_wire::{
    CallHead, Error, FrameReader, MESSAGE_BYTES_MAX, ReplyHead, VERSION, decode, encode,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 10_000;

const SEED: [u8; 32] = [7; 32];

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn check_property<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    println!("cases {CASES}, seed {SEED:?}");
    runner().run(strategy, test).expect("the property holds");
}

fn value_message() -> impl Strategy<Value = Message> {
    let bytes = proptest::collection::vec(any::<u8>(), 0..200);
    (any::<u64>(), bytes).prop_map(|(revision, bytes)| {
        Message::Conf(conf::Message::Value {
            key: conf::Key::Servers,
            revision: Revision(revision),
            bytes: Arc::from(bytes),
        })
    })
}

fn envelope() -> impl Strategy<Value = Envelope> {
    ("[a-z0-9-]{1,30}", any::<u64>(), value_message()).prop_map(|(from, incarnation, message)| {
        Envelope {
            from: HostName::new(&from),
            address: ([127, 0, 0, 1], 1).into(),
            incarnation: Incarnation(incarnation),
            message,
        }
    })
}

/// Decodes the bytes as each type that a node receives; only a panic fails the test.
fn decode_all(bytes: &[u8]) {
    let _ = decode::<Envelope>(bytes);
    let _ = decode::<CallHead>(bytes);
    let _ = decode::<ReplyHead>(bytes);
}

#[test]
fn messages_survive_a_round_trip() {
    check_property(&envelope(), |envelope| {
        let bytes = encode(&envelope).unwrap();
        prop_assert_eq!(decode::<Envelope>(&bytes).unwrap(), envelope);
        Ok(())
    });
}

#[test]
fn arbitrary_bytes_decode_or_return_an_error() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..400);
    check_property(&bytes, |mut bytes| {
        decode_all(&bytes);
        if let Some(version) = bytes.first_mut() {
            *version = VERSION;
        }
        decode_all(&bytes);
        Ok(())
    });
}

#[test]
fn corrupted_messages_decode_or_return_an_error() {
    let corruption = (
        envelope(),
        any::<prop::sample::Index>(),
        any::<u8>(),
        any::<bool>(),
    );
    check_property(&corruption, |(envelope, offset, byte, truncated)| {
        let mut bytes = encode(&envelope).unwrap();
        let offset = offset.index(bytes.len());
        if truncated {
            bytes.truncate(offset);
        } else {
            bytes[offset] = byte;
        }
        decode_all(&bytes);
        Ok(())
    });
}

#[test]
fn trailing_bytes_are_rejected() {
    check_property(&(envelope(), 1_usize..20), |(envelope, count)| {
        let mut bytes = encode(&envelope).unwrap();
        bytes.extend(std::iter::repeat_n(0, count));
        let trailing =
            matches!(decode::<Envelope>(&bytes), Err(Error::Trailing(found)) if found == count);
        prop_assert!(trailing);
        Ok(())
    });
}

#[test]
fn frames_survive_any_chunking() {
    let messages = proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..50), 0..8);
    check_property(&(messages, 1_usize..40), |(messages, size)| {
        let mut stream = Vec::new();
        for message in &messages {
            stream.extend(FrameReader::frame(message).unwrap());
        }
        let mut reader = FrameReader::default();
        let mut read = Vec::new();
        for chunk in stream.chunks(size) {
            reader.push(chunk);
            while let Some(message) = reader.next().unwrap() {
                read.push(message);
            }
        }
        prop_assert_eq!(read, messages);
        prop_assert!(reader.into_rest().is_empty());
        Ok(())
    });
}

#[test]
fn arbitrary_bytes_are_frames_or_return_an_error() {
    let chunks = proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..60), 0..6);
    check_property(&chunks, |chunks| {
        let mut reader = FrameReader::default();
        for chunk in chunks {
            reader.push(&chunk);
            loop {
                match reader.next() {
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(error) => {
                        prop_assert!(matches!(error, Error::TooLarge(_)));
                        return Ok(());
                    }
                }
            }
        }
        Ok(())
    });
}

#[test]
fn unknown_versions_and_empty_messages_are_rejected() {
    let mut bytes = encode(&7_u32).unwrap();
    bytes[0] = VERSION + 1;
    assert!(
        matches!(decode::<u32>(&bytes), Err(Error::UnknownVersion(found)) if found == VERSION + 1)
    );
    assert!(matches!(decode::<u32>(&[]), Err(Error::Empty)));
}

#[test]
fn message_sizes_are_limited_in_both_directions() {
    let large = vec![0_u8; MESSAGE_BYTES_MAX];
    assert!(encode(&large).is_err());
    assert!(matches!(
        decode::<Vec<u8>>(&vec![VERSION; MESSAGE_BYTES_MAX + 1]),
        Err(Error::TooLarge(_))
    ));
    assert!(matches!(
        FrameReader::frame(&vec![0; MESSAGE_BYTES_MAX + 1]),
        Err(Error::TooLarge(_))
    ));
    let mut reader = FrameReader::default();
    reader.push(&u32::MAX.to_be_bytes());
    assert!(matches!(reader.next(), Err(Error::TooLarge(_))));
}

/// A short message that claims a long list must not make the decoder allocate memory for it.
#[test]
fn oversized_length_claims_are_rejected() {
    // Variant 2 (published values), variant 1 (a complete value), then a length of 2^60.
    let mut bytes = vec![VERSION, 1, b'a', 0, 2, 1, 0, 0, 253];
    bytes.extend((1_u64 << 60).to_le_bytes());
    assert!(matches!(decode::<Envelope>(&bytes), Err(Error::Decode(_))));
}

#[test]
fn reply_heads_survive_a_round_trip() {
    let head = ReplyHead::Refusal(Refusal {
        reason: Reason::NoOwner,
        outcome: Outcome::Unknown,
        retry_after: Duration::from_millis(1_500),
    });
    let bytes = encode(&head).unwrap();
    assert_eq!(decode::<ReplyHead>(&bytes).unwrap(), head);
}
