//! Calls that were not answered, by reason.

use std::collections::BTreeMap;
use std::fmt;

use briarbank_standin::ClientError;
use serde_json::Value;

/// Why a call was not answered.
#[derive(Debug)]
pub(crate) enum Failed {
    /// Refused, with the type of the error.
    Refused(String),
    /// The connection broke.
    Broken,
}

impl From<ClientError> for Failed {
    fn from(_: ClientError) -> Self {
        Self::Broken
    }
}

/// Type of the error in a refusal's body.
pub(crate) fn reason(body: &[u8]) -> String {
    let body: Value = serde_json::from_slice(body).unwrap_or_default();
    body["error"]["type"]
        .as_str()
        .unwrap_or("no-type")
        .to_owned()
}

/// Failed calls, counted by reason.
#[derive(Debug, Default)]
pub(crate) struct Failures(BTreeMap<String, usize>);

impl Failures {
    pub(crate) fn note(&mut self, failed: &Failed) {
        let reason = match failed {
            Failed::Refused(reason) => reason,
            Failed::Broken => "broken",
        };
        *self.0.entry(reason.to_owned()).or_default() += 1;
    }

    pub(crate) fn add(&mut self, other: Self) {
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
