//! Failed calls, counted by error type.

use std::collections::BTreeMap;
use std::fmt;

use briarbank_standin::ClientError;
use serde_json::Value;

/// Reason why a call was not answered.
#[derive(Debug)]
pub(crate) enum CallFailure {
    /// The call was refused with an error of this type.
    Refused(String),
    /// The connection failed.
    Broken,
}

impl From<ClientError> for CallFailure {
    fn from(_: ClientError) -> Self {
        Self::Broken
    }
}

/// Returns the type of the error in the body of a refusal.
pub(crate) fn error_type(body: &[u8]) -> String {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    body["error"]["type"]
        .as_str()
        .unwrap_or("no-type")
        .to_owned()
}

/// Number of failed calls by reason.
#[derive(Debug, Default)]
pub(crate) struct Failures(BTreeMap<String, usize>);

impl Failures {
    pub(crate) fn record(&mut self, failure: &CallFailure) {
        let reason = match failure {
            CallFailure::Refused(reason) => reason,
            CallFailure::Broken => "broken",
        };
        *self.0.entry(reason.to_owned()).or_default() += 1;
    }

    pub(crate) fn merge(&mut self, other: Self) {
        for (reason, count) in other.0 {
            *self.0.entry(reason).or_default() += count;
        }
    }
}

impl fmt::Display for Failures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} failed", self.0.values().sum::<usize>())?;
        for (reason, count) in &self.0 {
            write!(f, ", {count} {reason}")?;
        }
        Ok(())
    }
}
