//! Prefill speed and cached parts that the homes of servers know.
#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Dispatcher, PrefillDirectory, PrefillSample, ServerEstimate, ServerObservation,
};

use crate::fleet::{dispatcher, learn_prompt_sizes, long_call, server_name};

const SERVER: u32 = 7;
const PROCESS: u32 = 70;

fn observation(parts: &[u32]) -> ServerObservation {
    ServerObservation {
        server_key: SERVER,
        process_key: PROCESS,
        parts: parts.to_vec(),
        ..ServerObservation::default()
    }
}

fn held(directory: &mut PrefillDirectory, now: Instant, process: u32) -> Option<u8> {
    let estimate = directory.estimate(now, SERVER, process, &[1, 2], false);
    estimate.and_then(|i| i.held_parts)
}

/// Guards against prompts that are read again because a new home takes what it has not
/// heard of for not cached.
#[test]
fn a_home_that_took_over_does_not_know_what_is_not_cached() {
    let now = Instant::now();
    let mut directory = PrefillDirectory::default();
    assert_eq!(held(&mut directory, now, PROCESS), None);
    directory.record(now, &observation(&[1]), false);
    assert_eq!(held(&mut directory, now, PROCESS), Some(1));
    directory.record(now, &observation(&[2]), false);
    assert_eq!(held(&mut directory, now, PROCESS), Some(2));
    let later = now + Duration::from_secs(25);
    directory.record(later, &observation(&[3]), false);
    let other = directory.estimate(later, SERVER, PROCESS, &[4], false);
    assert_eq!(other.and_then(|i| i.held_parts), Some(0));
}

/// Guards against parts that count as cached though the process that held them is gone.
#[test]
fn a_restarted_server_holds_nothing() {
    let now = Instant::now();
    let mut directory = PrefillDirectory::default();
    directory.record(now, &observation(&[1, 2]), false);
    assert_eq!(held(&mut directory, now, PROCESS + 1), Some(0));
}

/// Guards against servers that nobody uses because of one absurd figure.
#[test]
fn absurd_figures_are_clamped_and_lose_weight() {
    let now = Instant::now();
    let mut directory = PrefillDirectory::default();
    for time_ms in [f32::NAN, f32::INFINITY, -5.0, 1e30] {
        let sample = PrefillSample {
            calls: 1e9,
            tokens: 1_000.0,
            time_ms,
        };
        let observation = ServerObservation {
            sample: Some(sample),
            slowness_percent: Some(u16::MAX),
            ..observation(&[])
        };
        directory.record(now, &observation, false);
    }
    let estimate = directory
        .estimate(now, SERVER, PROCESS, &[], false)
        .unwrap();
    assert!(estimate.samples.calls <= 4.0, "{estimate:?}");
    assert!(
        (0.0..=200_000.0).contains(&estimate.samples.time_ms),
        "{estimate:?}"
    );
    assert!(
        estimate
            .momentary_slowness
            .is_some_and(|(percent, _)| percent <= 1_000)
    );
    let later = now + Duration::from_mins(1);
    let estimate = directory
        .estimate(later, SERVER, PROCESS, &[], false)
        .unwrap();
    assert!(estimate.samples.time_ms < 1_000.0, "{estimate:?}");
    assert_eq!(estimate.momentary_slowness, None);
}

/// Tells the dispatcher what homes know: server, parts held, momentary slowness in percent.
fn tell(dispatcher: &mut Dispatcher, now: Instant, servers: &[(&str, u8, u16)]) {
    let estimate = |(name, held_parts, percent): &(&str, u8, u16)| ServerEstimate {
        server_key: dispatcher.server_key(&server_name(name)).unwrap(),
        samples: PrefillSample::default(),
        held_parts: Some(*held_parts),
        momentary_slowness: Some((*percent, 0)),
    };
    let estimates: Vec<ServerEstimate> = servers.iter().map(estimate).collect();
    dispatcher.set_estimates(now, &long_call(1, 1), &estimates);
}

fn place(dispatcher: &mut Dispatcher, now: Instant) -> String {
    let call = long_call(1, 1);
    let placement = dispatcher.dispatch(now, &call, &[]).unwrap();
    placement.instance.id.to_string()
}

