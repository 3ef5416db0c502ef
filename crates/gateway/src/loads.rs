//! Exchange of exact loads with the homes of servers, over the peer port.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{
    Call, LoadDetails, LoadMessage, LoadReport, ServerLoad, ServerObservation,
};
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

/// Most servers that a query or the details of a report may name.
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
    /// The call that is to be placed.
    call: Call,
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

/// Reports loads, and what was seen of the servers, to the homes of the servers.
pub(crate) fn report(shared: &SharedState, now: Instant, loads: &[ServerLoad]) {
    if loads.is_empty() || !shared.peers.borrow().has_homes() {
        return;
    }
    let observations = shared.dispatcher.borrow_mut().take_observations(loads);
    let mut observations = by_home(shared, now, observations.into_iter(), |s| s.server_key);
    for (home, loads) in by_home(shared, now, loads.iter().copied(), |load| load.server_key) {
        let sequence = shared.next_report();
        let local = shared.peers.borrow().local();
        let report = LoadReport {
            sender: local.address,
            incarnation: local.incarnation,
            sequence,
            loads,
        };
        let details = LoadDetails {
            observations: observations.remove(&home).unwrap_or_default(),
            ..LoadDetails::default()
        };
        if home == local.address {
            shared.directory.borrow_mut().record(now, &report);
            record_observations(shared, now, &details.observations);
        } else {
            send(shared, home, &LoadMessage::Report(report), details);
        }
    }
}

fn record_observations(shared: &SharedState, now: Instant, observations: &[ServerObservation]) {
    let dispatcher = shared.dispatcher.borrow();
    let was_empty = shared.caches_began_empty(now);
    let mut prefills = shared.prefills.borrow_mut();
    for observation in observations.iter().take(QUERY_SERVERS_MAX) {
        // A report about another process than the present one is out of date.
        if dispatcher.process_key(observation.server_key) == Some(observation.process_key) {
            prefills.record(now, observation, was_empty);
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
    let parts = shared.dispatcher.borrow().parts_to_ask(call);
    let local = shared.peers.borrow().local().address;
    if let Some(servers) = homes.remove(&local) {
        let loads = known_loads(shared, now, local, &servers);
        let details = known_details(shared, now, &servers, &parts);
        let mut dispatcher = shared.dispatcher.borrow_mut();
        dispatcher.set_exact_loads(now, &loads);
        dispatcher.set_estimates(now, call, &details.estimates);
    }
    if homes.is_empty() {
        return;
    }
    let (id, answered) = shared.queries.borrow_mut().start(homes.len(), call);
    let _pending = PendingQuery { shared, id };
    for (home, servers) in homes {
        let sender = local;
        let query = LoadMessage::Query {
            sender,
            id,
            servers,
        };
        let details = LoadDetails {
            parts: parts.clone(),
            ..LoadDetails::default()
        };
        send(shared, home, &query, details);
    }
    if timeout(QUERY_TIMEOUT, answered.notified()).await.is_err() {
        metrics::counter!("briarbank_load_queries_unanswered_total").increment(1);
    }
}

/// Handles a load message of another node.
pub(crate) fn receive(shared: &SharedState, bytes: &[u8]) {
    let (message, details) = match codec::decode::<LoadMessage, LoadDetails>(bytes) {
        Ok((message, details)) => (message, details.into_iter().next().unwrap_or_default()),
        Err(error) => {
            tracing::debug!(%error, "peer: decoding a load message failed");
            return;
        }
    };
    let now = Instant::now();
    match message {
        LoadMessage::Report(report) => {
            shared.directory.borrow_mut().record(now, &report);
            record_observations(shared, now, &details.observations);
        }
        LoadMessage::Query {
            sender,
            id,
            mut servers,
        } => {
            servers.truncate(QUERY_SERVERS_MAX);
            let loads = known_loads(shared, now, sender, &servers);
            let details = known_details(shared, now, &servers, &details.parts);
            send(shared, sender, &LoadMessage::Answer { id, loads }, details);
        }
        LoadMessage::Answer { id, loads } => {
            let mut queries = shared.queries.borrow_mut();
            if let Some(call) = queries.record_answer(id) {
                let mut dispatcher = shared.dispatcher.borrow_mut();
                dispatcher.set_exact_loads(now, &loads);
                dispatcher.set_estimates(now, call, &details.estimates);
            }
        }
    }
}

impl Queries {
    fn start(&mut self, answers: usize, call: &Call) -> (u32, Rc<Notify>) {
        self.next_id = self.next_id.wrapping_add(1);
        let answered = Rc::new(Notify::new());
        let waiting = Waiting {
            answers_left: answers,
            answered: Rc::clone(&answered),
            call: call.clone(),
        };
        self.waiting.insert(self.next_id, waiting);
        (self.next_id, answered)
    }

    /// Records an answer; returns the call of its query while that is waiting.
    fn record_answer(&mut self, id: u32) -> Option<&Call> {
        let waiting = self.waiting.get_mut(&id)?;
        waiting.answers_left = waiting.answers_left.saturating_sub(1);
        if waiting.answers_left == 0 {
            waiting.answered.notify_one();
        }
        Some(&waiting.call)
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

/// Returns what this node, as their home, knows of servers for a prompt with these parts.
fn known_details(
    shared: &SharedState,
    now: Instant,
    servers: &[u32],
    parts: &[u32],
) -> LoadDetails {
    if parts.is_empty() {
        return LoadDetails::default();
    }
    let dispatcher = shared.dispatcher.borrow();
    let was_empty = shared.caches_began_empty(now);
    let mut prefills = shared.prefills.borrow_mut();
    let estimates = servers.iter().filter_map(|server| {
        let process_key = dispatcher.process_key(*server)?;
        prefills.estimate(now, *server, process_key, parts, was_empty)
    });
    LoadDetails {
        estimates: estimates.collect(),
        ..LoadDetails::default()
    }
}

fn send(shared: &SharedState, target: SocketAddrV4, message: &LoadMessage, details: LoadDetails) {
    let is_empty = details == LoadDetails::default();
    let appended = if is_empty { Vec::new() } else { vec![details] };
    // A lost message is replaced by the next report, or its query is given up.
    datagram::send_with(shared, target, &LoadMessage::PREFIX, message, &appended);
}
