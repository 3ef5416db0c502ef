//! Calls that whole fleets send to a cold server while nodes fail, start and lose touch.

use std::time::{Duration, Instant};

use briarbank_core::flow::{ColdShare, ColdStanding, Dispatcher, Refusal};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::cold_servers::{cold_dispatcher, cold_server, most_per_second};
use crate::fleet::plain_call;

/// Interval at which nodes recompute their shares.
const HEARTBEAT_MS: u64 = 80;

/// Simulated time of a case.
const DURATION_MS: u64 = 16_000;

/// Time at which a fleet that starts has settled.
const SETTLED_MS: u64 = 5_000;

/// Time without news of a node after which others take it for failed.
const FAILURE_TIMEOUT_MS: u64 = 2_500;

/// Time for which a node remembers the largest number of nodes that it saw.
const PEAK_TTL_MS: u64 = 10_000;

/// Time that a node takes to send a call, in microseconds.
const SEND_TIME_US: u64 = 1_000;

/// Most slots of the rates in use.
const SLOTS: usize = 17;

/// Time at which a pair of nodes is out of touch for good.
const NEVER: u64 = u64::MAX;

/// What happens to a fleet at a time.
#[derive(Clone, Debug)]
enum Fault {
    /// Two halves lose touch with each other; an earlier partition ends.
    Halves,
    /// That many nodes lose touch with all others; an earlier partition ends.
    Isolated(usize),
    Healed,
    /// 35 % of the nodes end without a word.
    Killed,
    /// Some nodes announce that they stop.
    Left(usize),
    /// All nodes that are down start.
    Started,
}

/// What one node knows of another one.
#[derive(Clone, Copy, Debug)]
struct Belief {
    seen_from: u64,
    seen_until: u64,
}

/// A node as far as its share in one cold server goes.
struct Node {
    started_at: u64,
    is_up: bool,
    side: usize,
    beliefs: Vec<Belief>,
    peak: (usize, u64),
    nodes_max: usize,
    /// Live nodes, and slots that the node is the first of, as last counted.
    counted: (usize, u32),
    /// Time at which they may change.
    counted_until: u64,
    /// Set while the node may send.
    dispatcher: Option<Dispatcher>,
    next_try: u64,
}

/// Fleet with one cold server.
struct Model {
    origin: Instant,
    nodes: Vec<Node>,
    /// Largest time until a change is known to a node that is in touch.
    gossip_ms_max: u64,
    per_s: f64,
    /// For each node and each other one, the slots in whose order the other one precedes it.
    preceded: Vec<Vec<u32>>,
    /// Times in microseconds.
    sends: Vec<u64>,
    rng: SmallRng,
}

impl Model {
    fn new(nodes: usize, per_s: f64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let weights: Vec<[u32; SLOTS]> = (0..nodes).map(|_| rng.random()).collect();
        let slots_before = |own: &[u32; SLOTS], other: &[u32; SLOTS]| {
            let slots = (0..SLOTS).filter(|slot| other[*slot] > own[*slot]);
            slots.fold(0, |slots, slot| slots | 1 << slot)
        };
        let preceded = weights.iter().map(|own| {
            let others = weights.iter();
            others.map(|other| slots_before(own, other)).collect()
        });
        let preceded = preceded.collect();
        let node = |_| Node {
            started_at: 0,
            is_up: true,
            side: 0,
            beliefs: vec![
                Belief {
                    seen_from: NEVER,
                    seen_until: 0
                };
                nodes
            ],
            peak: (1, 0),
            nodes_max: 1,
            counted: (1, 0),
            counted_until: 0,
            dispatcher: None,
            next_try: 0,
        };
        let mut model = Self {
            origin: Instant::now(),
            nodes: (0..nodes).map(node).collect(),
            gossip_ms_max: if nodes <= 9 { 160 } else { 1_000 },
            per_s,
            preceded,
            sends: Vec::new(),
            rng,
        };
        model.update_beliefs(0, &vec![false; nodes]);
        model
    }

    fn delay(&mut self) -> u64 {
        self.rng.random_range(0..=self.gossip_ms_max)
    }

    /// Updates what nodes will know of each other after a change; `left` have said so.
    fn update_beliefs(&mut self, now: u64, left: &[bool]) {
        let count = self.nodes.len();
        for observer in 0..count {
            for subject in (0..count).filter(|s| *s != observer) {
                let delay = self.delay();
                let [o, s] = [observer, subject].map(|n| &self.nodes[n]);
                let is_in_touch = o.is_up && s.is_up && o.side == s.side;
                let mut belief = o.beliefs[subject];
                if is_in_touch {
                    // News of a node that is still seen keep it alive.
                    if belief.seen_from == NEVER || belief.seen_until <= now {
                        belief.seen_from = now + delay;
                    }
                    belief.seen_until = NEVER;
                } else if belief.seen_until == NEVER {
                    let is_told = left[subject] && o.side == s.side;
                    let timeout = FAILURE_TIMEOUT_MS - self.gossip_ms_max / 2;
                    belief.seen_until = now + delay + if is_told { 0 } else { timeout };
                }
                self.nodes[observer].beliefs[subject] = belief;
            }
            self.nodes[observer].counted_until = now;
        }
    }

