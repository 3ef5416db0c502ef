//! Implementation of the subcommands of the command line.
//!
//! The binary parses the arguments and exits with the code of the error; the
//! router, the stand-ins and the decoding of settings are separate crates.

mod check;
mod check_report;
mod config_check;
mod demo;
mod dump;
mod error;
mod explain;
mod gateway;
mod load;
mod logs;
mod operator;
mod publish;
mod run;
mod signal;
mod table;

pub use check::{FilesToCheck, check};
pub use demo::{DemoError, demo};
pub use dump::{ProcessKind, drain, dump};
pub use error::{EXIT_FAILED, EXIT_INVALID, EXIT_UNREACHABLE, EXIT_USAGE, Error};
pub use explain::explain;
pub use gateway::{GatewayOptions, gateway};
pub use load::{compare, load};
pub use logs::init_logs;
pub use operator::OperatorPort;
pub use publish::DocumentFiles;
pub use run::{engine, node, platform, service};
pub use table::render_tables;
