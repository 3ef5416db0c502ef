//! Messages of ownership.

use serde::{Deserialize, Serialize};

use crate::call::StoredAnswer;
use crate::hosts::HostView;
use crate::ids::{Incarnation, RequestId, Revision};
use crate::owner::handover::Handover;
use crate::owner::promise::Holder;
use crate::owner::slots::Slot;

/// A slot that its owner holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldSlot {
    /// Which slot.
    pub slot: Slot,
    /// Number of times that the sender handed the slot over before.
    #[serde(rename = "stint")]
    pub epoch: u32,
}

/// A slot that its owner does not hold yet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAsk {
    /// Which slot.
    pub slot: Slot,
    /// Number of times that the sender handed the slot over before.
    #[serde(rename = "stint")]
    pub epoch: u32,
    /// Newest host list under which the sender knows a confirmed holder.
    pub settled: Revision,
}

/// What a confirmation of one slot is still bound to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotAck {
    /// Which slot.
    pub slot: Slot,
    /// Holder before the asking one.
    pub previous: Option<Holder>,
    /// Time for which the previous holder may still act.
    pub previous_wait_ms: u64,
    /// Time for which any earlier holder may still act.
    pub earlier_wait_ms: u64,
    /// Newest host list under which a holder of the slot was confirmed.
    pub settled: Revision,
}

/// What is recorded of a request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordState {
    /// Begun; it may have been sent.
    Running,
    /// Completed, with its answer when it is kept.
    Done(Option<StoredAnswer>),
    /// Sent, and the answer was lost.
    Lost,
    /// Surely not run; the id may be used again.
    NotRun,
}

/// One request id with what is recorded of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The id.
    pub request: RequestId,
    /// Hash of the request's content.
    pub content_key: u64,
    /// Tells two uses of the same id apart.
    pub stamp: u64,
    /// Age of the record.
    pub age_ms: u64,
    /// What is known.
    pub state: RecordState,
}

/// What nodes tell each other of ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks a committee member to confirm the sender's slots.
    Ask {
        /// Host list revision of the sender.
        view: Revision,
        /// Tells answers apart.
        number: u64,
        /// Slots that the sender holds.
        held: Vec<HeldSlot>,
        /// Slots that the sender owns by its list and does not hold yet.
        wanted: Vec<SlotAsk>,
    },
    /// Confirms all slots of an [`Message::Ask`].
    Ack {
        /// Number of the request.
        number: u64,
        /// Wall clock of the sender, in milliseconds since 1970.
        wall_ms: u64,
        /// Host lists that the sender knows, oldest first.
        views: Vec<Revision>,
        /// Slots with something to tell; the others are bound to nothing else.
        slots: Vec<SlotAck>,
    },
    /// The receiver's host list differs, or the sender has not joined yet.
    Nack {
        /// Host list revision of the sender.
        view: Revision,
    },
    /// Asks for a host list.
    ViewAsk(Revision),
    /// A host list.
    View(HostView),
    /// Asks, after a start, which host list the receiver has.
    Hello {
        /// Host list revision of the sender.
        view: Revision,
        /// Process of the sender, to be repeated in the answer.
        process: Incarnation,
    },
    /// Answers [`Message::Hello`].
    Here {
        /// Host list revision of the sender.
        view: Revision,
        /// Whether the sender has joined.
        joined: bool,
        /// Process that asked.
        process: Incarnation,
    },
    /// Records of a slot for its new owner.
    Handover(Handover),
    /// All parts of a handover have come.
    HandoverAck {
        /// Which slot.
        slot: Slot,
        /// Host list revision of the handover.
        view: Revision,
    },
    /// News of a request that was running when its slot was handed over.
    Update {
        /// Which slot.
        slot: Slot,
        /// The record.
        record: Record,
    },
}
