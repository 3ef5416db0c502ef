//! Ids that may not be repeated, while owners are killed and frozen.

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

/// Callers that run at once.
const CALLERS: usize = 12;

/// Tries of one id.
const TRIES: usize = 3;

/// How long a caller waits before it repeats an id.
const PATIENCE: Duration = Duration::from_secs(2);

/// Longer than a lease and what its committee is bound to.
const LONGER_THAN_LEASE: Duration = Duration::from_secs(7);

/// The last that a caller was told of an id.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Told {
    id: String,
    outcomes: Vec<Option<String>>,
}

impl Told {
    fn has(&self, outcome: &str) -> bool {
        self.outcomes.iter().any(|o| o.as_deref() == Some(outcome))
    }
}

/// Sends one id through one node after another, until it is completed or not run.
async fn book(callers: &[Caller], first: usize) -> Told {
    let mut call = Call::slip();
    let mut told = Told {
        id: call.id().to_owned(),
        outcomes: Vec::new(),
    };
    for turn in 0..TRIES {
        let caller = &callers[(first + turn) % callers.len()];
        let answer = timeout(PATIENCE, caller.send(&call)).await.ok().flatten();
        let outcome = answer.as_ref().and_then(|a| a.outcome.clone());
        if let Some(answer) = &answer {
            let is_completed = outcome.as_deref() == Some("completed");
            if is_completed && answer.status == StatusCode::OK {
                assert_eq!(answer.json()["request_id"], call.id(), "{}", answer.text);
            }
        }
        let is_final = matches!(outcome.as_deref(), Some("completed" | "not-run"));
        told.outcomes.push(outcome);
        if is_final {
            break;
        }
        call = call.again();
        sleep(POLL).await;
    }
    told
}

async fn book_forever(
    callers: Arc<Vec<Caller>>,
    first: usize,
    ended: Arc<AtomicBool>,
) -> Vec<Told> {
    let mut all = Vec::new();
    for number in 0.. {
        if ended.load(Ordering::Relaxed) {
            break;
        }
        all.push(book(&callers, first + number).await);
    }
    all
}

/// Callers of all nodes that run until told to end.
struct Storm {
    ended: Arc<AtomicBool>,
    tasks: JoinSet<Vec<Told>>,
}

impl Storm {
    fn start(fleet: &Fleet) -> Self {
        let callers = Arc::new((0..SIZE.nodes).map(|n| fleet.caller(n)).collect::<Vec<_>>());
        let ended = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        for first in 0..CALLERS {
            tasks.spawn(book_forever(
                Arc::clone(&callers),
                first,
                Arc::clone(&ended),
            ));
        }
        Self { ended, tasks }
    }

    /// Ends the callers and checks each id against the service's own count.
    async fn check(self, fleet: &Fleet) {
        self.ended.store(true, Ordering::Relaxed);
        let all: Vec<Told> = self.tasks.join_all().await.into_iter().flatten().collect();
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
        for told in &all {
            let runs = all_runs.get(&told.id).copied().unwrap_or(0);
            assert!(runs <= 1, "{told:?} ran {runs} times");
            assert!(!told.has("not-run") || runs == 0, "{told:?} ran");
            assert!(!told.has("completed") || runs == 1, "{told:?} did not run");
        }
    }
}

#[tokio::test]
async fn runs_ids_at_most_once_while_nodes_are_killed() {
    let mut fleet = Fleet::start(SIZE).await;
    let storm = Storm::start(&fleet);
    for index in 0..SIZE.nodes {
        sleep(Duration::from_millis(700)).await;
        fleet.nodes[index].kill();
        fleet.start_node(index);
        fleet.nodes[index].ready().await;
        fleet.nodes[index].owning().await;
    }
    storm.check(&fleet).await;
}

#[tokio::test]
async fn runs_ids_at_most_once_while_nodes_are_frozen() {
    let fleet = Fleet::start(SIZE).await;
    let storm = Storm::start(&fleet);
    for index in 0..SIZE.nodes {
        sleep(Duration::from_millis(700)).await;
        fleet.nodes[index].signal("STOP");
        sleep(LONGER_THAN_LEASE).await;
        fleet.nodes[index].signal("CONT");
    }
    sleep(Duration::from_secs(2)).await;
    storm.check(&fleet).await;
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
    fleet.nodes[1].ready().await;
    fleet.nodes[1].owning().await;
    let storm = Storm::start(&fleet);
    sleep(Duration::from_secs(6)).await;
    storm.check(&fleet).await;
}
