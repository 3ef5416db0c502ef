//! Membership with arbitrary messages.

use std::time::{Duration, Instant};

use briarbank_core::hosts::{Host, HostState, HostView};
use briarbank_core::ids::{HostName, Incarnation, Revision};
use briarbank_core::member::{Members, Message, Options, Output, Status, Update};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CASES: u32 = 10_000;

fn any_host() -> impl Strategy<Value = HostName> {
    prop_oneof![Just("a"), Just("b"), Just("c"), Just("unknown")].prop_map(HostName::new)
}

fn any_incarnation() -> impl Strategy<Value = Incarnation> {
    (0_u64..4).prop_map(Incarnation)
}

fn any_update() -> impl Strategy<Value = Update> {
    let status = prop_oneof![
        Just(Status::Live),
        Just(Status::Suspect),
        Just(Status::Dead),
        Just(Status::Leaving)
    ];
    let round = prop_oneof![0_u32..3, Just(u32::MAX)];
    prop_oneof![
        (any_host(), any_incarnation(), round, status).prop_map(
            |(host, incarnation, round, status)| Update::Host {
                host,
                incarnation,
                round,
                status,
            }
        ),
        ("[a-d]", any::<u32>()).prop_map(|(server, age_s)| Update::ServerLeaving {
            server: server.as_str().into(),
            age_s,
        }),
    ]
}

fn any_message() -> impl Strategy<Value = Message> {
    let updates = || prop::collection::vec(any_update(), 0..6);
    prop_oneof![
        (any::<u64>(), any::<u64>(), updates()).prop_map(|(number, digest, updates)| {
            Message::Probe {
                number,
                digest,
                updates,
            }
        }),
        (0_u64..20, any::<u64>(), updates()).prop_map(|(number, digest, updates)| {
            Message::Answer {
                number,
                digest,
                updates,
            }
        }),
        any_host().prop_map(Message::ProbeFor),
        any_host().prop_map(Message::AnswerFor),
        updates().prop_map(Message::Updates),
    ]
}

#[test]
fn arbitrary_messages_neither_panic_nor_flood() {
    let host = |name: &str| Host {
        name: name.into(),
        zone: "recife".into(),
        peer_address: "127.0.0.1:1".parse().expect("valid address"),
        state: HostState::Live,
    };
    let view = HostView::new(Revision(1), vec![host("a"), host("b"), host("c")]);
    let steps = (any_host(), any_incarnation(), any_message(), 0_u64..3_000);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[1; 32]);
    TestRunner::new_with_rng(config, rng)
        .run(&prop::collection::vec(steps, 1..12), |steps| {
            let mut now = Instant::now() + Duration::from_hours(1);
            let options = Options::default();
            let mut members = Members::new("a".into(), Incarnation(1), options, 1);
            members.set_hosts(now, &view);
            let mut out = Vec::new();
            for (from, incarnation, message, pause_ms) in steps {
                now += Duration::from_millis(pause_ms);
                members.handle_message(now, &from, incarnation, message, &mut out);
                members.tick(now, &mut out);
            }
            let sent = out.iter().filter(|o| matches!(o, Output::Send { .. }));
            prop_assert!(sent.count() < 300);
            prop_assert!(members.usable(&"a".into()));
            Ok(())
        })
        .expect("all cases hold");
}