    fn apply(&mut self, now: u64, fault: &Fault) {
        let count = self.nodes.len();
        let mut left = vec![false; count];
        match fault {
            Fault::Halves | Fault::Healed => {
                let order = self.shuffled();
                for (position, index) in order.into_iter().enumerate() {
                    let is_second = matches!(fault, Fault::Halves) && position >= count / 2;
                    self.nodes[index].side = usize::from(is_second);
                }
            }
            Fault::Isolated(isolated) => {
                for (position, index) in self.shuffled().into_iter().enumerate() {
                    self.nodes[index].side = if position < *isolated {
                        position + 2
                    } else {
                        0
                    };
                }
            }
            Fault::Killed => {
                let up: Vec<usize> = self.up_nodes();
                for index in up.iter().take(up.len() * 35 / 100) {
                    self.end(*index);
                }
            }
            Fault::Left(leaving) => {
                for index in self.up_nodes().into_iter().take(*leaving) {
                    left[index] = true;
                    self.end(index);
                }
            }
            Fault::Started => {
                for node in self.nodes.iter_mut().filter(|n| !n.is_up) {
                    node.is_up = true;
                    node.started_at = now;
                    node.peak = (1, now);
                    node.nodes_max = 1;
                    node.beliefs.fill(Belief {
                        seen_from: NEVER,
                        seen_until: 0,
                    });
                }
            }
        }
        self.update_beliefs(now, &left);
    }

    fn end(&mut self, index: usize) {
        self.nodes[index].is_up = false;
        self.nodes[index].dispatcher = None;
    }

    fn shuffled(&mut self) -> Vec<usize> {
        let mut order: Vec<(u32, usize)> = (0..self.nodes.len())
            .map(|index| (self.rng.random(), index))
            .collect();
        order.sort_unstable();
        order.into_iter().map(|(_, index)| index).collect()
    }

    fn up_nodes(&mut self) -> Vec<usize> {
        let order = self.shuffled();
        order.into_iter().filter(|i| self.nodes[*i].is_up).collect()
    }

    /// Lets all nodes recompute their shares, and send what they may until the next time.
    fn beat(&mut self, now: u64, wants: bool) {
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_up {
                continue;
            }
            let share = self.nodes[index].share(now, &self.preceded[index], self.per_s);
            let node = &mut self.nodes[index];
            let at = self.origin + Duration::from_millis(now);
            if share.slots > 0 || node.dispatcher.is_some() {
                let dispatcher = node.dispatcher.get_or_insert_with(|| {
                    node.next_try = 0;
                    cold_server(cold_dispatcher(self.per_s), at)
                });
                let server = dispatcher.cold_servers(at).first().map(|s| s.server_key);
                let shares = server.map(|key| (key, share)).into_iter().collect();
                dispatcher.set_cold_shares(at, &shares);
            }
            if share.slots == 0 {
                node.dispatcher = None;
            } else if wants {
                node.send(self.origin, now, &mut self.sends);
            }
        }
    }
}

impl Node {
    fn share(&mut self, now: u64, preceded: &[u32], per_s: f64) -> ColdShare {
        if now >= self.counted_until {
            self.count(now, preceded);
        }
        let (live_nodes, first_of) = self.counted;
        if live_nodes >= self.peak.0 || now - self.peak.1 > PEAK_TTL_MS {
            self.peak = (live_nodes, now);
        }
        self.nodes_max = self.nodes_max.max(live_nodes);
        let standing = ColdStanding {
            live_nodes,
            sharing_nodes: self.peak.0,
            nodes_max: self.nodes_max,
            uptime: Duration::from_millis(now - self.started_at),
            has_other_seeds: true,
            is_leaving: false,
        };
        standing.share(per_s, bound(per_s), |slot| first_of >> slot & 1 == 1)
    }

    fn count(&mut self, now: u64, preceded: &[u32]) {
        let (mut live, mut first_of) = (1, u32::MAX);
        self.counted_until = NEVER;
        for (belief, preceded) in self.beliefs.iter().zip(preceded) {
            if belief.seen_from <= now && now < belief.seen_until {
                live += 1;
                first_of &= !preceded;
            }
            for change in [belief.seen_from, belief.seen_until] {
                if change > now {
                    self.counted_until = self.counted_until.min(change);
                }
            }
        }
        self.counted = (live, first_of);
    }

