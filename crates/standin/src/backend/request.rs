//! Access to headers and query parameters of a request.

use http::{Request, Uri};

/// Returns the value of a header as text.
pub(crate) fn header<'r, B>(request: &'r Request<B>, name: &str) -> Option<&'r str> {
    request.headers().get(name)?.to_str().ok()
}

/// Query of a URI: `name=value` pairs without percent-encoding.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Query<'u>(&'u str);

impl<'u> Query<'u> {
    pub(crate) fn from_uri(uri: &'u Uri) -> Self {
        Self(uri.query().unwrap_or(""))
    }

    /// Returns the number under this name.
    pub(crate) fn number(self, name: &str) -> Option<u64> {
        let pairs = self.0.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
        value.parse().ok()
    }
}
