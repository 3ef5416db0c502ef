//! Admits calls and answers them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use briarbank_core::flow::{Route, RouteTable};
use briarbank_core::ids::RegionName;
use briarbank_core::occupancy::Purpose;
use briarbank_net::{CallerConnection, Collector, HeldBytes};
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::Rng;
use tokio::time::{Instant, timeout, timeout_at};

use crate::caller::body::AnswerBody;
use crate::caller::exchange::Exchange;
use crate::caller::outcome::Outcome;
use crate::dialect::CallHead;
use crate::log_lines::LineKind;
use crate::shared::SharedState;

/// Delay after which callers may retry while the node starts or stops.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest time for the body of a refused call.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Bounds of the delay after which callers may retry while the store is failing.
///
/// An outage lasts for seconds, and most callers retry only once.
const OUTAGE_RETRY_AFTER_S: (f64, f64) = (1.0, 2.5);

/// Bounds of the delay after which callers may retry a call for whose body there is no room.
///
/// Bodies that stand still give way within a moment; others are sent on in about a second.
const NO_ROOM_RETRY_AFTER_S: (f64, f64) = (0.3, 1.2);

/// Returns when callers may retry while the node has no configuration.
fn retry_after_without_config(shared: &SharedState) -> Duration {
    if !shared.store.is_failing.get() {
        return UNAVAILABLE_RETRY_AFTER;
    }
    Duration::from_secs_f64(
        rand::rng().random_range(OUTAGE_RETRY_AFTER_S.0..OUTAGE_RETRY_AFTER_S.1),
    )
}

/// Answers a request of a caller.
pub(crate) async fn serve(
    shared: &Rc<SharedState>,
    request: Request<Incoming>,
    caller: &CallerConnection,
) -> Response<AnswerBody> {
    let in_flight = shared.in_flight.start();
    let began_at = Instant::now();
    let (head, body) = request.into_parts();
    match admit(shared, &head, caller.is_ambiguous()) {
        Ok(admitted) => {
            let body = read_body(&head, body, &admitted, began_at, caller).await;
            if let Err(Outcome::NoRoom(_)) = body {
                record_no_room(shared, &admitted);
            }
            let place = Arc::clone(caller.place());
            let exchange = Exchange::new(shared, head, admitted, began_at, in_flight, place);
            match body {
                // On the heap, so that idle connections are small.
                Ok(body) => Box::pin(exchange.answer(body)).await,
                Err(outcome) => exchange.refuse(outcome),
            }
        }
        Err((outcome, reason)) => {
            let status = outcome.status().as_u16();
            let path = head.uri.path();
            if shared.log_lines.take(LineKind::NotAdmitted) {
                tracing::info!(status, path, why = reason, "call: not admitted");
            }
            metrics::counter!("briarbank_calls_total", "outcome" => "not admitted").increment(1);
            let mut response = outcome.answer(shared);
            // Closing a connection with unread bytes would reset it, and lose the answer.
            if !outcome.closes_connection() && !discard(shared, body, caller).await {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
    }
}

/// Reads the body of a refused call; returns false if it is too long or takes too long.
async fn discard(shared: &SharedState, body: Incoming, caller: &CallerConnection) -> bool {
    let limits = shared.table().map(|t| t.limits()).unwrap_or_default();
    let mut body = Limited::new(body, limits.body_bytes as usize);
    caller.expect_body();
    let read = async {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                return false;
            };
            caller.record_content(frame.data_ref().map_or(0, Bytes::len));
        }
        caller.end_body();
        true
    };
    tokio::select! {
        read = timeout(DISCARD_TIMEOUT, read) => read.unwrap_or(false),
        () = caller.place().gave_way() => false,
    }
}

fn record_no_room(shared: &SharedState, admitted: &Admitted) {
    let counts = shared.admission.counts();
    metrics::counter!("briarbank_bodies_without_room_total").increment(1);
    if shared.log_lines.take(LineKind::NoRoom) {
        tracing::info!(
            id = %admitted.head.id, route = %admitted.route.name,
            request_bytes = counts.held.requests, connections = counts.connections,
            "call: refused, no room for its body"
        );
    }
}

/// A call whose head was accepted.
pub(crate) struct Admitted {
    pub(crate) head: CallHead,
    pub(crate) table: Rc<RouteTable>,
    pub(crate) route: Arc<Route>,
    pub(crate) workspace: Option<briarbank_core::flow::WorkspaceEntry>,
}

