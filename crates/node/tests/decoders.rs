//! Decoders of caller and server input: size limits, typed errors, no panics.

use briarbank_core::call::Failure;
use briarbank_core::ids::{AttemptId, Incarnation};
use briarbank_node::{
    AnswerStream, CallerHeaders, EventError, EventReader, ModelCall, ServerHead, StreamEnd,
    StreamPart,
};
use http::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of cases of each property.
const CASES: u32 = 10_000;

/// Seed of the cases.
const SEED: [u8; 32] = [11; 32];

/// Size limit of an event in these tests.
const LIMIT_BYTES: usize = 200;

const ATTEMPT: AttemptId = AttemptId {
    incarnation: Incarnation(1),
    number: 2,
};

fn check_property<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    println!("cases {CASES}, seed {SEED:?}");
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    TestRunner::new_with_rng(config, rng)
        .run(strategy, test)
        .expect("the property holds");
}

fn token_event(attempt: &str, index: u32, text: &str, last: bool) -> String {
    let finish = if last { "\"stop\"" } else { "null" };
    format!(
        "data: {{\"attempt\":\"{attempt}\",\"index\":{index},\"choices\":[{{\"index\":0,\"text\":\"{text}\",\"finish_reason\":{finish}}}]}}\n\n"
    )
}

/// Returns a complete stream of `count` tokens whose first index is `first`.
fn token_stream(first: u32, count: u32) -> String {
    let id = ATTEMPT.to_string();
    let tokens = (first..first + count).map(|i| token_event(&id, i, "t ", i + 1 == first + count));
    tokens.chain(["data: [DONE]\n\n".to_owned()]).collect()
}

/// Reads a stream in chunks of `size` bytes.
///
/// Returns the bytes that passed, the number of tokens and the end.
fn read_stream(bytes: &[u8], first: u32, size: usize) -> (Vec<u8>, u32, Option<StreamEnd>) {
    let mut stream = AnswerStream::new(ATTEMPT, first, LIMIT_BYTES);
    let mut passed = Vec::new();
    let mut tokens = 0;
    for part in bytes.chunks(size) {
        stream.push(part);
        let StreamPart { chunk, end } = stream.next_part(|_| tokens += 1);
        passed.extend_from_slice(&chunk);
        if end.is_some() {
            return (passed, tokens, end);
        }
    }
    (passed, tokens, None)
}

#[test]
fn complete_streams_pass_unchanged_in_any_chunks() {
    check_property(
        &(0..1_000_u32, 1..20_u32, 1..200_usize),
        |(first, count, size)| {
            let sent = token_stream(first, count);
            let (passed, tokens, end) = read_stream(sent.as_bytes(), first, size);
            prop_assert_eq!(String::from_utf8(passed).unwrap(), sent);
            prop_assert_eq!((tokens, end), (count, Some(StreamEnd::Complete)));
            Ok(())
        },
    );
}

/// Damaged streams pass as a prefix of the original events.
///
/// Only a stream with all its tokens counts as complete.
#[test]
fn damaged_streams_pass_only_a_prefix() {
    let damage = (
        1..12_u32,
        any::<prop::sample::Index>(),
        any::<u8>(),
        1..100_usize,
    );
    check_property(&damage, |(count, at, byte, size)| {
        let sent = token_stream(0, count);
        let mut damaged = sent.clone().into_bytes();
        let at = at.index(damaged.len());
        let changed = damaged[at] != byte;
        damaged[at] = byte;
        let (passed, tokens, end) = read_stream(&damaged, 0, size);
        prop_assert!(tokens <= count);
        prop_assert!(damaged.starts_with(&passed));
        if changed && end == Some(StreamEnd::Complete) {
            // The change hit the text or a field that the router does not check.
            prop_assert_eq!(tokens, count);
        }
        let events = |bytes: &[u8]| bytes.windows(2).filter(|w| w == b"\n\n").count();
        prop_assert!(events(&passed) <= events(sent.as_bytes()) + 1);
        Ok(())
    });
}

#[test]
fn events_out_of_order_end_the_stream() {
    let indices = proptest::collection::vec(0..6_u32, 1..10);
    check_property(&indices, |indices| {
        let id = ATTEMPT.to_string();
        let sent: String = indices
            .iter()
            .map(|i| token_event(&id, *i, "t", false))
            .collect();
        let (_, tokens, end) = read_stream(sent.as_bytes(), 0, 64);
        let in_order = (0..).zip(&indices).take_while(|(n, i)| n == *i).count();
        prop_assert_eq!(tokens as usize, in_order);
        let failed = end == Some(StreamEnd::Failed(Failure::Malformed));
        prop_assert_eq!(failed, in_order < indices.len());
        Ok(())
    });
}

#[test]
fn events_of_another_attempt_never_pass() {
    check_property(&(any::<u64>(), any::<u64>()), |(incarnation, number)| {
        let other = AttemptId {
            incarnation: Incarnation(incarnation),
            number,
        };
        prop_assume!(other != ATTEMPT);
        let sent = token_event(&other.to_string(), 0, "t", true);
        let (passed, tokens, end) = read_stream(sent.as_bytes(), 0, 64);
        prop_assert!(passed.is_empty() && tokens == 0);
        prop_assert_eq!(end, Some(StreamEnd::Failed(Failure::Malformed)));
        Ok(())
    });
}

