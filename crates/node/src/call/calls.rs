//! Starts the task of each call.

use std::sync::Arc;
use std::time::Duration;

use briarbank_config::Limits;
use briarbank_core::call::{Outcome, Reason, Refusal};
use briarbank_core::ids::{CallId, HostName};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::reply;
use super::task::CallTask;
use super::{Answer, Inbound, Meter, Reply};
use crate::control::Control;
use crate::peer::Links;
use crate::server::Pool;

/// When callers that found the node full are asked to come back.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Takes calls, from callers and from other nodes.
#[derive(Clone, Debug)]
pub(crate) struct Calls {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    parts: CallParts,
    permits: Arc<Semaphore>,
}

/// What calls use of the node.
#[derive(Debug)]
pub(crate) struct CallParts {
    pub(crate) host: HostName,
    pub(crate) control: Control,
    pub(crate) links: Links,
    pub(crate) pool: Pool,
    /// Owner of the calls' tasks.
    pub(crate) tasks: TaskTracker,
    /// Cuts the calls that are in flight when the time of a stop is over.
    pub(crate) cut: CancellationToken,
    pub(crate) limits: Limits,
}

impl Calls {
    pub(crate) fn new(parts: CallParts) -> Self {
        let permits = Arc::new(Semaphore::new(parts.limits.calls));
        let shared = Shared { parts, permits };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// A fresh call id.
    pub(crate) fn next_call(&self) -> CallId {
        self.shared.parts.control.next_call()
    }

    /// Largest body of a call.
    pub(crate) fn body_limit(&self) -> usize {
        self.shared.parts.limits.body_bytes
    }

    /// Runs a call; dropping the future says that the caller is gone.
    pub(crate) async fn run(&self, inbound: Inbound) -> Reply {
        let parts = &self.shared.parts;
        let permits = Arc::clone(&self.shared.permits);
        let Ok(permit) = permits.try_acquire_owned() else {
            return refusal(Reason::QueueFull, inbound.call.unproven_outcome());
        };
        let view = parts.control.view();
        let known = view.idempotent(&inbound.call.profile).is_some();
        let (sender, receiver, gone) = reply::channel();
        let orders = parts.control.call(
            inbound.call.clone(),
            inbound.origin.clone(),
            inbound.content_key(),
        );
        let task = CallTask {
            host: parts.host.clone(),
            control: parts.control.clone(),
            links: parts.links.clone(),
            pool: parts.pool.clone(),
            answer: Answer::new(sender, parts.limits.answer_bytes),
            meter: Meter::new(&inbound.call, known),
            told_gone: false,
            inbound,
            orders,
            gone,
        };
        // A token of its own: the shared one has a lock that all calls would poll.
        let cut = parts.cut.child_token();
        parts.tasks.spawn(async move {
            task.run(&cut).await;
            drop(permit);
        });
        let reply = receiver.reply().await;
        reply.unwrap_or_else(|| refusal(Reason::Stopping, Outcome::Unknown))
    }
}

fn refusal(reason: Reason, outcome: Outcome) -> Reply {
    Reply::Refusal(Refusal {
        reason,
        outcome,
        retry_after: FULL_RETRY_AFTER,
    })
}
