//! A call as received from a caller or another node.

use std::sync::Arc;
use std::time::Instant;

use briarbank_core::call::Call;
use briarbank_core::node::Origin;
use briarbank_core::rendezvous;
use briarbank_net::Place;
use briarbank_wire::CallHead;
use bytes::Bytes;

/// A call and the request for its server.
#[derive(Clone, Debug)]
pub(crate) struct Inbound {
    /// Call as the core sees it.
    pub(crate) call: Call,
    /// Origin of the call: a caller or another node.
    pub(crate) origin: Origin,
    /// HTTP method.
    pub(crate) method: Arc<str>,
    /// Path and query for the server.
    pub(crate) path: Arc<str>,
    /// Content type of the body.
    pub(crate) content_type: Option<Arc<str>>,
    /// Whether the caller wants server-sent events.
    pub(crate) streamed: bool,
    /// Body for the server.
    pub(crate) body: Bytes,
    /// Place of the connection or forwarded call, which holds the answer as well.
    pub(crate) place: Arc<Place>,
}

impl Inbound {
    /// Returns a hash of the target, method, path and body.
    pub(crate) fn content_key(&self) -> u64 {
        let parts = [
            self.call.target.as_str().as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ];
        // Length prefixes keep requests distinct that differ only in part boundaries.
        let mut hashed = Vec::new();
        for part in parts {
            hashed.extend_from_slice(&(part.len() as u64).to_le_bytes());
            hashed.extend_from_slice(&rendezvous::key(part).to_le_bytes());
        }
        rendezvous::key(&hashed)
    }

    /// Returns the call's head for forwarding to another node.
    pub(crate) fn head(&self, from: &briarbank_core::ids::HostName) -> CallHead {
        let age = Instant::now().saturating_duration_since(self.call.received);
        CallHead {
            from: from.clone(),
            request: self.call.request.clone(),
            profile: self.call.profile.clone(),
            workspace: self.call.workspace.clone(),
            target: self.call.target.clone(),
            method: Arc::clone(&self.method),
            path: Arc::clone(&self.path),
            content_type: self.content_type.clone(),
            streamed: self.streamed,
            prefix_key: self.call.prefix_key,
            max_tokens: self.call.max_tokens,
            first_try: self.call.first_try,
            age_ms: age.as_millis() as u64,
        }
    }
}
