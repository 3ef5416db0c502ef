//! Prefill speed and cached parts that the homes of servers know.
#![expect(clippy::unwrap_used, reason = "a failed setup fails the test")]

use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Dispatcher, PrefillDirectory, PrefillSample, ServerInsight, ServerSighting,
};

use crate::fleet::{dispatcher, learn_prompt_sizes, long_call, server_name};

const SERVER: u32 = 7;
const PROCESS: u32 = 70;

fn sighting(parts: &[u32]) -> ServerSighting {
    ServerSighting {
        server_key: SERVER,
        process_key: PROCESS,
        parts: parts.to_vec(),
        ..ServerSighting::default()
    }
}

fn held(directory: &mut PrefillDirectory, now: Instant, process: u32) -> Option<u8> {
    let insight = directory.insight(now, SERVER, process, &[1, 2], false);
    insight.and_then(|i| i.held_parts)
}

/// Guards against prompts that are read again because a new home takes what it has not
/// heard of for not cached.
#[test]
fn a_home_that_took_over_does_not_know_what_is_not_cached() {
    let now = Instant::now();
    let mut directory = PrefillDirectory::default();
    assert_eq!(held(&mut directory, now, PROCESS), None);
    directory.record(now, &sighting(&[1]), false);
    assert_eq!(held(&mut directory, now, PROCESS), Some(1));
    directory.record(now, &sighting(&[2]), false);
    assert_eq!(held(&mut directory, now, PROCESS), Some(2));
    let later = now + Duration::from_secs(25);
    directory.record(later, &sighting(&[3]), false);
    let other = directory.insight(later, SERVER, PROCESS, &[4], false);
    assert_eq!(other.and_then(|i| i.held_parts), Some(0));
}

/// Guards against parts that count as cached though the process that held them is gone.
#[test]
fn a_restarted_server_holds_nothing() {
    let now = Instant::now();
    let mut directory = PrefillDirectory::default();
    directory.record(now, &sighting(&[1, 2]), false);
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
        let sighting = ServerSighting {
            sample: Some(sample),
            moment_percent: Some(u16::MAX),
            ..sighting(&[])
        };
        directory.record(now, &sighting, false);
    }
    let insight = directory.insight(now, SERVER, PROCESS, &[], false).unwrap();
    assert!(insight.samples.calls <= 4.0, "{insight:?}");
    assert!(
        (0.0..=200_000.0).contains(&insight.samples.time_ms),
        "{insight:?}"
    );
    assert!(insight.moment.is_some_and(|(percent, _)| percent <= 1_000));
    let later = now + Duration::from_mins(1);
    let insight = directory
        .insight(later, SERVER, PROCESS, &[], false)
        .unwrap();
    assert!(insight.samples.time_ms < 1_000.0, "{insight:?}");
    assert_eq!(insight.moment, None);
}

/// Tells the dispatcher what homes know: server, parts held, momentary slowness in percent.
fn tell(dispatcher: &mut Dispatcher, now: Instant, servers: &[(&str, u8, u16)]) {
    let insight = |(name, held_parts, percent): &(&str, u8, u16)| ServerInsight {
        server_key: dispatcher.server_key(&server_name(name)).unwrap(),
        samples: PrefillSample::default(),
        held_parts: Some(*held_parts),
        moment: Some((*percent, 0)),
    };
    let insights: Vec<ServerInsight> = servers.iter().map(insight).collect();
    dispatcher.set_insights(now, &insights);
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