#[test]
fn arbitrary_bytes_parse_or_fail_with_a_typed_error() {
    let parts = proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..80), 0..12);
    check_property(&parts, |parts| {
        let mut reader = EventReader::new(LIMIT_BYTES);
        for part in parts {
            reader.push(&part);
            loop {
                match reader.next() {
                    Ok(Some(event)) => prop_assert!(event.raw.len() <= LIMIT_BYTES),
                    Ok(None) => break,
                    Err(EventError::TooLarge(_) | EventError::NotText) => return Ok(()),
                }
            }
        }
        Ok(())
    });
}

#[test]
fn nearly_valid_streams_never_panic() {
    let pieces = prop::sample::select(vec![
        "data: ",
        "data:",
        "event: error\n",
        "\n",
        "\n\n",
        "\r\n",
        "\r\n\r\n",
        ":",
        "{",
        "}",
        "[DONE]",
        "{\"attempt\":\"0000000000000001-2\",\"index\":0,\"choices\":[]}",
        "{\"attempt\":\"0000000000000001-2\",\"index\":4294967295,\"choices\":[{}]}",
        "{\"index\":0}",
        "null",
        "é",
        "\u{0}",
    ]);
    let pieces = proptest::collection::vec(pieces, 0..20);
    check_property(&(pieces, 1..30_usize), |(pieces, size)| {
        read_stream(pieces.concat().as_bytes(), 0, size);
        Ok(())
    });
}

#[test]
fn unterminated_event_is_rejected_over_the_limit() {
    let mut stream = AnswerStream::new(ATTEMPT, 0, LIMIT_BYTES);
    stream.push(&vec![b'x'; LIMIT_BYTES + 1]);
    let part = stream.next_part(|_| {});
    assert_eq!(part.end, Some(StreamEnd::Failed(Failure::Malformed)));
}

#[test]
fn stream_without_its_closing_event_is_complete() {
    let mut stream = AnswerStream::new(ATTEMPT, 0, LIMIT_BYTES);
    stream.push(token_event(&ATTEMPT.to_string(), 0, "t", true).as_bytes());
    assert_eq!(stream.next_part(|_| {}).end, None);
    assert_eq!(stream.end_of_input().end, Some(StreamEnd::Complete));
    stream.push(b"data: [DO");
    assert_eq!(stream.next_part(|_| {}).end, None);
    assert_eq!(stream.end_of_input().end, Some(StreamEnd::Complete));
    stream.push(b"x");
    assert_eq!(
        stream.end_of_input().end,
        Some(StreamEnd::Failed(Failure::Broken))
    );
    let open = AnswerStream::new(ATTEMPT, 0, LIMIT_BYTES);
    assert_eq!(
        open.end_of_input().end,
        Some(StreamEnd::Failed(Failure::Broken))
    );
}

#[test]
fn arbitrary_headers_parse_or_fail() {
    let names = prop::sample::select(vec![
        "briarbank-workspace",
        "briarbank-profile",
        "idempotency-key",
        "briarbank-try",
        "content-type",
        "briarbank-attempt",
        "briarbank-load",
        "briarbank-not-run",
        "briarbank-server-state",
    ]);
    let values = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..300),
        "(running|waiting|age_ms|x)=[0-9]{0,25}(,[a-z=]{0,9})?".prop_map(String::into_bytes),
        "[0-9-]{0,12}".prop_map(String::into_bytes),
    ];
    let headers = proptest::collection::vec((names, values), 0..9);
    check_property(&headers, |headers| {
        let mut map = HeaderMap::new();
        for (name, value) in headers {
            if let Ok(value) = HeaderValue::from_bytes(&value) {
                map.append(HeaderName::from_static(name), value);
            }
        }
        if let Ok(read) = CallerHeaders::parse(&map) {
            prop_assert!((1..=256).contains(&read.request.as_str().len()));
            prop_assert!((1..=256).contains(&read.profile.as_str().len()));
        }
        let _ = ServerHead::parse(&map);
        Ok(())
    });
}

#[test]
fn arbitrary_bodies_parse_or_fail() {
    let bodies = prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..200),
        "\\{\"model\":\"[a-z]{0,9}\",\"(prompt|messages|stream|max_tokens)\":(null|true|\"é{0,600}\"|[0-9]{1,12}|\\[\\]|\\{\"content\":\"x\"\\})\\}"
            .prop_map(String::into_bytes),
    ];
    check_property(&bodies, |body| {
        let _ = ModelCall::parse(&body);
        Ok(())
    });
}

#[test]
fn headers_without_a_try_number_count_as_a_retry() {
    let mut headers = HeaderMap::new();
    for (name, value) in [("briarbank-workspace", "w"), ("briarbank-profile", "p")] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    assert!(CallerHeaders::parse(&headers).unwrap().first_try);
    headers.insert("idempotency-key", HeaderValue::from_static("id"));
    assert!(!CallerHeaders::parse(&headers).unwrap().first_try);
    headers.insert("briarbank-try", HeaderValue::from_static("1"));
    assert!(CallerHeaders::parse(&headers).unwrap().first_try);
}
