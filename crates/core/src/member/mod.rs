//! Which hosts take part, by the platform's list and by peers' news.
//!
//! [`Members`] joins the published host list, which lags, with what nodes
//! tell each other. Each node watches the next few hosts on a ring by probes
//! in the manner of SWIM: suspicion comes before death, and a suspected host
//! objects by counting up its round. News rides on probes and is pushed to a
//! bounded number of peers. Signs that a server is leaving travel the same
//! way.
//!
//! It is a belief, fit for balancing and for dividing limits. It does not
//! decide who owns a request id. The caller carries the messages.
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
