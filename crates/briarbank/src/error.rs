//! Errors of the subcommands and their exit codes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use briarbank_core::flow::HEDGE_RATIO_MAX;
use http::StatusCode;
use quick_error::quick_error;

/// Exit code for all other failures.
pub const EXIT_FAILED: u8 = 1;
/// Exit code for wrong arguments.
pub const EXIT_USAGE: u8 = 2;
/// Exit code for invalid settings or documents.
pub const EXIT_INVALID: u8 = 3;
/// Exit code when a process can't be reached or refuses the key.
pub const EXIT_UNREACHABLE: u8 = 4;

quick_error! {
    /// Error of a subcommand.
    #[derive(Debug)]
    pub enum Error {
        /// No subcommand was given.
        NoCommand {
            display("a subcommand is required; see `briarbank --help`")
        }
        /// `check` was called without files.
        NothingToCheck {
            display("name at least one file to check; see `briarbank check --help`")
        }
        /// `check` was called with a file or value that needs another file.
        CheckUsage(what: &'static str) {
            display("{what}; see `briarbank check --help`")
        }
        /// The log filter can't be parsed.
        LogFilter(error: tracing_subscriber::filter::ParseError) {
            source(error)
            display("--log: {error}; a level such as info or a filter such as briarbank_node=debug is allowed")
        }
        /// Settings or documents are invalid.
        Config(error: briarbank_config::FileError) {
            source(error)
            display("{error}")
            from()
        }
        /// A stand-in can't run.
        Standin(error: briarbank_standin::Error) {
            source(error)
            display("{error}")
            from()
        }
        /// A log file can't be read.
        LogRead(path: PathBuf, error: io::Error) {
            source(error)
            display("{}: can't be read: {error}", path.display())
        }
        /// No log line mentions the request.
        UnknownRequest(id: String) {
            display("request {id} is in none of the logs; is a log of each node given?")
        }
        /// The ratio of hedges is out of its range.
        HedgeRatio(ratio: f64) {
            display("--hedge-ratio {ratio}: must be from 0 to {HEDGE_RATIO_MAX}")
        }
        /// A gateway can't run.
        Gateway(error: briarbank_gateway::Error) {
            source(error)
            display("{error}")
            from()
        }
        /// The platform's settings can't be used.
        Platform(error: briarbank_platform::SettingsError) {
            source(error)
            display("{error}")
            from()
        }
        /// A node can't run.
        Node(error: briarbank_node::Error) {
            source(error)
            display("{error}")
            from()
        }
        /// A task panicked or was cancelled.
        Task(error: tokio::task::JoinError) {
            source(error)
            display("a task failed: {error}")
            from()
        }
        /// The demo failed.
        Demo(error: crate::demo::DemoError) {
            source(error)
            display("{error}")
            from()
        }
        /// A load plan can't be run.
        Load(error: briarbank_standin::LoadError) {
            source(error)
            display("{error}")
            from()
        }
        /// A file with the result of a load can't be read.
        ResultRead(path: PathBuf, error: io::Error) {
            source(error)
            display("{}: can't be read: {error}", path.display())
        }
        /// A file holds no result of a load.
        ResultJson(path: PathBuf, error: serde_json::Error) {
            source(error)
            display("{}: found no result of `briarbank load --json`: {error}", path.display())
        }
        /// `check` found invalid files and printed their faults.
        Invalid(files: usize) {
            display("invalid files: {files}")
        }
        /// Writing output or starting the runtime failed.
        Io(error: io::Error) {
            source(error)
            display("input or output failed: {error}")
            from()
        }
        /// A call to another process failed.
        Call(address: SocketAddr, error: briarbank_standin::ClientError) {
            source(error)
            display("{address} gave no answer: {error}")
        }
        /// An operator port did not answer within the timeout.
        Timeout(address: SocketAddr) {
            display("{address} gave no answer in time")
        }
        /// An operator port answered with an error.
        Status(address: SocketAddr, status: StatusCode) {
            display("{address} answered {status}{}", hint(*status))
        }
        /// A response from an address, or a document for it, is not valid JSON.
        InvalidJson(address: SocketAddr, error: serde_json::Error) {
            source(error)
            display("{address}: the response or the document to publish is not valid JSON: {error}")
        }
        /// The shared key can't be sent in a header.
        InvalidKey(path: Arc<str>) {
            display("{path}: field shared_key: only visible ASCII characters are allowed")
        }
    }
}

impl Error {
    /// Whether the reader closed the output, which is not a failure.
    #[must_use]
    pub fn is_closed_output(&self) -> bool {
        matches!(self, Self::Io(error) if error.kind() == io::ErrorKind::BrokenPipe)
    }

    /// Exit code of the process.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::NoCommand
            | Self::NothingToCheck
            | Self::CheckUsage(_)
            | Self::HedgeRatio(_)
            | Self::LogFilter(_) => EXIT_USAGE,
            Self::Config(_)
            | Self::Platform(_)
            | Self::Invalid(_)
            | Self::InvalidKey(_)
            | Self::ResultRead(..)
            | Self::ResultJson(..) => EXIT_INVALID,
            Self::Call(..) | Self::Timeout(_) | Self::Status(..) => EXIT_UNREACHABLE,
            _ => EXIT_FAILED,
        }
    }
}

fn hint(status: StatusCode) -> &'static str {
    match status {
        StatusCode::UNAUTHORIZED => "; --settings names a file with the shared key",
        StatusCode::NOT_FOUND => "; is this an operator port, or a stand-in that needs --standin?",
        _ => "",
    }
}
