//! Starts the task of each call.

use std::sync::Arc;
use std::time::Duration;

use briarbank_config::Limits;
use briarbank_core::call::{Outcome, Reason, Refusal};
use briarbank_core::ids::{CallId, HostName};
use briarbank_net::Admission;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::reply;
use super::task::CallTask;
use super::{Answer, Inbound, Meter, Reply};
use crate::control::Control;
use crate::log_gate::LogGate;
use crate::peer::Links;
use crate::server::Pool;

/// Retry delay for callers whose call the node could not run.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Runs calls from callers and other nodes.
#[derive(Clone, Debug)]
pub(crate) struct Calls {
    shared: Arc<SharedState>,
}

#[derive(Debug)]
struct SharedState {
    context: CallContext,
    permits: Arc<Semaphore>,
    admission: Admission,
    log_gate: LogGate,
}

/// Parts of the node that calls use.
#[derive(Debug)]
pub(crate) struct CallContext {
    pub(crate) host: HostName,
    pub(crate) control: Control,
    pub(crate) links: Links,
    pub(crate) pool: Pool,
    /// Tracks the calls' tasks.
    pub(crate) tasks: TaskTracker,
    /// Aborts the calls in flight when the drain timeout has passed.
    pub(crate) abort: CancellationToken,
    pub(crate) limits: Limits,
}

impl Calls {
    pub(crate) fn new(context: CallContext) -> Self {
        let permits = Arc::new(Semaphore::new(context.limits.calls));
        let admission = Admission::new(context.limits.caller_bounds());
        let shared = SharedState {
            context,
            permits,
            admission,
            log_gate: LogGate::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Returns a new call id.
    pub(crate) fn next_call(&self) -> CallId {
        self.shared.context.control.next_call()
    }

    /// Returns the bounds on what callers and forwarded calls hold together.
    pub(crate) fn admission(&self) -> &Admission {
        &self.shared.admission
    }

    /// Returns the limit on log lines about callers that fill the node.
    pub(crate) fn log_gate(&self) -> &LogGate {
        &self.shared.log_gate
    }

    /// Returns the size limit of a call's body, in bytes.
    pub(crate) fn body_limit(&self) -> usize {
        self.shared.context.limits.body_bytes
    }

    /// Runs a call; dropping the future signals that the caller is gone.
    pub(crate) async fn run(&self, inbound: Inbound) -> Reply {
        let context = &self.shared.context;
        let permits = Arc::clone(&self.shared.permits);
        let Ok(permit) = permits.try_acquire_owned() else {
            return refusal(Reason::QueueFull, inbound.call.unproven_outcome());
        };
        let view = context.control.view();
        let known = view.idempotent(&inbound.call.profile).is_some();
        let (sender, receiver, gone) = reply::channel();
        let commands = context.control.submit_call(
            inbound.call.clone(),
            inbound.origin.clone(),
            inbound.content_key(),
        );
        let task = CallTask {
            host: context.host.clone(),
            control: context.control.clone(),
            links: context.links.clone(),
            pool: context.pool.clone(),
            answer: Answer::new(sender, context.limits.answer_bytes, &inbound.place),
            meter: Meter::new(&inbound.call, known),
            gone_reported: false,
            inbound,
            commands,
            gone,
        };
        // A child token, because all calls would contend for the lock of a shared one.
        let abort = context.abort.child_token();
        context.tasks.spawn(async move {
            task.run(&abort).await;
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
