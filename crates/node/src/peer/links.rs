//! Links to the peer ports of other nodes, created on demand.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use briarbank_core::ids::HostName;
use briarbank_core::node::Event;
use briarbank_core::peer::Envelope;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::SharedKey;
use super::link::{self, Link, LinkTask};

/// Sender of peer events to the control actor.
pub(crate) type Reports = mpsc::Sender<Event>;

/// All links of this node.
#[derive(Clone, Debug)]
pub(crate) struct Links {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    key: SharedKey,
    links: Mutex<HashMap<HostName, Link>>,
    tasks: TaskTracker,
    end: CancellationToken,
    reports: Reports,
}

impl Links {
    pub(crate) fn new(
        key: SharedKey,
        tasks: TaskTracker,
        end: CancellationToken,
        reports: Reports,
    ) -> Self {
        let inner = Inner {
            key,
            links: Mutex::default(),
            tasks,
            end,
            reports,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    pub(crate) fn key(&self) -> &SharedKey {
        &self.inner.key
    }

    /// Sends a core message; drops it when the link is down or full.
    pub(crate) fn send(&self, to: &HostName, address: SocketAddr, envelope: &Envelope) {
        let framed =
            briarbank_wire::encode(envelope).and_then(|m| briarbank_wire::FrameReader::frame(&m));
        match framed {
            Ok(framed) => self.link(to, address).send(Bytes::from(framed)),
            Err(error) => tracing::error!(host = %to, %error, "peer: encoding a message failed"),
        }
    }

    /// Returns the link to a host, created when there is none to that address.
    pub(crate) fn link(&self, to: &HostName, address: SocketAddr) -> Link {
        let mut links = self
            .inner
            .links
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        links.retain(|_, l| !l.has_ended());
        if let Some(link) = links.get(to).filter(|l| l.address() == address) {
            return link.clone();
        }
        let (link, commands) = link::channel(address);
        let task = LinkTask {
            host: to.clone(),
            address,
            key: self.inner.key.clone(),
            commands,
            end: self.inner.end.clone(),
            reports: self.inner.reports.clone(),
            tasks: self.inner.tasks.clone(),
        };
        self.inner.tasks.spawn(task.run());
        links.insert(to.clone(), link.clone());
        link
    }
}
