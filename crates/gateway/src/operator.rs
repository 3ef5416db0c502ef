//! Ports for the balancer and for operators.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};

use briarbank_core::flow::ENTRIES_BYTES_MAX;
use briarbank_core::ids::ServerName;
use briarbank_meter::PrometheusHandle;
use briarbank_net::{Admission, Place};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::harmful_prompts::hex;
use crate::log_lines::LineKind;
use crate::shared::SharedState;

/// Time after which a connection to these ports is closed.
const CONNECTION_TIMEOUT: Duration = Duration::from_mins(1);

/// Time for a request's head.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Read buffer of a connection, and thereby the largest head: the least that `hyper` accepts.
const BUFFER_BYTES: usize = 8 << 10;

/// Serves readiness, metrics and the state dump until the task is aborted.
pub(crate) async fn run(shared: Rc<SharedState>, listener: TcpListener, metrics: PrometheusHandle) {
    if let Err(error) = briarbank_net::limit_buffers(&listener) {
        tracing::warn!(%error, "operator: limiting the buffers of sockets failed");
    }
    let admission = Admission::of_connections(shared.settings().connection_shares.port);
    loop {
        let (stream, _) = briarbank_net::accept(&listener).await;
        // A connection yields to others from its last request on.
        let Ok(place) = admission.enter() else {
            continue;
        };
        let (serving, metrics) = (Rc::clone(&shared), metrics.clone());
        shared.tasks.spawn_local(async move {
            tokio::select! {
                () = serve_connection(&serving, &metrics, stream, &place) => {}
                () = place.gave_way() => {
                    metrics::counter!("briarbank_operator_connections_closed_total").increment(1);
                    if serving.log_lines.take(LineKind::Closed) {
                        tracing::info!("operator: connection closed, others came");
                    }
                }
            }
        });
    }
}

async fn serve_connection(
    shared: &SharedState,
    metrics: &PrometheusHandle,
    stream: TcpStream,
    place: &Place,
) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = answer(shared, metrics, request.uri().path());
        place.yield_from(Instant::now());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Ok(Err(error)) = timeout(CONNECTION_TIMEOUT, connection).await {
        tracing::debug!(%error, "operator: connection ended");
    }
}

