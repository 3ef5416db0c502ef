//! Deltas of documents, and replication with arbitrary messages.

mod recovery_fleet;

use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::conf::{Delta, Digest, Edit, Key, Message, Options, Replicator};
use briarbank_core::hosts::{Host, HostState, HostView};
use briarbank_core::ids::Revision;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use recovery_fleet::documents::FakeDocuments;

const CASES: u32 = 10_000;

fn runner(seed: u8) -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, rng)
}

/// Generates documents of few pieces, many of them equal.
fn any_document() -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(
        prop_oneof!["\\{\"a\":[0-3]\\},", "[a-c]\n", "x", "\\},?"],
        0..30,
    )
    .prop_map(|pieces| pieces.concat().into_bytes())
}

#[test]
fn delta_builds_the_newer_document() {
    runner(1)
        .run(&(any_document(), any_document()), |(old, new)| {
            let delta = Delta::between(&old, &new);
            prop_assert_eq!(delta.apply(&old), Some(new));
            Ok(())
        })
        .expect("the newer document");
}

#[test]
fn delta_never_builds_a_wrong_document_from_another_base() {
    runner(2)
        .run(
            &(any_document(), any_document(), any_document()),
            |(old, new, other)| {
                let built = Delta::between(&old, &new).apply(&other);
                prop_assert!(built.is_none() || built == Some(new));
                Ok(())
            },
        )
        .expect("no wrong document");
}

fn any_edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        (any::<u32>(), any::<u32>()).prop_map(|(offset_bytes, length_bytes)| Edit::Copy {
            offset_bytes,
            length_bytes,
        }),
        prop::collection::vec(any::<u8>(), 0..8).prop_map(Edit::Insert),
    ]
}

/// Generates deltas of arbitrary edits, as a faulty peer might send them.
fn any_delta() -> impl Strategy<Value = Arc<Delta>> {
    let edits = prop::collection::vec(any_edit(), 0..4);
    (edits, any::<u64>()).prop_map(|parts| {
        let config = bincode::config::standard();
        let bytes = bincode::serde::encode_to_vec(&parts, config).expect("encodable");
        let (delta, _) = bincode::serde::decode_from_slice(&bytes, config).expect("same layout");
        Arc::new(delta)
    })
}

fn any_revision() -> impl Strategy<Value = Revision> {
    prop_oneof![0_u64..6, any::<u64>()].prop_map(Revision)
}

fn any_message() -> impl Strategy<Value = Message> {
    let key = prop_oneof![Just(Key::Hosts), Just(Key::Servers), Just(Key::Config)];
    let bytes = prop::collection::vec(any::<u8>(), 0..20).prop_map(Arc::from);
    let revisions = || [any_revision(), any_revision(), any_revision()];
    let digest = (revisions(), revisions(), any::<[bool; 2]>(), any::<u32>());
    let have = prop::collection::vec(any_revision(), 0..20);
    prop_oneof![
        digest.prop_map(|(adopted, refused, [is_synced, answer], platform_age_ms)| {
            Message::Digest(Digest {
                adopted,
                refused,
                is_synced,
                answer,
                platform_age_ms,
            })
        }),
        (key.clone(), have).prop_map(|(key, have)| Message::Want { key, have }),
        (key.clone(), any_revision(), bytes).prop_map(|(key, revision, bytes)| {
            Message::Value {
                key,
                revision,
                bytes,
            }
        }),
        (key.clone(), any_revision(), any_revision(), any_delta()).prop_map(
            |(key, base, revision, delta)| Message::Delta {
                key,
                base,
                revision,
                delta,
            }
        ),
        (key, any_revision(), "é{0,300}").prop_map(|(key, revision, error)| {
            Message::Refused {
                key,
                revision,
                error: Arc::from(error),
            }
        }),
    ]
}

#[test]
fn arbitrary_messages_neither_panic_nor_revert() {
    let host = |name: &str| Host {
        name: name.into(),
        zone: "recife".into(),
        peer_address: "127.0.0.1:1".parse().expect("valid address"),
        state: HostState::Live,
    };
    let view = HostView::new(Revision(1), vec![host("a"), host("b"), host("c")]);
    let messages = prop::collection::vec(any_message(), 1..8);
    runner(3)
        .run(&messages, |messages| {
            let mut now = Instant::now() + Duration::from_hours(1);
            let options = Options::default();
            let mut replicator = Replicator::new("a".into(), "recife".into(), options, 1);
            let mut out = Vec::new();
            replicator.set_hosts(now, &view);
            let mut before = Key::ALL.map(|key| replicator.revision(key));
            for message in messages {
                now += Duration::from_millis(700);
                replicator.handle_message(now, &FakeDocuments, &"b".into(), message, &mut out);
                replicator.tick(now, &mut out);
                let after = Key::ALL.map(|key| replicator.revision(key));
                prop_assert!(before.iter().zip(&after).all(|(b, a)| a >= b));
                before = after;
            }
            prop_assert!(out.len() < 1_000, "{} outputs", out.len());
            Ok(())
        })
        .expect("all cases hold");
}
