//! Outcomes of calls with new ids, under one fault at a time.

use std::time::Duration;

use briarbank_core::hosts::HostState;

use super::{Fleet, Op};

/// Hosts of each fleet.
const SIZE: usize = 6;

/// Number of new ids sent after the fault, one every 20 ms, to the nodes in turn.
const CALLS: usize = 1_000;

fn restart(host: usize) -> Op {
    Op::Restart {
        host,
        clock_error_ms: 0,
    }
}

fn faults() -> Vec<(&'static str, Vec<Op>)> {
    let pause = Op::Pause { host: 0, ms: 3_000 };
    let half = vec![Op::Split { mask: 0b0000_0111 }];
    let minority = vec![Op::Split { mask: 0b0000_0011 }];
    let one_way = vec![Op::Cut { from: 0, to: 1 }];
    let no_platform = (0..SIZE).map(|host| Op::NoPlatform { host, on: true });
    let dropped = Op::Publish {
        host: 0,
        state: None,
    };
    let leaving = Op::Publish {
        host: 0,
        state: Some(HostState::Leaving),
    };
    let network = Op::Network {
        loss_percent: 10,
        duplicate_percent: 10,
        delay_ms: 100,
    };
    vec![
        ("no fault", vec![]),
        ("one host killed and started", vec![restart(0)]),
        ("one host paused for 3 s", vec![pause]),
        (
            "all hosts killed and started",
            (0..SIZE).map(restart).collect(),
        ),
        ("two of six cut off", minority),
        ("halves", half),
        ("one direction between two hosts cut", one_way),
        ("platform down", no_platform.collect()),
        ("one host leaving", vec![leaving]),
        ("one host dropped from the list", vec![dropped]),
        ("10 % loss and duplication, 100 ms delay", vec![network]),
    ]
}

#[test]
fn shares_of_outcomes_by_fault() {
    for (name, ops) in faults() {
        let mut fleet = Fleet::new(SIZE, 7);
        fleet.set_service_faults(false);
        fleet.run_for(Duration::from_secs(10));
        for op in &ops {
            fleet.apply(op);
        }
        for index in 0..CALLS {
            fleet.apply(&Op::Call {
                host: index,
                v7: true,
            });
            fleet.run_for(Duration::from_millis(20));
        }
        fleet.run_for(Duration::from_secs(5));
        let tally = fleet.tally();
        println!("{name}: {tally:?}");
        if ops.is_empty() {
            assert_eq!(tally.completed, CALLS as u64, "{tally:?}");
        }
    }
}
