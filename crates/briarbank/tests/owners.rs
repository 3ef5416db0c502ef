//! Request ids run at most once while their owners are killed or frozen.

mod fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use fleet::{Call, Caller, Fleet, POLL, Size};
use http::StatusCode;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const SIZE: Size = Size {
    nodes: 3,
    engines: 0,
    services: 1,
    token_us: 500,
    call_us: 30_000,
};

/// Concurrent callers.
const CALLERS: usize = 12;

/// Attempts per id.
const ATTEMPTS: usize = 3;

/// Time that a caller waits for an answer before it retries the id.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Longer than a lease and the promises of its committee.
const LONGER_THAN_LEASE: Duration = Duration::from_secs(7);

/// Outcomes of all attempts of one id.
#[derive(Clone, Debug, PartialEq, Eq)]
struct SlipOutcomes {
    id: String,
    outcomes: Vec<Option<String>>,
}

impl SlipOutcomes {
    fn has(&self, outcome: &str) -> bool {
        self.outcomes.iter().any(|o| o.as_deref() == Some(outcome))
    }
}

/// Sends one id through the nodes in turn until it completed or did not run.
///
/// Gives up after [`ATTEMPTS`] attempts.
async fn book_slip(callers: &[Caller], first: usize) -> SlipOutcomes {
    let mut call = Call::slip();
    let mut slip = SlipOutcomes {
        id: call.id().to_owned(),
        outcomes: Vec::new(),
    };
    for attempt in 0..ATTEMPTS {
        let caller = &callers[(first + attempt) % callers.len()];
        let answer = timeout(ANSWER_TIMEOUT, caller.send(&call))
            .await
            .ok()
            .flatten();
        let outcome = answer.as_ref().and_then(|a| a.outcome.clone());
        if let Some(answer) = &answer {
            let is_completed = outcome.as_deref() == Some("completed");
            if is_completed && answer.status == StatusCode::OK {
                assert_eq!(answer.json()["request_id"], call.id(), "{}", answer.text);
            }
        }
        let is_final = matches!(outcome.as_deref(), Some("completed" | "not-run"));
        slip.outcomes.push(outcome);
        if is_final {
            break;
        }
        call = call.retry();
        sleep(POLL).await;
    }
    slip
}

async fn book_until_stopped(
    callers: Arc<Vec<Caller>>,
    first: usize,
    stopped: Arc<AtomicBool>,
) -> Vec<SlipOutcomes> {
    let mut all = Vec::new();
    for number in 0.. {
        if stopped.load(Ordering::Relaxed) {
            break;
        }
        all.push(book_slip(&callers, first + number).await);
    }
    all
}

/// Callers of all nodes that run until the check.
struct BookingLoad {
    stopped: Arc<AtomicBool>,
    tasks: JoinSet<Vec<SlipOutcomes>>,
}

impl BookingLoad {
    fn start(fleet: &Fleet) -> Self {
        let callers = Arc::new((0..SIZE.nodes).map(|n| fleet.caller(n)).collect::<Vec<_>>());
        let stopped = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for first in 0..CALLERS {
            tasks.spawn(book_until_stopped(
                Arc::clone(&callers),
                first,
                Arc::clone(&stopped),
            ));
        }
        Self { stopped, tasks }
    }

    /// Stops the callers and compares each id with the runs that the service counted.
    async fn check(self, fleet: &Fleet) {
        self.stopped.store(true, Ordering::Relaxed);
        let all: Vec<SlipOutcomes> = self.tasks.join_all().await.into_iter().flatten().collect();
        let count = |outcome: &str| all.iter().filter(|t| t.has(outcome)).count();
        println!(
            "{} ids: {} completed, {} not run, {} unknown at some try",
            all.len(),
            count("completed"),
            count("not-run"),
            count("unknown"),
        );
        assert!(count("completed") > 0, "nothing was served");
        let all_runs = fleet.all_runs().await;
        for slip in &all {
            let runs = all_runs.get(&slip.id).copied().unwrap_or(0);
            assert!(runs <= 1, "{slip:?} ran {runs} times");
            assert!(!slip.has("not-run") || runs == 0, "{slip:?} ran");
            assert!(!slip.has("completed") || runs == 1, "{slip:?} did not run");
        }
    }
}

#[tokio::test]
async fn runs_ids_at_most_once_while_nodes_are_killed() {
    let mut fleet = Fleet::start(SIZE).await;
    let load = BookingLoad::start(&fleet);
    for index in 0..SIZE.nodes {
        sleep(Duration::from_millis(700)).await;
        fleet.nodes[index].kill();
        fleet.start_node(index);
        fleet.nodes[index].wait_ready().await;
        fleet.nodes[index].wait_owning().await;
    }
    load.check(&fleet).await;
}

#[tokio::test]
async fn runs_ids_at_most_once_while_nodes_are_frozen() {
    let fleet = Fleet::start(SIZE).await;
    let load = BookingLoad::start(&fleet);
    for index in 0..SIZE.nodes {
        sleep(Duration::from_millis(700)).await;
        fleet.nodes[index].signal("STOP");
        sleep(LONGER_THAN_LEASE).await;
        fleet.nodes[index].signal("CONT");
    }
    sleep(Duration::from_secs(2)).await;
    load.check(&fleet).await;
}

#[tokio::test]
async fn starts_from_its_peers_while_the_platform_is_down() {
    let mut fleet = Fleet::start(SIZE).await;
    fleet
        .platform
        .post("/control", &json!({"down": true}))
        .await;
    fleet.nodes[1].kill();
    fleet.start_node(1);
    fleet.nodes[1].wait_ready().await;
    fleet.nodes[1].wait_owning().await;
    let load = BookingLoad::start(&fleet);
    sleep(Duration::from_secs(6)).await;
    load.check(&fleet).await;
}
