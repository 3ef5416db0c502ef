//! Which hosts and servers are up, by the platform's list and by peers' news.

mod message;

pub use message::{Message, News};
