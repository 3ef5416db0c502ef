//! Request headers of callers.

use std::sync::Arc;

use briarbank_core::call::Outcome;
use briarbank_core::ids::{ProfileName, RequestId, WorkspaceName};
use http::HeaderMap;
use http::header::CONTENT_TYPE;
use quick_error::quick_error;
use uuid::Uuid;

/// Longest name or request id, in bytes.
const NAME_BYTES_MAX: usize = 256;

quick_error! {
    /// Error in a caller's headers.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum Error {
        /// A required header is missing.
        Missing(name: &'static str) {
            display("The header {name} is missing.")
        }
        /// A header is empty, too long or not visible ASCII.
        Invalid(name: &'static str) {
            display("The header {name} must have 1 to 256 visible ASCII characters.")
        }
        /// The attempt number is not a positive integer.
        InvalidTry {
            display("The header briarbank-try must be a number from 1.")
        }
    }
}

/// Request headers of callers.
#[derive(Clone, Debug)]
pub struct CallerHeaders {
    /// Workspace that the request is charged to.
    pub workspace: WorkspaceName,
    /// Profile of the request.
    pub profile: ProfileName,
    /// Request id, generated when the caller sent none.
    pub request: RequestId,
    /// Whether the caller set the request id.
    pub id_from_caller: bool,
    /// Whether the id is known not to have been sent before.
    pub first_try: bool,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
}

impl CallerHeaders {
    /// Parses the headers; generates a request id when there is none.
    ///
    /// # Errors
    ///
    /// The first header that is missing or invalid.
    pub fn parse(headers: &HeaderMap) -> Result<Self, Error> {
        let key = name(headers, "idempotency-key")?;
        let generated = key.is_none();
        let request = key.map_or_else(generate_id, RequestId::new);
        Ok(Self {
            workspace: WorkspaceName::new(required(headers, "briarbank-workspace")?),
            profile: ProfileName::new(required(headers, "briarbank-profile")?),
            request,
            id_from_caller: !generated,
            first_try: generated || first_try(headers)?,
            content_type: headers
                .get(CONTENT_TYPE)
                .and_then(|v| v.to_str().ok())
                .map(Arc::from),
        })
    }
}

impl CallerHeaders {
    /// Returns the outcome to report for a call that the core has not seen.
    #[must_use]
    pub fn unproven_outcome(&self) -> Outcome {
        if self.first_try {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        }
    }
}

fn generate_id() -> RequestId {
    RequestId::new(&Uuid::now_v7().to_string())
}

fn required<'a>(headers: &'a HeaderMap, header: &'static str) -> Result<&'a str, Error> {
    name(headers, header)?.ok_or(Error::Missing(header))
}

fn name<'a>(headers: &'a HeaderMap, header: &'static str) -> Result<Option<&'a str>, Error> {
    let Some(value) = headers.get(header) else {
        return Ok(None);
    };
    let invalid = Error::Invalid(header);
    let value = value.to_str().map_err(|_error| invalid)?;
    let valid =
        (1..=NAME_BYTES_MAX).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_graphic());
    if valid { Ok(Some(value)) } else { Err(invalid) }
}

fn first_try(headers: &HeaderMap) -> Result<bool, Error> {
    let Some(value) = headers.get("briarbank-try") else {
        return Ok(false);
    };
    let number: Option<u32> = value.to_str().ok().and_then(|v| v.parse().ok());
    match number {
        None | Some(0) => Err(Error::InvalidTry),
        Some(number) => Ok(number == 1),
    }
}
