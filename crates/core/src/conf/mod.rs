//! Published values: adoption and replication between nodes.
//!
//! The platform is the only writer, so that revisions are totally ordered
//! numbers. A value is adopted only if its revision is higher than the adopted
//! one and it decodes; it never reverts to an older one.
//!
//! [`Replicator`] decides which nodes read the platform and how values reach
//! the others. [`AdoptedValues`] holds the adopted documents, and changes are
//! sent as a [`Delta`]. The caller delivers messages and reads the platform.
//!
//! A starting node compares its values with its peers' before a value comes
//! into force. A node that reaches no peer can't know of values newer than
//! those the platform returns; a node whose peers reported a newer value waits
//! until it has that value.

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
