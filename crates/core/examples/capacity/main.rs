//! Prints tables of the cost of control and routing at several fleet sizes.
//!
//! `cargo run --release -p briarbank-core --example capacity`

mod control;
mod documents;
mod fit;
mod heartbeats;
mod memory;
mod owner;
#[path = "../../tests/recovery_fleet/mod.rs"]
mod recovery_fleet;
mod routing;

fn main() {
    memory::print();
    control::print_idle();
    control::print_changes();
    control::print_zone();
    owner::print();
    documents::print();
    routing::print();
    heartbeats::print();
}
