//! Tests of the router.

mod decisions;
mod faults;
mod harness;
mod history;
mod properties;
mod shares;
mod silence;
