//! Decoding of what another node sends: a message or a typed error, bounded.

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

/// Cases of each property.
const CASES: u32 = 10_000;

/// Seed of the cases.
const SEED: [u8; 32] = [7; 32];

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn check<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
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

/// Decodes as each type that a node reads; the outcome doesn't matter.
fn decode_all(bytes: &[u8]) {
    let _ = decode::<Envelope>(bytes);
    let _ = decode::<CallHead>(bytes);
    let _ = decode::<ReplyHead>(bytes);
}

#[test]
fn any_message_survives_encoding() {
    check(&envelope(), |envelope| {
        let bytes = encode(&envelope).unwrap();
        prop_assert_eq!(decode::<Envelope>(&bytes).unwrap(), envelope);
        Ok(())
    });
}

#[test]
fn any_bytes_decode_or_fail_with_a_type() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..400);
    check(&bytes, |mut bytes| {
        decode_all(&bytes);
        if let Some(version) = bytes.first_mut() {
            *version = VERSION;
        }
        decode_all(&bytes);
        Ok(())
    });
}

#[test]
fn any_damage_decodes_or_fails_with_a_type() {
    let damage = (
        envelope(),
        any::<prop::sample::Index>(),
        any::<u8>(),
        any::<bool>(),
    );
    check(&damage, |(envelope, at, byte, cut)| {
        let mut bytes = encode(&envelope).unwrap();
        let at = at.index(bytes.len());
        if cut {
            bytes.truncate(at);
        } else {
            bytes[at] = byte;
        }
        decode_all(&bytes);
        Ok(())
    });
}

#[test]
fn bytes_after_a_message_are_refused() {
    check(&(envelope(), 1_usize..20), |(envelope, count)| {
        let mut bytes = encode(&envelope).unwrap();
        bytes.extend(std::iter::repeat_n(0, count));
        let trailing =
            matches!(decode::<Envelope>(&bytes), Err(Error::Trailing(found)) if found == count);
        prop_assert!(trailing);
        Ok(())
    });
}

#[test]
fn frames_survive_any_cuts() {
    let messages = proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..50), 0..8);
    check(&(messages, 1_usize..40), |(messages, size)| {
        let mut stream = Vec::new();
        for message in &messages {
            stream.extend(FrameReader::frame(message).unwrap());
        }
        let mut reader = FrameReader::default();
        let mut read = Vec::new();
        for part in stream.chunks(size) {
            reader.push(part);
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
fn any_bytes_are_frames_or_fail_with_a_type() {
    let parts = proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..60), 0..6);
    check(&parts, |parts| {
        let mut reader = FrameReader::default();
        for part in parts {
            reader.push(&part);
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
fn unknown_versions_are_named() {
    let mut bytes = encode(&7_u32).unwrap();
    bytes[0] = VERSION + 1;
    assert!(
        matches!(decode::<u32>(&bytes), Err(Error::UnknownVersion(found)) if found == VERSION + 1)
    );
    assert!(matches!(decode::<u32>(&[]), Err(Error::Empty)));
}

#[test]
fn sizes_are_bounded_both_ways() {
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

/// A short message that claims a long list must not make the decoder reserve memory for it.
#[test]
fn claimed_length_is_not_believed() {
    // Variant 2 (published values), variant 1 (a whole value), then a length of 2^60.
    let mut bytes = vec![VERSION, 1, b'a', 0, 2, 1, 0, 0, 253];
    bytes.extend((1_u64 << 60).to_le_bytes());
    assert!(matches!(decode::<Envelope>(&bytes), Err(Error::Decode(_))));
}

#[test]
fn heads_of_forwarded_calls_survive_encoding() {
    let head = ReplyHead::Refusal(Refusal {
        reason: Reason::NoOwner,
        outcome: Outcome::Unknown,
        retry_after: Duration::from_millis(1_500),
    });
    let bytes = encode(&head).unwrap();
    assert_eq!(decode::<ReplyHead>(&bytes).unwrap(), head);
}
