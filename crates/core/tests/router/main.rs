//! Tests of the router.

mod bench;
mod decisions;
mod faults;
mod history;
mod properties;
mod shares;
