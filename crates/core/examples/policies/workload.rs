//! Scenarios, classes and random call sizes.

use briarbank_core::catalog::{
    Catalog, Fleet, Profile, Server, ServerState, Target, TargetKind, Workspace,
};
use briarbank_core::ids::Revision;
use rand::Rng;
use rand::rngs::SmallRng;

pub(crate) const DURATION_MS: u64 = 120_000;
pub(crate) const SERVER_COUNT: usize = 12;
pub(crate) const SLOTS: u32 = 8;
pub(crate) const FIRST_TOKEN_US: u64 = 100_000;
pub(crate) const BETWEEN_TOKENS_US: u64 = 20_000;
pub(crate) const WORKSPACE_COUNT: usize = 10;
pub(crate) const LOWEST: usize = 2;
pub(crate) const LOWEST_SHARE: f64 = 0.1;
const STEADY_RATIO: f64 = 0.6;
const BURST_FACTOR: f64 = 3.0;
/// Fraction of the calls that come from the two large workspaces.
const LARGE_RATIO: f64 = 0.5;

/// A class of calls: its share of the steady load, its lengths and its objective.
pub(crate) struct ClassPlan {
    pub(crate) name: &'static str,
    tier: u8,
    work_ratio: f64,
    median_tokens: f64,
    pub(crate) max_tokens: u32,
    pub(crate) whole_ms: u64,
    share_ratio: f64,
}

pub(crate) const CLASSES: [ClassPlan; 3] = [
    ClassPlan {
        name: "lists",
        tier: 0,
        work_ratio: 0.25,
        median_tokens: 80.0,
        max_tokens: 400,
        whole_ms: 10_000,
        share_ratio: 0.3,
    },
    ClassPlan {
        name: "answers",
        tier: 2,
        work_ratio: 0.35,
        median_tokens: 150.0,
        max_tokens: 600,
        whole_ms: 15_000,
        share_ratio: 0.2,
    },
    ClassPlan {
        name: "drafts",
        tier: 5,
        work_ratio: 0.4,
        median_tokens: 250.0,
        max_tokens: 1_200,
        whole_ms: 30_000,
        share_ratio: LOWEST_SHARE,
    },
];

/// Interval of a run, in milliseconds.
#[derive(Clone, Copy)]
pub(crate) struct Span(pub(crate) u64, pub(crate) u64);

/// Load and faults of a run.
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) nodes: usize,
    /// Class whose burst raises the total load to three times the steady one.
    burst: Option<(usize, Span)>,
    /// Interval in which two of twelve servers run at a fifth of their speed.
    pub(crate) stragglers: Option<Span>,
    /// Times at which one server after another crashes.
    pub(crate) crashes_ms: &'static [u64],
    pub(crate) report_lag_ms: u64,
    heavy_tail: bool,
}

const STEADY: Scenario = Scenario {
    name: "steady 60 %",
    nodes: 6,
    burst: None,
    stragglers: None,
    crashes_ms: &[],
    report_lag_ms: 200,
    heavy_tail: false,
};
pub(crate) const BURST: Span = Span(30_000, 90_000);

pub(crate) const SCENARIOS: [Scenario; 9] = [
    STEADY,
    Scenario {
        name: "burst of drafts",
        burst: Some((LOWEST, BURST)),
        ..STEADY
    },
    Scenario {
        name: "burst of answers",
        burst: Some((1, BURST)),
        ..STEADY
    },
    Scenario {
        name: "stragglers",
        stragglers: Some(Span(20_000, 100_000)),
        ..STEADY
    },
    Scenario {
        name: "engine crashes",
        crashes_ms: &[30_000, 60_000, 90_000],
        ..STEADY
    },
    Scenario {
        name: "reports 2 s late",
        report_lag_ms: 2_000,
        ..STEADY
    },
    Scenario {
        name: "8 nodes",
        nodes: 8,
        ..STEADY
    },
    Scenario {
        name: "heavy tail",
        heavy_tail: true,
        ..STEADY
    },
    Scenario {
        name: "heavy tail, burst",
        heavy_tail: true,
        burst: Some((LOWEST, BURST)),
        ..STEADY
    },
];

/// A call to be simulated.
pub(crate) struct Arrival {
    pub(crate) at_us: u64,
    pub(crate) class: usize,
    pub(crate) workspace: usize,
    pub(crate) tokens: u32,
    pub(crate) prefix_key: u64,
}

