//! Tests of the router.

mod bench;
mod decisions;
