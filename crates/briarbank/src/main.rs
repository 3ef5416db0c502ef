//! Command line of briarbank.
fn main() {}