impl Scenario {
    /// Returns all calls of a run, by time.
    pub(crate) fn arrivals(&self, rng: &mut SmallRng) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        for (class, plan) in CLASSES.iter().enumerate() {
            let steady = self.rate_per_s(class, STEADY_RATIO * plan.work_ratio, rng);
            let burst = self.rate_per_s(class, STEADY_RATIO * (BURST_FACTOR - 1.0), rng);
            let mut at_s = 0.0;
            while at_s * 1e3 < DURATION_MS as f64 {
                let rate = if self.is_bursting(class, at_s) {
                    steady + burst
                } else {
                    steady
                };
                at_s += -(1.0 - rng.random::<f64>()).ln() / rate;
                arrivals.push(self.draw_arrival((at_s * 1e6) as u64, class, rng));
            }
        }
        arrivals.sort_by_key(|a| a.at_us);
        arrivals
    }

    fn is_bursting(&self, class: usize, at_s: f64) -> bool {
        let time_ms = (at_s * 1e3) as u64;
        self.burst
            .is_some_and(|(c, Span(from, to))| c == class && (from..to).contains(&time_ms))
    }

    /// Returns the calls per second that keep a fraction of all slots busy.
    fn rate_per_s(&self, class: usize, slots_ratio: f64, rng: &mut SmallRng) -> f64 {
        const SAMPLES: u32 = 2_000;
        let sum: u64 = (0..SAMPLES)
            .map(|_| u64::from(self.draw_tokens(class, rng)))
            .sum();
        let mean = sum as f64 / f64::from(SAMPLES);
        let service_us = FIRST_TOKEN_US as f64 + mean * BETWEEN_TOKENS_US as f64;
        let slots = f64::from(SERVER_COUNT as u32 * SLOTS);
        slots * slots_ratio / (service_us / 1e6)
    }

    fn draw_arrival(&self, at_us: u64, class: usize, rng: &mut SmallRng) -> Arrival {
        let workspace = if rng.random_bool(LARGE_RATIO) {
            rng.random_range(0..2)
        } else {
            rng.random_range(2..WORKSPACE_COUNT)
        };
        Arrival {
            at_us,
            class,
            workspace,
            tokens: self.draw_tokens(class, rng),
            prefix_key: rng.random_range(1..200),
        }
    }

    /// Draws the length of an answer: log-normal, or Pareto with the same median.
    fn draw_tokens(&self, class: usize, rng: &mut SmallRng) -> u32 {
        let plan = &CLASSES[class];
        let factor = if self.heavy_tail {
            const EXPONENT: f64 = 1.2;
            (2.0 * (1.0 - rng.random::<f64>())).powf(-1.0 / EXPONENT)
        } else {
            let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
            (0.5 * normal).exp()
        };
        ((plan.median_tokens * factor) as u32).clamp(1, plan.max_tokens)
    }
}

pub(crate) fn server_name(index: usize) -> String {
    format!("s{index:02}")
}

pub(crate) fn workspace_name(index: usize) -> String {
    format!("w{index}")
}

pub(crate) fn catalog() -> Catalog {
    let profile = |plan: &ClassPlan| Profile {
        name: plan.name.into(),
        tier: plan.tier,
        idempotent: true,
        first_token_ms: 1_000,
        between_tokens_ms: 50,
        whole_ms: plan.whole_ms,
        share_ratio: plan.share_ratio,
        queue_limit: 500,
    };
    let workspace = |index| Workspace {
        name: workspace_name(index).as_str().into(),
        weight: 1.0,
        in_flight_limit: 10_000,
    };
    Catalog {
        revision: Revision(1),
        profiles: CLASSES.iter().map(profile).collect(),
        workspaces: (0..WORKSPACE_COUNT).map(workspace).collect(),
        targets: vec![Target {
            name: "model".into(),
            kind: TargetKind::Model,
        }],
        retired_hosts_revision: Revision(0),
    }
}

pub(crate) fn fleet() -> Fleet {
    let server = |index| Server {
        name: server_name(index).as_str().into(),
        zone: "recife".into(),
        address: ([127, 0, 0, 1], 1).into(),
        targets: vec!["model".into()],
        slots: SLOTS,
        version: "".into(),
        checks_fencing: false,
        state: ServerState::Live,
    };
    Fleet {
        revision: Revision(1),
        servers: (0..SERVER_COUNT).map(server).collect(),
    }
}
