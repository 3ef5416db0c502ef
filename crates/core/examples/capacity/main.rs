//! Measures what control and routing cost at several sizes, and prints the tables.
//!
//! `cargo run --release -p briarbank-core --example capacity`

mod beats;
mod control;
mod documents;
mod entry;
mod fit;
mod memory;
mod owner;
#[path = "../../tests/recovery_fleet/mod.rs"]
mod recovery_fleet;

fn main() {
    memory::print();
    control::print_idle();
    control::print_changes();
    control::print_zone();
    owner::print();
    documents::print();
    entry::print();
    beats::print();
}
