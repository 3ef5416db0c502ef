//! Ownership of request ids that must not run twice.
//!
//! Request ids are hashed into [`SLOT_COUNT`] slots. The host list gives each
//! slot one owner and a committee by rendezvous hashing, so that all nodes
//! with the same list agree on both. An owner decides on calls only while it
//! holds the slot's lease: a majority of the committee has confirmed it within
//! the lease time. A committee member reports to a new owner for how long it
//! is still bound to an earlier one, and the new owner waits for that time.
//!
//! An owner's records begin when its lease term begins, or earlier if the
//! previous owner handed its records over. Ids that may have been used before
//! the records begin are refused until the retry window has passed; an id with
//! a later creation time (`UUIDv7`) runs at once. A later owner refuses every
//! id that an earlier one may have started, so a call that its owner has
//! started may be sent even after the lease has expired.
//!
//! The caller delivers the messages, which may be lost, duplicated, delayed or
//! reordered, and calls [`Owner::tick`] regularly.

mod clock;
mod confirm;
mod decide;
mod handover;
mod hello;
mod join;
mod lease;
mod message;
mod options;
mod promise;
mod records;
mod renewal;
mod slots;
mod state;
mod transfer;

pub use clock::WallClock;
pub use decide::Decision;
pub use handover::Handover;
pub use message::{HeldSlot, Message, Record, RecordState, SlotAck, SlotAsk};
pub use options::Options;
pub use promise::{Grant, Holder, Promises};
pub use records::{Lookup, Records};
pub use slots::{SLOT_COUNT, Slot, SlotMap, slot_of};
pub use state::{Dump, Owner, OwnerLocation};
