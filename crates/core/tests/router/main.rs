//! Tests of the router.

mod bench;
mod decisions;
mod history;
mod properties;
mod shares;
