//! Heartbeats between nodes over UDP.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::{REPORT_INTERVAL, ValueKind};
use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval};

use crate::codec::{self, Appended, BuildStatement};
use crate::loads;
use crate::shared::SharedState;
use crate::streams;
use crate::sync;

/// Time between two heartbeats.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(80);

/// Largest datagram that is received whole.
const DATAGRAM_BYTES_MAX: usize = 16 << 10;

/// Consecutive heartbeat intervals with a newer peer before a node that watches the store
/// fetches values from it.
///
/// Its own watch usually delivers them sooner.
const NEWER_HEARTBEATS_MIN: u32 = 4;

/// Sends and receives heartbeats until the task is aborted.
pub(crate) async fn run(shared: Rc<SharedState>, socket: UdpSocket) {
    let socket = Rc::new(socket);
    if shared.socket.set(Rc::clone(&socket)).is_err() {
        tracing::error!("peer: the port is served already");
        return;
    }
    shared.tasks.spawn_local(streams::learn(Rc::clone(&shared)));
    let mut reported_at = Instant::now();
    let mut ticks = interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    let mut catch_ups = ValueKind::ALL.map(CatchUp::new);
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                notice_pause(&shared);
                send_heartbeats(&shared, &socket);
                streams::tell_others(&shared);
                if reported_at.elapsed() >= REPORT_INTERVAL {
                    reported_at = Instant::now();
                    repeat_reports(&shared, reported_at);
                }
                for catch_up in &mut catch_ups {
                    catch_up.tick(&shared);
                }
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    receive(&shared, from, buffer.get(..length).unwrap_or_default());
                }
                Err(error) => tracing::debug!(%error, "peer: receiving a datagram failed"),
            },
        }
    }
}

fn send_heartbeats(shared: &SharedState, socket: &UdpSocket) {
    let now = Instant::now();
    let revision = shared.values.borrow().revision();
    let loads = shared.dispatcher.borrow().reported_loads(now);
    let is_watching = shared.store.is_watching.get() && !shared.store.is_failing.get();
    let mut peers = shared.peers.borrow_mut();
    let (heartbeat, targets) = peers.next_heartbeat(now, revision, is_watching, loads);
    drop(peers);
    let link_mbps = shared.settings().link_mbps;
    let mut staleness = shared.staleness.borrow_mut();
    if shared.store.is_receiving.get() {
        staleness.record_transfer(now);
    }
    let appended = Appended {
        limits: shared.limits.borrow_mut().statements(now),
        parts: shared.dispatcher.borrow_mut().part_statements(now),
        values: vec![shared.values.borrow().statement(link_mbps)],
        staleness: vec![staleness.statement(now)],
        paths: vec![shared.paths.borrow().statement()],
        brittle: shared.brittle.borrow_mut().statements(now),
        builds: vec![BuildStatement {
            has_keyed_streams: true,
        }],
    };
    drop(staleness);
    let Ok(bytes) = codec::encode_heartbeat(&heartbeat, &appended) else {
        tracing::warn!("peer: encoding the heartbeat failed");
        return;
    };
    for target in targets {
        // The next heartbeat replaces one that cannot be sent.
        if let Err(error) = socket.try_send_to(&bytes, SocketAddr::V4(target)) {
            tracing::debug!(%error, %target, "peer: sending a heartbeat failed");
        }
    }
    shared.divide_limits(now);
    shared.divide_cold(now);
    shared.apply_brittle(now);
    shared.log_harmful_parts(now);
    let peers = shared.peers.borrow();
    let mut dispatcher = shared.dispatcher.borrow_mut();
    dispatcher.set_peer_loads(&peers.loads(now), peers.sharing_nodes(now));
    dispatcher.remove_lapsed(now);
}

/// Reports all loads to the homes again, since reports may be lost and homes change.
fn repeat_reports(shared: &SharedState, now: Instant) {
    let loads = shared.dispatcher.borrow().reported_loads(now);
    loads::report(shared, now, &loads);
    shared.directory.borrow_mut().expire(now);
    shared.prefills.borrow_mut().expire(now);
    streams::expire(shared, now);
    shared.paths.borrow_mut().expire(now);
}