fn answer(shared: &SharedState, metrics: &PrometheusHandle, path: &str) -> Response<Full<Bytes>> {
    let (status, body) = match path {
        "/ready" if shared.is_ready() => (StatusCode::OK, String::new()),
        "/ready" => (StatusCode::SERVICE_UNAVAILABLE, String::new()),
        "/metrics" => {
            update_gauges(shared);
            (StatusCode::OK, metrics.render())
        }
        "/state" => (StatusCode::OK, dump_state(shared)),
        _ => (StatusCode::NOT_FOUND, String::new()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}

fn update_gauges(shared: &SharedState) {
    let now = Instant::now();
    let peers = shared.peers.borrow().live_count(now);
    metrics::gauge!("briarbank_nodes").set(peers as f64);
    metrics::gauge!("briarbank_calls_in_flight").set(shared.in_flight.get() as f64);
    let counts = shared.admission.counts();
    metrics::gauge!("briarbank_caller_connections").set(counts.connections as f64);
    metrics::gauge!("briarbank_request_bytes").set(counts.held.requests as f64);
    metrics::gauge!("briarbank_answer_bytes").set(counts.held.answers as f64);
    metrics::counter!("briarbank_caller_no_room_total").absolute(counts.refused);
    metrics::gauge!("briarbank_server_connections").set(f64::from(shared.pool.open()));
    let blamed = shared.blamed_parts.borrow().len();
    metrics::gauge!("briarbank_blamed_parts").set(blamed as f64);
    shared.update_cold_metrics(now);
    let dispatcher = shared.dispatcher.borrow();
    metrics::gauge!("briarbank_relays").set(shared.relays.get() as f64);
    let broken = shared.paths.borrow().broken().count();
    metrics::gauge!("briarbank_broken_paths").set(broken as f64);
    let zones = dispatcher.evacuated_zones().count();
    metrics::gauge!("briarbank_evacuated_zones").set(zones as f64);
    let servers = dispatcher.evacuated_servers(now);
    metrics::gauge!("briarbank_evacuated_servers").set(servers as f64);
    drop(dispatcher);
    let entries = shared.entry_bound.borrow();
    metrics::gauge!("briarbank_entries").set(entries.len() as f64);
    metrics::gauge!("briarbank_entry_bytes").set(entries.bytes() as f64);
    drop(entries);
    let version = shared.table().map_or(0, |t| t.version());
    metrics::gauge!("briarbank_config_version").set(version as f64);
    let age = shared
        .store
        .read_at
        .get()
        .map_or(f64::INFINITY, |at| at.elapsed().as_secs_f64());
    metrics::gauge!("briarbank_store_age_seconds").set(age);
    let age = shared.staleness.borrow().age(now);
    let age = age.map_or(f64::INFINITY, |age| age.as_secs_f64());
    metrics::gauge!("briarbank_values_age_seconds").set(age);
}

/// Returns the state of the node as JSON.
fn dump_state(shared: &SharedState) -> String {
    let now = Instant::now();
    let dispatcher = shared.dispatcher.borrow();
    let servers: Vec<_> = dispatcher
        .servers(now)
        .map(|(instance, load, is_healthy)| {
            json!({
                "id": instance.id.as_str(), "service": instance.service.as_str(),
                "address": instance.address.to_string(), "draining": instance.is_draining,
                "running": load.running, "light": load.short_prompts,
                "pending_tokens": load.pending_tokens, "sound": is_healthy,
                "evacuated": dispatcher.is_evacuated(now, instance),
            })
        })
        .collect();
    let peers = shared.peers.borrow();
    let peers: Vec<_> = peers
        .entries(now)
        .map(|(entry, revision, age, is_leaving)| {
            json!({
                "address": entry.address.to_string(), "beats": entry.count,
                "revision": revision, "age_ms": age.as_millis() as u64, "leaving": is_leaving,
            })
        })
        .collect();
    let zones: Vec<_> = dispatcher
        .evacuated_zones()
        .map(|(zone, since)| {
            let age = now.saturating_duration_since(since);
            json!({"zone": zone.as_str(), "age_ms": age.as_millis() as u64})
        })
        .collect();
    let blamed = dispatcher.blamed_parts(now);
    let blamed: Vec<_> = blamed
        .iter()
        .map(|(part, processes)| json!({"part": hex(*part), "crashes": processes.len()}))
        .collect();
    let paths = shared.paths.borrow();
    let broken_paths: Vec<&str> = paths.broken().map(ServerName::as_str).collect();
    let settings = shared.settings();
    let regions: BTreeMap<&str, &str> = settings
        .zone_regions
        .iter()
        .map(|(zone, region)| (zone.as_str(), region.as_str()))
        .collect();
    json!({
        "host": shared.settings().host.as_str(), "ready": shared.is_ready(),
        "config_version": shared.table().map(|t| t.version()),
        "revision": shared.values.borrow().revision(),
        "values_age_ms": shared.staleness.borrow().age(now).map(|age| age.as_millis() as u64),
        "store_lost": shared.store.is_failing.get(),
        "in_flight": shared.in_flight.get(), "servers": servers, "peers": peers,
        "broken_paths": broken_paths, "relays": shared.relays.get(),
        "blamed_parts": blamed, "zone_regions": regions, "evacuated_zones": zones,
        "cold_servers": shared.dump_cold_servers(now),
        "entries": entry_state(shared), "callers": caller_state(shared),
        "hedging": hedging_state(shared, now),
    })
    .to_string()
}

/// Returns what the entries that are kept take, and whether some were left out.
fn entry_state(shared: &SharedState) -> serde_json::Value {
    let entries = shared.entry_bound.borrow();
    json!({
        "kept": entries.len(), "bytes": entries.bytes(), "bytes_max": ENTRIES_BYTES_MAX,
        "complete": entries.is_complete(),
    })
}

/// Returns what callers' connections hold, and the bounds on it.
fn caller_state(shared: &SharedState) -> serde_json::Value {
    let (counts, bounds) = (shared.admission.counts(), shared.settings().caller_bounds);
    json!({
        "connections": counts.connections, "connections_max": bounds.connections_max,
        "request_bytes": counts.held.requests, "request_bytes_max": bounds.bytes_max.requests,
        "answer_bytes": counts.held.answers, "answer_bytes_max": bounds.bytes_max.answers,
        "gave_way": counts.gave_way, "no_room": counts.refused,
    })
}

/// Returns the ratio of hedges, the used part of the window and the triggers in force.
fn hedging_state(shared: &SharedState, now: Instant) -> serde_json::Value {
    let hedging = shared.hedging.borrow();
    let (calls, hedges) = hedging.used(now);
    let triggers: Vec<_> = hedging
        .triggers(now)
        .map(|(kind, trigger)| {
            json!({
                "route": &*kind.route, "size_class": kind.size_class,
                "trigger_ms": trigger.as_millis() as u64,
            })
        })
        .collect();
    json!({"ratio": hedging.ratio(), "calls": calls, "hedges": hedges, "triggers": triggers})
}
