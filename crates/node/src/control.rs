//! The actor that owns the core, and its handle.
//!
//! It passes events and the time to the core and executes the core's actions
//! in order. The senders bound its mailbox: each call holds a permit, and
//! progress events and ticks are sent only after the previous one was handled.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use briarbank_core::call::Call;
use briarbank_core::ids::{AttemptId, CallId};
use briarbank_core::node::{Event, Node, Origin};
use briarbank_core::router::AttemptEvent;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use crate::Error;
use crate::actions::Actions;
use crate::command::CallCommand;
use crate::dump::Dump;
use crate::progress::Progress;
use crate::view::View;

/// Queued commands of one call's task; its events cannot cause more.
pub(crate) const COMMANDS_MAX: usize = 16;

/// Message to the actor.
pub(crate) enum Message {
    /// An event for the core.
    Event(Event),
    /// A call and its command channel.
    Call {
        call: Call,
        origin: Origin,
        content_key: u64,
        commands: mpsc::Sender<CallCommand>,
    },
    /// Tokens of an attempt reached the caller.
    Progress(Arc<Progress>),
    /// Last check before an attempt is sent.
    ClaimSend {
        call: CallId,
        attempt: AttemptId,
        answer: oneshot::Sender<bool>,
    },
    /// Lets the core process timers.
    Tick(oneshot::Sender<()>),
    /// Confirmed when all earlier messages were handled.
    Flush(oneshot::Sender<()>),
    /// Request for the node's state.
    Dump(oneshot::Sender<Dump>),
}

/// Handle to the actor.
#[derive(Clone, Debug)]
pub(crate) struct Control {
    actor: ActorRef<Message>,
    next_call: Arc<AtomicU64>,
    view: watch::Receiver<Arc<View>>,
}

impl Control {
    /// Starts the actor.
    pub(crate) async fn start(
        node: Node,
        actions: Actions,
    ) -> Result<(Self, JoinHandle<()>), Error> {
        let (view_sender, view) = watch::channel(Arc::default());
        let start = Start {
            node,
            actions,
            view_sender,
        };
        let (actor, joined) = Actor::spawn(None, ControlActor, start)
            .await
            .map_err(Error::Start)?;
        let control = Self {
            actor,
            next_call: Arc::default(),
            view,
        };
        Ok((control, joined))
    }

    /// Returns a new call id.
    pub(crate) fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the node state that the ports need.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Sends an event to the core.
    pub(crate) fn send_event(&self, event: Event) {
        self.send(Message::Event(event));
    }

    /// Sends an event of an attempt to the core.
    pub(crate) fn send_attempt_event(&self, attempt: AttemptId, event: AttemptEvent) {
        self.send_event(Event::Attempt { attempt, event });
    }

    /// Submits a call to the core and returns the receiver of its commands.
    pub(crate) fn submit_call(
        &self,
        call: Call,
        origin: Origin,
        content_key: u64,
    ) -> mpsc::Receiver<CallCommand> {
        let (commands, receiver) = mpsc::channel(COMMANDS_MAX);
        self.send(Message::Call {
            call,
            origin,
            content_key,
            commands,
        });
        receiver
    }

    /// Reports how many tokens of an attempt reached the caller.
    pub(crate) fn report_progress(&self, progress: &Arc<Progress>, tokens: u32) {
        if progress.record_tokens(tokens) {
            self.send(Message::Progress(Arc::clone(progress)));
        }
    }

    /// Claims the permission to send an attempt; false when it must not be sent.
    pub(crate) async fn claim_send(&self, call: CallId, attempt: AttemptId) -> bool {
        let (answer, receiver) = oneshot::channel();
        self.send(Message::ClaimSend {
            call,
            attempt,
            answer,
        });
        receiver.await.unwrap_or(false)
    }

    /// Sends a tick and waits until the core has handled it.
    pub(crate) async fn tick(&self) {
        let (handled, receiver) = oneshot::channel();
        self.send(Message::Tick(handled));
        let _ = receiver.await;
    }

    /// Waits until the actor has handled all earlier messages.
    pub(crate) async fn wait_until_handled(&self) {
        let (handled, receiver) = oneshot::channel();
        self.send(Message::Flush(handled));
        let _ = receiver.await;
    }

    /// Returns the state of the node; `None` when the actor has ended.
    pub(crate) async fn dump(&self) -> Option<Dump> {
        let (answer, receiver) = oneshot::channel();
        self.send(Message::Dump(answer));
        receiver.await.ok()
    }

    /// Stops the actor after the current message.
    pub(crate) fn end(&self) {
        self.actor.stop(None);
    }

    fn send(&self, message: Message) {
        if self.actor.send_message(message).is_err() {
            tracing::debug!("control: message dropped, the actor has ended");
        }
    }
}

struct ControlActor;

struct Start {
    node: Node,
    actions: Actions,
    view_sender: watch::Sender<Arc<View>>,
}

struct State {
    node: Node,
    actions: Actions,
    view_sender: watch::Sender<Arc<View>>,
}

impl Actor for ControlActor {
    type Msg = Message;
    type State = State;
    type Arguments = Start;

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        start: Start,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            node: start.node,
            actions: start.actions,
            view_sender: start.view_sender,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle_message(message);
        Ok(())
    }
}

impl State {
    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Event(event) => self.handle_event(event),
            Message::Call {
                call,
                origin,
                content_key,
                commands,
            } => {
                self.actions.register(call.id, &call.profile, commands);
                self.handle_event(Event::Call {
                    call,
                    origin,
                    content_key,
                });
            }
            Message::Progress(progress) => self.handle_event(progress.take_event()),
            Message::ClaimSend {
                call,
                attempt,
                answer,
            } => {
                let claimed = self.node.claim_send(Instant::now(), call, attempt);
                let _ = answer.send(claimed);
            }
            Message::Tick(handled) => {
                self.handle_event(Event::Tick);
                let _ = handled.send(());
            }
            Message::Flush(handled) => {
                let _ = handled.send(());
            }
            Message::Dump(answer) => {
                let _ = answer.send(self.dump());
            }
        }
    }

    fn handle_event(&mut self, event: Event) {
        let changes_view = matches!(
            event,
            Event::Published { .. } | Event::Peer(_) | Event::Stop
        );
        let tick = matches!(event, Event::Tick);
        let ended = match &event {
            Event::ForwardDone(call) | Event::CallerGone(call) => Some(*call),
            _ => None,
        };
        for action in self.node.handle(Instant::now(), event) {
            self.actions.execute(&self.node, action);
        }
        if let Some(call) = ended {
            self.actions.remove_forwarded(call);
        }
        if changes_view || tick {
            self.publish_view();
        }
    }

    fn dump(&self) -> Dump {
        Dump {
            node: self.node.dump(Instant::now()),
            call_tasks: self.actions.calls(),
            hosts: self.node.hosts().hosts.clone(),
        }
    }

    fn publish_view(&self) {
        self.view_sender.send_if_modified(|view| {
            let new = View::new(&self.node);
            let changed = !view.is_same(&new);
            if changed {
                *view = Arc::new(new);
            }
            changed
        });
    }
}
