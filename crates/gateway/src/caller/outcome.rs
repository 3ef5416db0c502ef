//! Answers that the router generates itself.

use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Response, StatusCode};

use crate::caller::body::AnswerBody;
use crate::shared::SharedState;

/// Outcome of a call without a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The head or the framing of the body is invalid.
    BadRequest,
    /// The caller's key is unknown.
    UnknownKey,
    /// No route matches the request.
    NoRoute,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The head is larger than the limit.
    HeadTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The connection broke before the end of the body.
    BodyBroken,
    /// The call will never run; the caller may retry after the given time.
    NotRun(Duration),
    /// As [`Self::NotRun`], before all of its body was read.
    NoRoom(Duration),
    /// The call has not run, and a retry would end the same way.
    NotRepeatable,
    /// The call may have run.
    Unknown,
    /// The deadline has passed, and the call may have run.
    TimedOut,
}

/// Returns whether a status tells callers that a call has not run.
pub(crate) fn means_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

impl Outcome {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::NotRun(_) | Self::NoRoom(_) | Self::NotRepeatable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Returns whether unread bytes of the body could pass for another request.
    pub(crate) fn closes_connection(self) -> bool {
        matches!(
            self,
            Self::BadRequest
                | Self::BodyBroken
                | Self::BodyTooLarge
                | Self::HeadTooLarge
                | Self::BodyTimeout
                | Self::NoRoom(_)
        )
    }

    /// Builds the answer for the caller.
    pub(crate) fn answer(self, shared: &SharedState) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::from(Bytes::new()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        if let Self::NotRun(delay) | Self::NoRoom(delay) = self {
            shared.dialect.retry_after(headers, delay);
        }
        if self.closes_connection() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
