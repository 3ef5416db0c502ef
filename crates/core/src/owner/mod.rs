//! Which node may run a request that may not be repeated.
//!
//! Request ids are hashed into [`SLOT_COUNT`] slots. The host list gives each
//! slot one owner and a committee by rendezvous hashing, so that all nodes
//! with the same list name the same ones. The owner decides on calls only
//! while a majority of the committee has confirmed it within the lease time.
//! A committee member tells a new owner how long it is still bound to an
//! earlier one, and the new owner waits for that.
//!
//! An owner's records begin when its lease term begins, or earlier when the
//! previous owner handed its records over. Ids that may have been used before
//! the records begin are refused as unknown for the retry window; an id that
//! carries a later birth time (`UUIDv7`) runs at once. Since a later owner
//! refuses every id that an earlier one may have begun, a call that was begun
//! by its owner can be sent after the lease has run out, too.
//!
//! What it leaves to its caller: delivery of messages, which may be lost,
//! doubled, delayed and reordered, and a tick.

mod ask;
mod clock;
mod confirm;
mod decide;
mod greet;
mod handover;
mod join;
mod lease;
mod message;
mod options;
mod promise;
mod records;
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
