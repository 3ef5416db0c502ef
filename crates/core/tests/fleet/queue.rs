//! What is due, by time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Instant;

use briarbank_core::call::{Dispatch, Outcome};
use briarbank_core::ids::{AttemptId, CallId, Incarnation};
use briarbank_core::peer::Envelope;
use briarbank_core::router::AttemptEvent;

use super::Arrived;

/// Something that is due.
#[derive(Clone, Debug)]
pub(crate) enum Due {
    /// Tick of a node.
    Tick(usize),
    /// A node reads the platform.
    Read(usize),
    /// A message between cores arrives.
    Message { at: usize, envelope: Envelope },
    /// A forwarded call arrives; the last field tells whether it is a first try.
    Forwarded {
        at: usize,
        arrived: Arrived,
        call: bool,
    },
    /// The answer of a forwarded call arrives.
    Reply {
        at: usize,
        call: CallId,
        outcome: Outcome,
    },
    /// A forwarded call gets no answer.
    ForwardTimeout {
        at: usize,
        incarnation: Incarnation,
        call: CallId,
    },
    /// An attempt is handed to its connection.
    Send {
        at: usize,
        incarnation: Incarnation,
        dispatch: Dispatch,
    },
    /// The service runs an attempt.
    Run {
        at: usize,
        incarnation: Incarnation,
        attempt: AttemptId,
        request: usize,
    },
    /// The service's answer arrives.
    Answer {
        at: usize,
        incarnation: Incarnation,
        attempt: AttemptId,
        request: usize,
        event: AttemptEvent,
    },
}

impl Due {
    /// The node that has to be awake for it.
    pub(crate) fn place(&self) -> Option<usize> {
        match *self {
            Self::Tick(at)
            | Self::Read(at)
            | Self::Message { at, .. }
            | Self::Forwarded { at, .. }
            | Self::Reply { at, .. }
            | Self::ForwardTimeout { at, .. }
            | Self::Send { at, .. }
            | Self::Answer { at, .. } => Some(at),
            Self::Run { .. } => None,
        }
    }
}

/// Queue by time, then by order of insertion.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    order: BinaryHeap<Reverse<(Instant, u64)>>,
    items: BTreeMap<u64, Due>,
    next: u64,
}

impl Queue {
    /// Adds something that is due at a time.
    pub(crate) fn push(&mut self, at: Instant, due: Due) {
        self.next += 1;
        self.order.push(Reverse((at, self.next)));
        self.items.insert(self.next, due);
    }

    /// The next that is due no later than `end`.
    pub(crate) fn pop_until(&mut self, end: Instant) -> Option<(Instant, Due)> {
        let Reverse((at, _)) = self.order.peek()?;
        if *at > end {
            return None;
        }
        let Reverse((at, number)) = self.order.pop()?;
        let due = self.items.remove(&number)?;
        Some((at, due))
    }
}