impl Admitted {
    /// Returns the lists of regions that bind the call; all of them have to hold the server's.
    pub(crate) fn allowed_regions(&self) -> Vec<Arc<[RegionName]>> {
        let of_workspace = self
            .workspace
            .as_ref()
            .and_then(|w| w.allowed_regions.clone());
        let of_route = self.route.allowed_regions.clone();
        of_route.into_iter().chain(of_workspace).collect()
    }
}

/// Checks the head of a call; an error holds the reason for the log.
fn admit(
    shared: &SharedState,
    head: &Parts,
    is_ambiguous: bool,
) -> Result<Admitted, (Outcome, &'static str)> {
    if is_ambiguous {
        return Err((Outcome::BadRequest, "length of the body given in two ways"));
    }
    let Some(table) = shared.table() else {
        return Err((
            Outcome::NotRun(retry_after_without_config(shared)),
            "no configuration yet",
        ));
    };
    if shared.stop.is_closed() {
        return Err((Outcome::NotRun(UNAVAILABLE_RETRY_AFTER), "node is stopping"));
    }
    if head_bytes(&head.headers) > table.limits().header_bytes as usize {
        return Err((Outcome::HeadTooLarge, "head too large"));
    }
    let Some(route) = find(&table, head) else {
        return Err((Outcome::NoRoute, "no route"));
    };
    let Ok(call) = shared.dialect.decode_call(head) else {
        return Err((Outcome::BadRequest, "head not usable"));
    };
    let workspace = call
        .key
        .as_ref()
        .and_then(|key| table.workspace(key))
        .cloned();
    if table.checks_keys() && !route.is_public && workspace.is_none() {
        return Err((Outcome::UnknownKey, "unknown key"));
    }
    Ok(Admitted {
        head: call,
        table,
        route,
        workspace,
    })
}

fn find(table: &RouteTable, head: &Parts) -> Option<Arc<Route>> {
    let host = head.headers.get(header::HOST)?.to_str().ok()?;
    let host = host.rsplit_once(':').map_or(host, |(name, _port)| name);
    table.find(host, head.uri.path()).cloned()
}

fn head_bytes(headers: &HeaderMap) -> usize {
    /// Colon, space and line end.
    const LINE_BYTES: usize = 4;
    let bytes = |(name, value): (&header::HeaderName, &header::HeaderValue)| {
        name.as_str().len() + value.len() + LINE_BYTES
    };
    headers.iter().map(bytes).sum()
}

async fn read_body(
    head: &Parts,
    body: Incoming,
    admitted: &Admitted,
    began_at: Instant,
    caller: &CallerConnection,
) -> Result<HeldBytes, Outcome> {
    let body_bytes_max = admitted.table.limits().body_bytes as usize;
    let length = head.headers.get(header::CONTENT_LENGTH);
    let length: Option<usize> = length.and_then(|l| l.to_str().ok()?.parse().ok());
    if length.is_some_and(|length| length > body_bytes_max) {
        return Err(Outcome::BodyTooLarge);
    }
    let deadline = began_at + time_left(admitted);
    let collector = Collector::new(caller.place(), Purpose::Request, length);
    caller.expect_body();
    let read = collect(Limited::new(body, body_bytes_max), collector, caller);
    let read = tokio::select! {
        read = timeout_at(deadline, read) => read.unwrap_or(Err(Outcome::BodyTimeout)),
        () = caller.place().gave_way() => Err(no_room()),
    }?;
    caller.end_body();
    Ok(read)
}

async fn collect(
    mut body: Limited<Incoming>,
    mut collector: Collector,
    caller: &CallerConnection,
) -> Result<HeldBytes, Outcome> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            if error.is::<LengthLimitError>() {
                Outcome::BodyTooLarge
            } else {
                Outcome::BodyBroken
            }
        })?;
        let Some(data) = frame.data_ref() else {
            continue;
        };
        collector.push(data).map_err(|_full| no_room())?;
        caller.record_content(data.len());
    }
    Ok(collector.finish())
}

/// Returns the outcome of a call for whose body there is no room.
///
/// Callers come back spread over time, as they were refused together.
fn no_room() -> Outcome {
    let (min_s, max_s) = NO_ROOM_RETRY_AFTER_S;
    Outcome::NoRoom(Duration::from_secs_f64(
        rand::rng().random_range(min_s..max_s),
    ))
}

/// Returns the shorter of the time limits of the caller and of the route.
pub(crate) fn time_left(admitted: &Admitted) -> Duration {
    let timeout = Duration::from_millis(u64::from(admitted.route.timeout_ms));
    admitted
        .head
        .time_left
        .map_or(timeout, |time_left| time_left.min(timeout))
}
