//! Starts the task of each call.

use std::sync::Arc;
use std::time::Duration;

use briarbank_config::Limits;
use briarbank_core::call::{Outcome, Reason, Refusal};
use briarbank_core::ids::{CallId, HostName};
use tokio::sync::Semaphore;
use tokio_util::task::TaskTracker;

use super::reply;
use super::task::CallTask;
use super::{Answer, Inbound, Reply};
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
    host: HostName,
    control: Control,
    links: Links,
    pool: Pool,
    tasks: TaskTracker,
    permits: Arc<Semaphore>,
    limits: Limits,
}

impl Calls {
    pub(crate) fn new(
        host: HostName,
        control: Control,
        links: Links,
        pool: Pool,
        tasks: TaskTracker,
        limits: Limits,
    ) -> Self {
        let permits = Arc::new(Semaphore::new(limits.calls));
        let shared = Shared {
            host,
            control,
            links,
            pool,
            tasks,
            permits,
            limits,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// A fresh call id.
    pub(crate) fn next_call(&self) -> CallId {
        self.shared.control.next_call()
    }

    /// Largest body of a call.
    pub(crate) fn body_limit(&self) -> usize {
        self.shared.limits.body_bytes
    }

    /// Runs a call; dropping the future says that the caller is gone.
    pub(crate) async fn run(&self, inbound: Inbound) -> Reply {
        let shared = &self.shared;
        let unproven = inbound.call.unproven();
        let Ok(permit) = Arc::clone(&shared.permits).try_acquire_owned() else {
            return refusal(Reason::QueueFull, unproven);
        };
        let (sender, receiver, gone) = reply::channel();
        let orders = shared.control.call(
            inbound.call.clone(),
            inbound.origin.clone(),
            inbound.content_key(),
        );
        let task = CallTask {
            host: shared.host.clone(),
            control: shared.control.clone(),
            links: shared.links.clone(),
            pool: shared.pool.clone(),
            answer: Answer::new(sender, shared.limits.answer_bytes),
            inbound,
            orders,
            gone,
        };
        shared.tasks.spawn(async move {
            task.run().await;
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
