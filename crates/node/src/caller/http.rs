//! HTTP requests of callers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use briarbank_core::call::{Call, Outcome};
use briarbank_core::catalog::TargetKind;
use briarbank_core::ids::TargetName;
use briarbank_core::node::Origin;
use briarbank_core::occupancy::{Full, Purpose};
use briarbank_net::{CallerConnection, Collector};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::headers::CallerHeaders;
use super::model::ModelCall;
use super::response::{self, CallerResponse, RefusalResponse};
use crate::call::{Calls, Inbound};
use crate::control::Control;

const MODELS_PATH: &str = "/v1/models";
const CHAT_PATH: &str = "/v1/chat/completions";
const COMPLETIONS_PATH: &str = "/v1/completions";
const SERVICES_PREFIX: &str = "/services/";

/// Retry delay for callers whose request was rejected.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles the HTTP requests of one connection.
#[derive(Clone, Debug)]
pub(super) struct CallerHttp {
    pub(super) calls: Calls,
    pub(super) control: Control,
    pub(super) body_timeout: Duration,
    /// Whether the connection exceeds the connection limit.
    pub(super) over_limit: bool,
    pub(super) connection: CallerConnection,
}

/// Rejection of a request that the core has not seen.
struct Rejection {
    status: StatusCode,
    kind: &'static str,
    message: String,
}

impl Rejection {
    fn new(status: StatusCode, kind: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            kind,
            message: message.into(),
        }
    }

    fn to_response(&self, outcome: Outcome) -> CallerResponse {
        let response = RefusalResponse {
            status: self.status,
            kind: self.kind,
            message: &self.message,
            outcome,
            retry_after: RETRY_AFTER,
        };
        response.build()
    }
}

/// Kind of call that the path selects.
enum Route {
    Model,
    Service { name: TargetName, path: Arc<str> },
}

impl CallerHttp {
    /// Answers one request.
    pub(super) async fn serve(&self, request: Request<Incoming>) -> CallerResponse {
        if request.body().is_end_stream() {
            self.connection.end_body();
        }
        if request.uri().path() == MODELS_PATH && request.method() == Method::GET {
            return response::models(self.control.view().catalog.as_deref());
        }
        let headers = match CallerHeaders::parse(request.headers()) {
            Ok(headers) => headers,
            Err(error) => {
                let rejection = Rejection::new(
                    StatusCode::BAD_REQUEST,
                    "invalid-headers",
                    error.to_string(),
                );
                // Without its id, it is unknown whether an earlier try ran.
                return rejection.to_response(Outcome::Unknown);
            }
        };
        let mut response = match self.read_call(request, &headers).await {
            Ok(inbound) => response::from_reply(self.calls.run(inbound).await),
            Err(rejection) => rejection.to_response(headers.unproven_outcome()),
        };
        response::set_request_id(&mut response, headers.request.as_str());
        response
    }

    async fn read_call(
        &self,
        request: Request<Incoming>,
        headers: &CallerHeaders,
    ) -> Result<Inbound, Rejection> {
        let received = Instant::now();
        if self.over_limit {
            return Err(Rejection::new(
                StatusCode::SERVICE_UNAVAILABLE,
                "too-many-connections",
                "The node has its limit of connections.",
            ));
        }
        let route = parse_route(&request)?;
        self.check_idempotency_key(headers)?;
        let method = Arc::from(request.method().as_str());
        let uri = request.uri().clone();
        let body = self.read_body(request.into_body()).await?;
        let (model, path) = match route {
            Route::Model => (parse_model_call(&body)?, Arc::from(uri.path())),
            Route::Service { name, path } => {
                let call = ModelCall {
                    target: name,
                    streamed: false,
                    max_tokens: 0,
                    prefix_key: 0,
                };
                (call, path)
            }
        };
        self.check_target_kind(&model.target, uri.path())?;
        let call = Call {
            id: self.calls.next_call(),
            request: headers.request.clone(),
            profile: headers.profile.clone(),
            workspace: headers.workspace.clone(),
            target: model.target,
            prefix_key: model.prefix_key,
            max_tokens: model.max_tokens,
            received,
            first_try: headers.first_try,
        };
        Ok(Inbound {
            call,
            origin: Origin::Caller,
            method,
            path,
            content_type: headers.content_type.clone(),
            streamed: model.streamed,
            body,
            place: Arc::clone(self.connection.place()),
        })
    }