fn receive(shared: &Rc<SharedState>, from: SocketAddr, bytes: &[u8]) {
    if let Some(message) = streams::strip_prefix(bytes) {
        streams::receive(shared, from, message);
        return;
    }
    if let Some(message) = loads::strip_prefix(bytes) {
        loads::receive(shared, message);
        return;
    }
    match codec::decode_heartbeat(bytes) {
        Ok((heartbeat, appended)) => {
            let now = Instant::now();
            let (sender, revision) = (heartbeat.sender, heartbeat.revision);
            let mut peers = shared.peers.borrow_mut();
            peers.receive(now, heartbeat);
            if !appended.builds.iter().any(|build| build.has_keyed_streams) {
                peers.record_unkeyed(now);
            }
            if let Some(paths) = appended.paths.into_iter().next() {
                peers.receive_paths(sender, paths);
            }
            if let Some(statement) = appended.values.first() {
                peers.receive_values(sender, *statement);
                shared.values.borrow_mut().advance(revision, statement);
                if let Some(stated) = appended.staleness.first() {
                    peers.record_stated_age(sender);
                    let has_all = shared.values.borrow().has_all_of(statement);
                    let mut staleness = shared.staleness.borrow_mut();
                    staleness.receive(now, stated, has_all);
                }
            }
            drop(peers);
            shared.receive_limits(&appended.limits);
            if !appended.brittle.is_empty() {
                shared.brittle.borrow_mut().receive(now, &appended.brittle);
                shared.apply_brittle(now);
            }
            let mut dispatcher = shared.dispatcher.borrow_mut();
            dispatcher.receive_parts(now, &appended.parts);
        }
        Err(error) => tracing::debug!(%error, "peer: decoding a datagram failed"),
    }
}

/// Fetches values of one kind from peers that have newer ones, from one peer at a time.
struct CatchUp {
    kind: ValueKind,
    /// Consecutive intervals with a newer peer.
    newer_heartbeats: u32,
    is_fetching: Rc<Cell<bool>>,
}

impl CatchUp {
    fn new(kind: ValueKind) -> Self {
        Self {
            kind,
            newer_heartbeats: 0,
            is_fetching: Rc::default(),
        }
    }

    fn tick(&mut self, shared: &Rc<SharedState>) {
        let kind = self.kind;
        let revision = shared.values.borrow().mirror(kind).revision();
        let is_watching = shared.store.is_watching.get() && !shared.store.is_failing.get();
        let now = Instant::now();
        let mut peers = shared.peers.borrow_mut();
        let source = peers.newer_source(now, kind, revision);
        if kind == ValueKind::Entry {
            let is_current = source.is_none() && (is_watching || peers.hears_watcher(now));
            shared.freshness.record_check(now, is_current);
        }
        let wants_all = kind == ValueKind::Entry && !is_watching && shared.should_request_entries();
        let source = source.or_else(|| peers.newer_source(now, kind, 0).filter(|_| wants_all));
        drop(peers);
        let Some(source) = source else {
            self.newer_heartbeats = 0;
            return;
        };
        self.newer_heartbeats = self.newer_heartbeats.saturating_add(1);
        let is_late = self.newer_heartbeats >= NEWER_HEARTBEATS_MIN;
        if is_late {
            shared.store.peers_are_newer.notify_waiters();
        }
        let may_fetch = is_late || revision == 0 || !is_watching;
        if !may_fetch || self.is_fetching.replace(true) {
            return;
        }
        let (peer, theirs) = (source.address, source.revision);
        tracing::info!(%peer, ?kind, revision, theirs, "peer: fetching newer values");
        let (shared, is_fetching) = (Rc::clone(shared), Rc::clone(&self.is_fetching));
        let tasks = shared.tasks.clone();
        tasks.spawn_local(async move {
            sync::fetch(&shared, kind, source).await;
            is_fetching.set(false);
        });
    }
}

/// Handles a pause of the process since the last call, if there was one.
///
/// What a process does between its waking and the next heartbeat may rest on what was true
/// before, so whoever depends on the time calls this first.
pub(crate) fn notice_pause(shared: &SharedState) {
    let pause = shared.pause_detector.borrow_mut().take_pause();
    if let Some(pause) = pause {
        handle_pause(shared, pause);
    }
}

/// Discards state that may be stale after the host was suspended.
fn handle_pause(shared: &SharedState, pause: Duration) {
    tracing::warn!(pause_ms = pause.as_millis(), "node: resumed after a pause");
    shared.peers.borrow_mut().discard_loads();
    shared.directory.borrow_mut().clear();
    shared.prefills.borrow_mut().clear();
    let now = Instant::now();
    shared.freshness.record_gap(now);
    shared.staleness.borrow_mut().discard();
    let mut dispatcher = shared.dispatcher.borrow_mut();
    dispatcher.record_missed_changes(now);
    dispatcher.record_pause(now);
    drop(dispatcher);
    shared.pool.clear();
    shared.store.connection_suspect.notify_waiters();
}
