//! Messages between nodes about ownership of request ids.

use serde::{Deserialize, Serialize};

use crate::call::StoredAnswer;
use crate::hosts::HostView;
use crate::ids::{Incarnation, RequestId, Revision};
use crate::owner::handover::Handover;
use crate::owner::promise::Holder;
use crate::owner::slots::Slot;

/// A slot that the sender holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlot {
    /// The slot.
    pub slot: Slot,
    /// Number of times that the sender has handed the slot over.
    #[serde(rename = "stint")]
    pub epoch: u32,
}

/// A slot that the sender owns by its host list but does not hold yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAsk {
    /// The slot.
    pub slot: Slot,
    /// Number of times that the sender has handed the slot over.
    #[serde(rename = "stint")]
    pub epoch: u32,
    /// Newest host list under which the sender knows a confirmed holder.
    pub settled: Revision,
}

/// Confirmation of one slot, with what the sender knows of earlier holders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAck {
    /// The slot.
    pub slot: Slot,
    /// Holder before the requesting one.
    pub previous: Option<Holder>,
    /// Time for which the previous holder may still act.
    pub previous_wait_ms: u64,
    /// Time for which any earlier holder may still act.
    pub earlier_wait_ms: u64,
    /// Newest host list under which a holder of the slot was confirmed.
    pub settled: Revision,
}

/// Recorded state of a request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// Started; the call may have been sent.
    Running,
    /// Completed, with its answer if it is stored.
    Done(Option<StoredAnswer>),
    /// Sent, but the answer was lost.
    Lost,
    /// Certainly not run; the id may be used again.
    NotRun,
}

/// Record of one request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The id.
    pub request: RequestId,
    /// Hash of the request's content.
    pub content_key: u64,
    /// Distinguishes two uses of the same id.
    pub stamp: u64,
    /// Age of the record.
    pub age_ms: u64,
    /// State of the call.
    pub state: RecordState,
}

/// Message between nodes about ownership of request ids.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a committee member to confirm the sender as holder of its slots.
    Ask {
        /// Host list revision of the sender.
        view: Revision,
        /// Number of this request, repeated in its answer.
        number: u64,
        /// Slots that the sender holds.
        held: Vec<HeldSlot>,
        /// Slots that the sender owns by its host list but does not hold yet.
        wanted: Vec<SlotAsk>,
    },
    /// Confirms all slots of a [`Message::Ask`].
    Ack {
        /// Number of the request.
        number: u64,
        /// Wall clock of the sender, in milliseconds since 1970.
        wall_ms: u64,
        /// Older host lists that the sender knows, oldest first.
        views: Vec<Revision>,
        /// Slots with earlier holders or a newer `settled` than asked with.
        ///
        /// The confirmations of all other slots are unbound.
        slots: Vec<SlotAck>,
    },
    /// Refuses to confirm: host lists differ, or the sender has not joined yet.
    Nack {
        /// Host list revision of the sender.
        view: Revision,
    },
    /// Asks for an older host list.
    ViewAsk(Revision),
    /// An older host list, as asked for by [`Message::ViewAsk`].
    View(HostView),
    /// Asks, after a start, for the revision of the receiver's host list.
    Hello {
        /// Host list revision of the sender.
        view: Revision,
        /// Process of the sender, repeated in the answer.
        process: Incarnation,
    },
    /// Answers [`Message::Hello`].
    Here {
        /// Host list revision of the sender.
        view: Revision,
        /// Whether the sender has joined.
        joined: bool,
        /// Process that sent the [`Message::Hello`].
        process: Incarnation,
    },
    /// One part of a slot's records, sent to its new owner.
    Handover(Handover),
    /// Confirms that all parts of a handover were received.
    HandoverAck {
        /// The slot.
        slot: Slot,
        /// Host list revision of the handover.
        view: Revision,
    },
    /// Outcome of a call that was running when its slot was handed over.
    Update {
        /// The slot.
        slot: Slot,
        /// The record.
        record: Record,
    },
}
