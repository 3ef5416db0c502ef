//! Published values: adoption and spread between nodes.
//!
//! The platform is the only writer, so that a revision is a number. A value
//! is adopted only when its revision is higher than the adopted one and it
//! decodes; nothing brings an older one back.
//!
//! [`Spread`] decides which nodes read the platform and how the others learn
//! what was read. [`Log`] holds what is in force, [`Delta`] is the form in
//! which changes travel. The caller carries messages and reads the platform.
//!
//! A starting node compares with its peers before a value comes into force.
//! One that reaches no peer can't know of newer values than the platform
//! gives it; one whose peers told of a newer value waits until it has it.

mod adoption;
mod delta;
mod exchange;
mod history;
mod log;
mod message;
mod options;
mod readers;
mod schedule;
mod settling;
mod source;
mod spread;

pub use delta::{DOCUMENT_BYTES_MAX, Delta, Edit};
pub use log::{Adopted, Documents, Log, Refused};
pub use message::{Digest, Key, Message};
pub use options::Options;
pub use spread::{Output, Spread};