    /// Sends calls as soon as they may be sent, until the next heartbeat.
    fn send(&mut self, origin: Instant, now: u64, sends: &mut Vec<u64>) {
        let Some(dispatcher) = &mut self.dispatcher else {
            return;
        };
        let mut at = self.next_try.max(now * 1_000);
        while at < (now + HEARTBEAT_MS) * 1_000 {
            let time = origin + Duration::from_micros(at);
            match dispatcher.dispatch(time, &plain_call(), &[]) {
                Ok(placement) => {
                    dispatcher.record_success(time, placement.attempt);
                    sends.push(at);
                    at += SEND_TIME_US;
                }
                Err(Refusal::Busy { wait, .. }) => {
                    at += (wait.as_micros() as u64 + 1).max(SEND_TIME_US);
                }
                Err(refusal) => panic!("{refusal:?}"),
            }
        }
        self.next_try = at;
    }
}

fn bound(per_s: f64) -> f64 {
    per_s * 1.5 + 5.0
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::Halves),
        2 => (1..40_usize).prop_map(Fault::Isolated),
        1 => Just(Fault::Healed),
        2 => Just(Fault::Killed),
        1 => (1..10_usize).prop_map(Fault::Left),
        2 => Just(Fault::Started),
    ]
}

fn faults() -> impl Strategy<Value = Vec<(u64, Fault)>> {
    prop::collection::vec((0..DURATION_MS - 3_000, fault()), 0..6).prop_map(|mut faults| {
        faults.sort_by_key(|(at, _)| *at);
        faults
    })
}

/// Returns the times of all sends, in microseconds.
///
/// Without `pauses` the nodes want to send all the time, else in bursts.
fn run(nodes: usize, per_s: f64, faults: &[(u64, Fault)], pauses: bool, seed: u64) -> Vec<u64> {
    let mut model = Model::new(nodes, per_s, seed);
    let mut faults = faults.iter().peekable();
    let mut wants = true;
    let mut now = 0;
    while now < DURATION_MS {
        while let Some((_, fault)) = faults.next_if(|(at, _)| *at <= now) {
            model.apply(now, fault);
        }
        if pauses && model.rng.random_ratio(1, 10) {
            wants = !wants;
        }
        model.beat(now, wants);
        now += HEARTBEAT_MS;
    }
    model.sends.sort_unstable();
    model.sends
}

/// Checks one case: the bound holds, and without faults most of the rate is used.
fn check(
    nodes: usize,
    per_s: f64,
    faults: &[(u64, Fault)],
    pauses: bool,
    seed: u64,
) -> Result<(), TestCaseError> {
    let sends = run(nodes, per_s, faults, pauses, seed);
    let times: Vec<Duration> = sends.iter().map(|at| Duration::from_micros(*at)).collect();
    let most = most_per_second(&times);
    prop_assert!(
        most as f64 <= bound(per_s),
        "{most} calls in a second, {} allowed",
        bound(per_s)
    );
    if faults.is_empty() && !pauses {
        let calls = sends.iter().filter(|at| **at >= SETTLED_MS * 1_000).count();
        let seconds = (DURATION_MS - SETTLED_MS) as f64 / 1_000.0;
        let used = calls as f64 / per_s / seconds;
        prop_assert!(used >= 0.7, "{used} of the rate used");
    }
    Ok(())
}

fn rate() -> impl Strategy<Value = f64> {
    prop::sample::select(vec![2.0, 8.2, 14.0, 20.3])
}

fn cases(count: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(2_902),
        failure_persistence: None,
        ..ProptestConfig::with_cases(count)
    }
}

// 10,000 cases in all; large fleets take longer.

proptest! {
    #![proptest_config(cases(5_000))]

    /// Guards against fleets of 8 nodes that crash a cold server while nodes fail.
    #[test]
    fn cold_servers_are_safe_from_8_nodes(
        per_s in rate(), faults in faults(), pauses in any::<bool>(), seed in any::<u64>(),
    ) {
        check(8, per_s, &faults, pauses, seed)?;
    }
}

proptest! {
    #![proptest_config(cases(4_000))]

    /// Guards against fleets of 61 nodes that crash a cold server while nodes fail.
    #[test]
    fn cold_servers_are_safe_from_61_nodes(
        per_s in rate(), faults in faults(), pauses in any::<bool>(), seed in any::<u64>(),
    ) {
        check(61, per_s, &faults, pauses, seed)?;
    }
}

proptest! {
    #![proptest_config(cases(1_000))]

    /// Guards against fleets of 195 nodes that crash a cold server while nodes fail.
    #[test]
    fn cold_servers_are_safe_from_195_nodes(
        per_s in rate(), faults in faults(), pauses in any::<bool>(), seed in any::<u64>(),
    ) {
        check(195, per_s, &faults, pauses, seed)?;
    }
}
