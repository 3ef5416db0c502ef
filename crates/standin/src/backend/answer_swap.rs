//! Swap of two answers, as by a faulty server.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::oneshot;

use super::control::locked;

/// Maximum time for which the first call waits for the second.
const PARTNER_TIMEOUT: Duration = Duration::from_secs(5);

/// Attempt and content of an answer.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    /// Attempt id that the answer carries.
    pub(crate) attempt: Arc<str>,
    /// Hash that the content is derived from.
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

/// Swaps the answers of the next two calls when armed.
#[derive(Default)]
pub(crate) struct AnswerSwap(Mutex<State>);

/// Result of looking for a second call.
enum Search {
    Own,
    Swapped(Identity),
    Wait(oneshot::Receiver<Identity>),
}

impl AnswerSwap {
    /// Arms or disarms the swap of the next two answers.
    pub(crate) fn set_armed(&self, armed: bool) {
        let mut state = locked(&self.0);
        match (armed, &*state) {
            (true, State::Off) => *state = State::Armed,
            // A call that waits for a partner continues to wait.
            (true, _) => {}
            (false, _) => *state = State::Off,
        }
    }

    /// Returns whether a swap is pending.
    pub(crate) fn is_armed(&self) -> bool {
        !matches!(*locked(&self.0), State::Off)
    }

    /// Returns the identity to answer with.
    ///
    /// A call that finds no partner in time keeps its own identity.
    pub(crate) async fn swap_answers(&self, own: Identity) -> Identity {
        match self.find_partner(&own) {
            Search::Own => own,
            Search::Swapped(other) => other,
            Search::Wait(reply) => match tokio::time::timeout(PARTNER_TIMEOUT, reply).await {
                Ok(Ok(other)) => other,
                _ => own,
            },
        }
    }

    fn find_partner(&self, own: &Identity) -> Search {
        let mut state = locked(&self.0);
        match std::mem::take(&mut *state) {
            State::Off => return Search::Own,
            State::Armed => {}
            State::Waiting(partner) => {
                // A partner that timed out has dropped its receiver.
                if partner.reply.send(own.clone()).is_ok() {
                    return Search::Swapped(partner.identity);
                }
            }
        }
        let (reply, receiver) = oneshot::channel();
        *state = State::Waiting(Partner {
            identity: own.clone(),
            reply,
        });
        Search::Wait(receiver)
    }
}
