//! The actor that owns the node's decisions, and the handle to it.
//!
//! It feeds the core with events and the time, and hands the core's actions
//! to the tasks that carry them out, in their order. Its mailbox is bounded
//! by its senders: calls hold a permit, progress and ticks are sent again
//! only after the last one was taken.

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
use crate::dump::Dump;
use crate::order::Order;
use crate::progress::Progress;
use crate::view::View;

/// Orders that can wait for one call's task; more can't follow from its events.
pub(crate) const ORDERS_MAX: usize = 16;

/// What the actor is sent.
pub(crate) enum Message {
    /// News for the core.
    Event(Event),
    /// A call, and where its orders go.
    Call {
        call: Call,
        origin: Origin,
        content_key: u64,
        orders: mpsc::Sender<Order>,
    },
    /// Tokens of an attempt reached the caller.
    Progress(Arc<Progress>),
    /// Last question before an attempt is sent.
    MaySend {
        call: CallId,
        attempt: AttemptId,
        answer: oneshot::Sender<bool>,
    },
    /// Time passed.
    Tick(oneshot::Sender<()>),
    /// Answered when all earlier messages were taken.
    Settle(oneshot::Sender<()>),
    /// The state is asked for.
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
        let (publish, view) = watch::channel(Arc::default());
        let start = Start {
            node,
            actions,
            publish,
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

    /// A fresh call id.
    pub(crate) fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    /// What the ports need to know of the node's state.
    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.borrow())
    }

    /// Tells the core news.
    pub(crate) fn event(&self, event: Event) {
        self.send(Message::Event(event));
    }

    /// Tells the core what happened to an attempt.
    pub(crate) fn attempt(&self, attempt: AttemptId, event: AttemptEvent) {
        self.event(Event::Attempt { attempt, event });
    }

    /// Hands a call to the core; its orders come back on the receiver.
    pub(crate) fn call(
        &self,
        call: Call,
        origin: Origin,
        content_key: u64,
    ) -> mpsc::Receiver<Order> {
        let (orders, receiver) = mpsc::channel(ORDERS_MAX);
        self.send(Message::Call {
            call,
            origin,
            content_key,
            orders,
        });
        receiver
    }

    /// Tells the core how many tokens of an attempt reached the caller.
    pub(crate) fn progress(&self, progress: &Arc<Progress>, tokens: u32) {
        if progress.reach(tokens) {
            self.send(Message::Progress(Arc::clone(progress)));
        }
    }

    /// Whether an attempt may be sent now.
    pub(crate) async fn may_send(&self, call: CallId, attempt: AttemptId) -> bool {
        let (answer, receiver) = oneshot::channel();
        self.send(Message::MaySend {
            call,
            attempt,
            answer,
        });
        receiver.await.unwrap_or(false)
    }

    /// Lets the core see the time; returns when it has.
    pub(crate) async fn tick(&self) {
        let (taken, receiver) = oneshot::channel();
        self.send(Message::Tick(taken));
        let _ = receiver.await;
    }

    /// Returns when the actor has taken all that was sent before.
    pub(crate) async fn settle(&self) {
        let (taken, receiver) = oneshot::channel();
        self.send(Message::Settle(taken));
        let _ = receiver.await;
    }

    /// State of the node; `None` when the actor has ended.
    pub(crate) async fn dump(&self) -> Option<Dump> {
        let (answer, receiver) = oneshot::channel();
        self.send(Message::Dump(answer));
        receiver.await.ok()
    }

    /// Ends the actor after what it is doing.
    pub(crate) fn end(&self) {
        self.actor.stop(None);
    }

    fn send(&self, message: Message) {
        if self.actor.send_message(message).is_err() {
            tracing::debug!("control: message after the actor's end");
        }
    }
}

struct ControlActor;

struct Start {
    node: Node,
    actions: Actions,
    publish: watch::Sender<Arc<View>>,
}

struct State {
    node: Node,
    actions: Actions,
    publish: watch::Sender<Arc<View>>,
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
            publish: start.publish,
        })
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        state.take(message);
        Ok(())
    }
}

impl State {
    fn take(&mut self, message: Message) {
        match message {
            Message::Event(event) => self.handle(event),
            Message::Call {
                call,
                origin,
                content_key,
                orders,
            } => {
                self.actions.register(call.id, &call.profile, orders);
                self.handle(Event::Call {
                    call,
                    origin,
                    content_key,
                });
            }
            Message::Progress(progress) => self.handle(progress.take()),
            Message::MaySend {
                call,
                attempt,
                answer,
            } => {
                let may = self.node.claim_send(Instant::now(), call, attempt);
                let _ = answer.send(may);
            }
            Message::Tick(taken) => {
                self.handle(Event::Tick);
                let _ = taken.send(());
            }
            Message::Settle(taken) => {
                let _ = taken.send(());
            }
            Message::Dump(answer) => {
                let _ = answer.send(self.dump());
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let publishes = matches!(
            event,
            Event::Published { .. } | Event::Peer(_) | Event::Stop
        );
        let tick = matches!(event, Event::Tick);
        let ended = match &event {
            Event::ForwardDone(call) | Event::CallerGone(call) => Some(*call),
            _ => None,
        };
        for action in self.node.handle(Instant::now(), event) {
            self.actions.carry_out(&self.node, action);
        }
        if let Some(call) = ended {
            self.actions.forwarded_ended(call);
        }
        if publishes || tick {
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
        self.publish.send_if_modified(|view| {
            let new = View::new(&self.node);
            let changed = !view.same(&new);
            if changed {
                *view = Arc::new(new);
            }
            changed
        });
    }
}
