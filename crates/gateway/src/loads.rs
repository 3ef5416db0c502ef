//! Exchange of exact loads with the homes of servers, over the peer port.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{Call, LoadMessage, LoadReport, ServerLoad};
use briarbank_core::ids::ServerName;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::codec;
use crate::datagram;
use crate::shared::SharedState;

/// Time for the answers to a query, some round trips between availability zones.
///
/// Then the node decides by what it knows from heartbeats.
const QUERY_TIMEOUT: Duration = Duration::from_millis(8);

/// Most servers that a query may name.
const QUERY_SERVERS_MAX: usize = 64;

/// Queries in flight, by their number.
#[derive(Debug, Default)]
pub(crate) struct Queries {
    next_id: u32,
    waiting: HashMap<u32, Waiting>,
}

/// A query that waits for answers until dropped, also when its caller leaves.
struct PendingQuery<'a> {
    shared: &'a SharedState,
    id: u32,
}

impl Drop for PendingQuery<'_> {
    fn drop(&mut self) {
        let mut queries = self.shared.queries.borrow_mut();
        queries.waiting.remove(&self.id);
    }
}

#[derive(Debug)]
struct Waiting {
    answers_left: usize,
    answered: Rc<Notify>,
}

/// Returns the load message in a datagram, `None` for other datagrams.
pub(crate) fn strip_prefix(datagram: &[u8]) -> Option<&[u8]> {
    datagram.strip_prefix(&LoadMessage::PREFIX)
}

/// Reports the loads that changed since the last report.
pub(crate) fn report_changes(shared: &SharedState) {
    let now = Instant::now();
    let changed = shared.dispatcher.borrow_mut().take_changed_loads(now);
    report(shared, now, &changed);
}

/// Reports loads to the homes of the servers.
pub(crate) fn report(shared: &SharedState, now: Instant, loads: &[ServerLoad]) {
    if loads.is_empty() || !shared.peers.borrow().has_homes() {
        return;
    }
    for (home, loads) in by_home(shared, now, loads.iter().copied(), |load| load.server_key) {
        let sequence = shared.next_report();
        let local = shared.peers.borrow().local();
        let report = LoadReport {
            sender: local.address,
            incarnation: local.incarnation,
            sequence,
            loads,
        };
        if home == local.address {
            shared.directory.borrow_mut().record(now, &report);
        } else {
            send(shared, home, &LoadMessage::Report(report));
        }
    }
}

/// Asks the homes of the servers that a call is likely to go to for their loads.
///
/// Returns when all have answered, or after a short time.
pub(crate) async fn query(shared: &SharedState, call: &Call, tried: &[ServerName]) {
    if call.prompt.is_none() || !shared.peers.borrow().has_homes() {
        return;
    }
    let now = Instant::now();
    let servers = shared
        .dispatcher
        .borrow()
        .preferred_servers(now, call, tried);
    let mut homes = by_home(shared, now, servers.into_iter(), |server| *server);
    let local = shared.peers.borrow().local().address;
    if let Some(servers) = homes.remove(&local) {
        let loads = known_loads(shared, now, local, &servers);
        let mut dispatcher = shared.dispatcher.borrow_mut();
        dispatcher.set_exact_loads(now, &loads);
    }
    if homes.is_empty() {
        return;
    }
    let (id, answered) = shared.queries.borrow_mut().start(homes.len());
    let _pending = PendingQuery { shared, id };
    for (home, servers) in homes {
        let sender = local;
        send(
            shared,
            home,
            &LoadMessage::Query {
                sender,
                id,
                servers,
            },
        );
    }
    if timeout(QUERY_TIMEOUT, answered.notified()).await.is_err() {
        metrics::counter!("briarbank_load_queries_unanswered_total").increment(1);
    }
}

/// Handles a load message of another node.
pub(crate) fn receive(shared: &SharedState, bytes: &[u8]) {
    let decoded = codec::decode_message::<LoadMessage>(bytes);
    let now = Instant::now();
    match decoded {
        Ok(LoadMessage::Report(report)) => {
            shared.directory.borrow_mut().record(now, &report);
        }
        Ok(LoadMessage::Query {
            sender,
            id,
            mut servers,
        }) => {
            servers.truncate(QUERY_SERVERS_MAX);
            let loads = known_loads(shared, now, sender, &servers);
            send(shared, sender, &LoadMessage::Answer { id, loads });
        }
        Ok(LoadMessage::Answer { id, loads }) => {
            if shared.queries.borrow_mut().record_answer(id) {
                let mut dispatcher = shared.dispatcher.borrow_mut();
                dispatcher.set_exact_loads(now, &loads);
            }
        }
        Err(error) => tracing::debug!(%error, "peer: decoding a load message failed"),
    }
}

impl Queries {
    fn start(&mut self, answers: usize) -> (u32, Rc<Notify>) {
        self.next_id = self.next_id.wrapping_add(1);
        let answered = Rc::new(Notify::new());
        let waiting = Waiting {
            answers_left: answers,
            answered: Rc::clone(&answered),
        };
        self.waiting.insert(self.next_id, waiting);
        (self.next_id, answered)
    }

    /// Records an answer; returns whether its query is still waiting.
    fn record_answer(&mut self, id: u32) -> bool {
        let Some(waiting) = self.waiting.get_mut(&id) else {
            return false;
        };
        waiting.answers_left = waiting.answers_left.saturating_sub(1);
        if waiting.answers_left == 0 {
            waiting.answered.notify_one();
        }
        true
    }
}

/// Groups items by the home of their server.
fn by_home<T>(
    shared: &SharedState,
    now: Instant,
    items: impl Iterator<Item = T>,
    server_key: impl Fn(&T) -> u32,
) -> BTreeMap<SocketAddrV4, Vec<T>> {
    let mut peers = shared.peers.borrow_mut();
    let mut homes: BTreeMap<SocketAddrV4, Vec<T>> = BTreeMap::new();
    for item in items {
        let home = peers.home(now, server_key(&item));
        homes.entry(home).or_default().push(item);
    }
    homes
}

fn known_loads(
    shared: &SharedState,
    now: Instant,
    asker: SocketAddrV4,
    servers: &[u32],
) -> Vec<ServerLoad> {
    let stable_since = shared.peers.borrow().stable_since(now);
    let mut directory = shared.directory.borrow_mut();
    let loads = servers
        .iter()
        .filter_map(|server| directory.load(now, *server, asker, stable_since));
    loads.collect()
}

fn send(shared: &SharedState, target: SocketAddrV4, message: &LoadMessage) {
    // A lost message is replaced by the next report, or its query is given up.
    datagram::send(shared, target, &LoadMessage::PREFIX, message);
}