    /// Checks that the caller set the id of a call that is not idempotent.
    fn check_idempotency_key(&self, headers: &CallerHeaders) -> Result<(), Rejection> {
        let idempotent = self.control.view().idempotent(&headers.profile);
        if headers.id_from_caller || idempotent != Some(false) {
            return Ok(());
        }
        Err(Rejection::new(
            StatusCode::BAD_REQUEST,
            "missing-idempotency-key",
            "Requests of this profile may not be repeated: send an idempotency-key.",
        ))
    }

    /// Checks that models and services are called under their own paths.
    fn check_target_kind(&self, target: &TargetName, path: &str) -> Result<(), Rejection> {
        let view = self.control.view();
        let target = view.catalog.as_ref().and_then(|c| c.target(target));
        let wanted = if path.starts_with(SERVICES_PREFIX) {
            TargetKind::Service
        } else {
            TargetKind::Model
        };
        if target.is_none_or(|t| t.kind == wanted) {
            return Ok(());
        }
        Err(Rejection::new(
            StatusCode::NOT_FOUND,
            "unknown-target",
            "The target is of another kind: models are called under /v1, services under /services.",
        ))
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, Rejection> {
        let connection = &self.connection;
        connection.expect_body();
        let read = timeout(self.body_timeout, self.collect_body(body));
        let body = tokio::select! {
            read = read => read.unwrap_or_else(|_elapsed| {
                Err(Rejection::new(
                    StatusCode::REQUEST_TIMEOUT,
                    "body-timeout",
                    "The body did not arrive in time.",
                ))
            }),
            () = connection.place().gave_way() => Err(self.no_room(Full::GaveWay)),
        }?;
        connection.end_body();
        Ok(body)
    }

    async fn collect_body(&self, body: Incoming) -> Result<Bytes, Rejection> {
        let limit_bytes = self.calls.body_limit();
        let expected = body.size_hint().exact().map(|bytes| bytes as usize);
        let expected = expected.filter(|bytes| *bytes <= limit_bytes);
        let mut collector = Collector::new(self.connection.place(), Purpose::Request, expected);
        let mut body = Limited::new(body, limit_bytes);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| body_rejection(&*error, limit_bytes))?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            collector.push(data).map_err(|full| self.no_room(full))?;
            self.connection.record_content(data.len());
        }
        let joined = collector.finish().into_bytes();
        joined.map_err(|full| self.no_room(full))
    }

    /// Returns the rejection of a call for whose body there is no room.
    fn no_room(&self, full: Full) -> Rejection {
        metrics::counter!("briarbank_bodies_without_room_total").increment(1);
        if self.calls.log_gate().take() {
            tracing::info!(%full, "caller: no room for a body");
        }
        Rejection::new(
            StatusCode::SERVICE_UNAVAILABLE,
            "no-room",
            "The node has no memory left for the body.",
        )
    }
}

fn body_rejection(error: &(dyn std::error::Error + 'static), limit_bytes: usize) -> Rejection {
    if error.is::<LengthLimitError>() {
        return Rejection::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body-too-large",
            format!("The body has more than {limit_bytes} bytes."),
        );
    }
    Rejection::new(
        StatusCode::BAD_REQUEST,
        "body-incomplete",
        "The body broke off.",
    )
}

fn parse_route(request: &Request<Incoming>) -> Result<Route, Rejection> {
    let path = request.uri().path();
    if let CHAT_PATH | COMPLETIONS_PATH = path {
        if request.method() != Method::POST {
            return Err(Rejection::new(
                StatusCode::METHOD_NOT_ALLOWED,
                "method-not-allowed",
                "Models are called by POST.",
            ));
        }
        return Ok(Route::Model);
    }
    let not_found = || {
        Rejection::new(
            StatusCode::NOT_FOUND,
            "unknown-path",
            "Known paths: /v1/chat/completions, /v1/completions, /v1/models, /services/NAME/.",
        )
    };
    let rest = path.strip_prefix(SERVICES_PREFIX).ok_or_else(not_found)?;
    let (name, rest) = rest.split_once('/').unwrap_or((rest, ""));
    if name.is_empty() {
        return Err(not_found());
    }
    let query = request.uri().query().map(|q| format!("?{q}"));
    let path = format!("/{rest}{}", query.unwrap_or_default());
    Ok(Route::Service {
        name: TargetName::new(name),
        path: Arc::from(path),
    })
}

fn parse_model_call(body: &[u8]) -> Result<ModelCall, Rejection> {
    ModelCall::parse(body).map_err(|error| {
        Rejection::new(
            StatusCode::BAD_REQUEST,
            "invalid-body",
            format!("The body is no model call: {error}"),
        )
    })
}