/// Guards against a prompt that is read by a server that is slow at this moment, though
/// nobody holds its prefix.
#[test]
fn a_prompt_that_nobody_holds_avoids_a_slow_server() {
    let now = Instant::now();
    for slow in ["m0", "m1", "m2"] {
        let mut dispatcher = dispatcher(3, 0);
        learn_prompt_sizes(&mut dispatcher, now);
        let percent = |name| if name == slow { 250 } else { 100 };
        let servers = ["m0", "m1", "m2"].map(|name| (name, 0, percent(name)));
        tell(&mut dispatcher, now, &servers);
        assert_ne!(place(&mut dispatcher, now), slow);
    }
}

/// Guards against a prefix that is read again at a server that is a little faster.
#[test]
fn a_prompt_goes_to_the_server_that_holds_its_prefix() {
    let now = Instant::now();
    for holder in ["m0", "m1", "m2"] {
        let mut dispatcher = dispatcher(3, 0);
        learn_prompt_sizes(&mut dispatcher, now);
        let held = |name| if name == holder { 2 } else { 0 };
        let percent = |name| if name == holder { 130 } else { 100 };
        let servers = ["m0", "m1", "m2"].map(|name| (name, held(name), percent(name)));
        tell(&mut dispatcher, now, &servers);
        assert_eq!(place(&mut dispatcher, now), holder);
    }
}

/// Guards against decisions by knowledge that is out of date.
#[test]
fn what_a_home_told_expires() {
    let now = Instant::now();
    let mut with = dispatcher(3, 0);
    learn_prompt_sizes(&mut with, now);
    let usual = place(&mut dispatcher(3, 0), now);
    tell(
        &mut with,
        now,
        &[("m0", 0, 900), ("m1", 0, 900), ("m2", 2, 25)],
    );
    let later = now + Duration::from_secs(1);
    assert_eq!(place(&mut with, later), usual);
}

/// Guards against what a home told for one prompt that is applied to another.
#[test]
fn what_a_home_told_of_one_prefix_does_not_hold_for_another() {
    let now = Instant::now();
    let mut with = dispatcher(3, 0);
    learn_prompt_sizes(&mut with, now);
    let other = long_call(2, 2);
    let usual = dispatcher(3, 0).dispatch(now, &other, &[]).unwrap();
    for holder in ["m0", "m1", "m2"] {
        tell(&mut with, now, &[(holder, 2, 100)]);
        let placement = with.dispatch(now, &other, &[]).unwrap();
        assert_eq!(placement.instance.id, usual.instance.id);
        with.record_success(now, placement.attempt);
    }
}

/// Guards against a panic, or a server that is never used, after absurd figures of a peer.
#[test]
fn absurd_answers_of_homes_are_ignored() {
    let now = Instant::now();
    for figure in [f32::NAN, f32::INFINITY, -1.0, f32::MAX] {
        let mut dispatcher = dispatcher(3, 0);
        learn_prompt_sizes(&mut dispatcher, now);
        let samples = [
            PrefillSample {
                calls: figure,
                tokens: 50_000.0,
                time_ms: 900.0,
            },
            PrefillSample {
                calls: 9.0,
                tokens: figure,
                time_ms: 900.0,
            },
            PrefillSample {
                calls: 9.0,
                tokens: 50_000.0,
                time_ms: figure,
            },
        ];
        for (name, samples) in ["m0", "m1", "m2"].into_iter().zip(samples) {
            let estimate = ServerEstimate {
                server_key: dispatcher.server_key(&server_name(name)).unwrap(),
                samples,
                held_parts: Some(u8::MAX),
                momentary_slowness: Some((0, u16::MAX)),
            };
            dispatcher.set_estimates(now, &long_call(1, 1), &[estimate]);
        }
        place(&mut dispatcher, now);
    }
}

/// Guards against an overflow by the part sizes that a caller claims.
#[test]
fn parts_of_any_claimed_size_are_placed() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(3, 0);
    learn_prompt_sizes(&mut dispatcher, now);
    let mut call = long_call(1, 1);
    for (_, tokens) in call.prompt.iter_mut().flat_map(|p| &mut p.parts) {
        *tokens = u32::MAX;
    }
    tell(
        &mut dispatcher,
        now,
        &[("m0", 2, 100), ("m1", 2, 100), ("m2", 2, 100)],
    );
    assert!(dispatcher.dispatch(now, &call, &[]).is_ok());
}
