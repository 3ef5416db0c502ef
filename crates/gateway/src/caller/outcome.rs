//! Answers that the router gives itself.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Response, StatusCode};

use crate::caller::body::AnswerBody;
use crate::shared::SharedState;

/// How a call ended that has no server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The head or its framing can't be used.
    BadRequest,
    /// The key is unknown.
    UnknownKey,
    /// No route leads anywhere.
    NoRoute,
    /// The body is larger than callers may send.
    BodyTooLarge,
    /// The head is larger than callers may send.
    HeadTooLarge,
    /// The body did not come in time.
    BodyLate,
    /// The body broke off.
    BodyBroken,
    /// It has not run and never will; the caller may come back.
    NotRun(Duration),
    /// It may have run.
    Unknown,
    /// The time is over, and it may have run.
    TimedOut,
}

impl Outcome {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Whether the rest of the body can't be told from a next request.
    fn closes(self) -> bool {
        matches!(
            self,
            Self::BadRequest
                | Self::BodyBroken
                | Self::BodyTooLarge
                | Self::HeadTooLarge
                | Self::BodyLate
        )
    }

    /// The answer for the caller.
    pub(crate) fn answer(self, shared: &SharedState) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::from(Bytes::new()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if let Self::NotRun(pause) = self {
            shared.dialect.retry_after(headers, pause);
        }
        if self.closes() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
