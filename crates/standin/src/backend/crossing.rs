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

#[derive(Default)]
enum State {
    #[default]
    Off,
    Armed,
    Waiting(Partner),
}

/// Meeting point of two calls whose answers are exchanged.
#[derive(Default)]
pub(crate) struct Crossing(Mutex<State>);

/// Step of one call at the meeting point.
enum Step {
    Own,
    Exchanged(Identity),
    Wait(oneshot::Receiver<Identity>),
}

impl Crossing {
    /// Makes the next two calls exchange their answers, or no longer so.
    pub(crate) fn arm(&self, armed: bool) {
        let mut state = locked(&self.0);
        match (armed, &*state) {
            (true, State::Off) => *state = State::Armed,
            // A call that waits for its partner goes on waiting.
            (true, _) => {}
            (false, _) => *state = State::Off,
        }
    }

    /// Whether two calls are still to exchange their answers.
    pub(crate) fn is_armed(&self) -> bool {
        !matches!(*locked(&self.0), State::Off)
    }

    /// The identity to answer with.
    ///
    /// A call that finds no partner within the bound keeps its own.
    pub(crate) async fn exchange(&self, own: Identity) -> Identity {
        match self.meet(&own) {
            Step::Own => own,
            Step::Exchanged(other) => other,
            Step::Wait(reply) => match tokio::time::timeout(PARTNER_TIMEOUT, reply).await {
                Ok(Ok(other)) => other,
                _ => own,
            },
        }
    }

    fn meet(&self, own: &Identity) -> Step {
        let mut state = locked(&self.0);
        match std::mem::take(&mut *state) {
            State::Off => return Step::Own,
            State::Armed => {}
            State::Waiting(partner) => {
                // A partner that gave up has dropped its receiver.
                if partner.reply.send(own.clone()).is_ok() {
                    return Step::Exchanged(partner.identity);
                }
            }
        }
        let (reply, receiver) = oneshot::channel();
        *state = State::Waiting(Partner {
            identity: own.clone(),
            reply,
        });
        Step::Wait(receiver)
    }
}
