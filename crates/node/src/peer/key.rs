//! Shared key that authenticates nodes and operators.

use std::fmt;
use std::sync::Arc;

use http::HeaderMap;
use http::header::{AUTHORIZATION, HeaderValue};
use subtle::ConstantTimeEq;

/// The shared key, as the value of the authorization header.
#[derive(Clone)]
pub(crate) struct SharedKey(Arc<str>);

impl SharedKey {
    pub(crate) fn new(key: &str) -> Self {
        Self(Arc::from(format!("Bearer {key}")))
    }

    /// Returns whether the headers carry the key, compared in constant time.
    pub(crate) fn authorizes(&self, headers: &HeaderMap) -> bool {
        let presented = headers
            .get(AUTHORIZATION)
            .map_or(&b""[..], HeaderValue::as_bytes);
        bool::from(presented.ct_eq(self.0.as_bytes()))
    }

    /// Returns the header value that carries the key.
    pub(crate) fn header(&self) -> Option<HeaderValue> {
        HeaderValue::from_str(&self.0).ok()
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey")
    }
}
