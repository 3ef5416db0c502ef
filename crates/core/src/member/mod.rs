//! Membership of hosts, from the published host list and gossip.
//!
//! [`Members`] combines the published host list, which lags, with gossip
//! between nodes. Each node probes its next few successors on a ring with a
//! SWIM failure detector: a host is suspected before it is declared dead, and
//! a suspected host refutes by incrementing its round. Updates are piggybacked
//! on probes and pushed to a bounded number of peers. Announcements of leaving
//! servers are disseminated in the same manner.
//!
//! Membership is eventually consistent: it is good enough for load balancing
//! and for dividing limits, but does not decide which node owns a request id.
//! The caller delivers the messages.
//!
//! Source: Das, Gupta and Motivala, "SWIM: Scalable weakly-consistent
//! infection-style process group membership protocol", 2002.

mod detect;
mod gossip;
mod leaving_servers;
mod members;
mod message;
mod options;
mod probe;
mod record;
mod rumor;
mod status;

pub use members::{Members, Output};
pub use message::{Message, Status, Update};
pub use options::Options;
