//! Stand-ins of the third review: a store, servers, clients and the start of routers.
//!
//! Only the standard library is used. All addresses are loopback addresses.

pub mod http;
pub mod record;
pub mod router;
pub mod server;
pub mod store;
pub mod streams;

use std::time::Duration;

/// Returns whether the disruption is to be played.
#[must_use]
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits until a condition holds; false after the timeout.
pub fn wait_until(timeout: Duration, mut is_met: impl FnMut() -> bool) -> bool {
    let begin = std::time::Instant::now();
    while begin.elapsed() < timeout {
        if is_met() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    is_met()
}
