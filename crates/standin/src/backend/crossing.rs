//! Exchange of two answers.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::oneshot;

use super::control::locked;

/// Longest wait for the second call of an exchange.
const PARTNER_TIMEOUT: Duration = Duration::from_secs(5);

/// What makes an answer that of one attempt.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Attempt id that the answer carries.
    pub(crate) attempt: Arc<str>,
    /// Hash that its content follows from.
    pub(crate) hash: u64,
}

struct Partner {
    identity: Identity,
    reply: oneshot::Sender<Identity>,
}

/// Meeting point of two calls whose answers are exchanged.
#[derive(Default)]
pub(crate) struct Crossing(Mutex<Option<Partner>>);

/// Step of one call at the meeting point.
enum Step {
    Exchanged(Identity),
    Wait(oneshot::Receiver<Identity>),
}

impl Crossing {
    /// Exchanges the identity with the next other call that comes here.
    ///
    /// Without one within the bound the call keeps its own.
    pub(crate) async fn exchange(&self, own: Identity) -> Identity {
        match self.meet(&own) {
            Step::Exchanged(other) => other,
            Step::Wait(reply) => match tokio::time::timeout(PARTNER_TIMEOUT, reply).await {
                Ok(Ok(other)) => other,
                _ => own,
            },
        }
    }

    fn meet(&self, own: &Identity) -> Step {
        let mut waiting = locked(&self.0);
        if let Some(partner) = waiting.take() {
            // A partner that gave up has dropped its receiver.
            if partner.reply.send(own.clone()).is_ok() {
                return Step::Exchanged(partner.identity);
            }
        }
        let (reply, receiver) = oneshot::channel();
        *waiting = Some(Partner {
            identity: own.clone(),
            reply,
        });
        Step::Wait(receiver)
    }
}
