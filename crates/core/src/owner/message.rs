//! Messages of ownership.

use serde::{Deserialize, Serialize};

use crate::ids::Revision;

/// What nodes tell each other of ownership.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks the receiver to confirm the sender's view.
    Ask {
        /// Host list revision of the sender.
        view: Revision,
        /// Tells answers apart.
        number: u64,
    },
}
