//! Event queue of the simulation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Instant;

use briarbank_core::call::{Dispatch, Outcome};
use briarbank_core::ids::{AttemptId, CallId, Incarnation};
use briarbank_core::peer::Envelope;
use briarbank_core::router::AttemptEvent;

use super::IncomingCall;

/// A scheduled event.
#[derive(Clone, Debug)]
pub(crate) enum Scheduled {
    /// Tick of a node.
    Tick(usize),
    /// A node reads the platform.
    Read(usize),
    /// A message between cores arrives.
    Message { to: usize, envelope: Envelope },
    /// A forwarded call arrives.
    Forwarded {
        to: usize,
        incoming: IncomingCall,
        first_try: bool,
    },
    /// The answer of a forwarded call arrives.
    Reply {
        to: usize,
        call: CallId,
        outcome: Outcome,
    },
    /// A forwarded call gets no answer.
    ForwardTimeout {
        host: usize,
        incarnation: Incarnation,
        call: CallId,
    },
    /// An attempt is handed to its connection.
    Send {
        host: usize,
        incarnation: Incarnation,
        dispatch: Dispatch,
    },
    /// The service runs an attempt.
    Run {
        host: usize,
        incarnation: Incarnation,
        attempt: AttemptId,
        request: usize,
    },
    /// The service's answer arrives.
    Answer {
        host: usize,
        incarnation: Incarnation,
        attempt: AttemptId,
        request: usize,
        event: AttemptEvent,
    },
}

impl Scheduled {
    /// Returns the host whose process handles it and must not be paused.
    pub(crate) fn host(&self) -> Option<usize> {
        match *self {
            Self::Tick(host)
            | Self::Read(host)
            | Self::Message { to: host, .. }
            | Self::Forwarded { to: host, .. }
            | Self::Reply { to: host, .. }
            | Self::ForwardTimeout { host, .. }
            | Self::Send { host, .. }
            | Self::Answer { host, .. } => Some(host),
            Self::Run { .. } => None,
        }
    }
}

/// Queue of events, ordered by time and then by insertion.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    order: BinaryHeap<Reverse<(Instant, u64)>>,
    items: BTreeMap<u64, Scheduled>,
    next: u64,
}

impl Queue {
    /// Adds an event that is due at `time`.
    pub(crate) fn push(&mut self, time: Instant, scheduled: Scheduled) {
        self.next += 1;
        self.order.push(Reverse((time, self.next)));
        self.items.insert(self.next, scheduled);
    }

    /// Removes the next event that is due no later than `end`.
    pub(crate) fn pop_until(&mut self, end: Instant) -> Option<(Instant, Scheduled)> {
        let Reverse((time, _)) = self.order.peek()?;
        if *time > end {
            return None;
        }
        let Reverse((time, number)) = self.order.pop()?;
        let scheduled = self.items.remove(&number)?;
        Some((time, scheduled))
    }
}
