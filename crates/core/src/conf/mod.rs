//! Published values: adoption and spread between nodes.
//!
//! The platform is the only writer, so that a revision is a number. A value
//! is adopted only when its revision is higher than the adopted one and it
//! decodes; nothing brings an older one back.
//!
//! [`Replicator`] decides which nodes read the platform and how the others learn
//! what was read. [`AdoptedValues`] holds what is in force, [`Delta`] is the form in
//! which changes travel. The caller carries messages and reads the platform.
//!
//! A starting node compares with its peers before a value comes into force.
//! One that reaches no peer can't know of newer values than the platform
//! gives it; one whose peers told of a newer value waits until it has it.

mod adopted_values;
mod adoption;
mod delta;
mod exchange;
mod history;
mod message;
mod options;
mod readers;
mod replicator;
mod schedule;
mod source;
mod startup_sync;

pub use adopted_values::{Adopted, AdoptedValues, Documents, InvalidDocument, Refused};
pub use delta::{DOCUMENT_BYTES_MAX, Delta, Edit};
pub use message::{Digest, Key, Message};
pub use options::Options;
pub use replicator::{Output, Replicator};
