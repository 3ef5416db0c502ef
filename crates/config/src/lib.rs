//! Settings of the programs and documents that the platform publishes.
//!
//! Both are JSON with comments and are processed alike: the text is parsed into
//! a tree with line numbers, the tree is deserialized into a typed value, and
//! the value is validated against the rules of its type. All faults of a text
//! are reported at once, each with its line, its field, what was found and what
//! is allowed.

mod checker;
mod de;
mod decode;
mod document;
mod error;
mod fault;
mod field;
mod fleet;
mod mismatch;
mod node;
mod standin;
mod tree;

pub use checker::{Checker, Validate};
pub use decode::{SIZE_LIMIT_BYTES, lines_of, load, parse, read, validate};
pub use document::{
    ConfigDocument, DocumentDecoder, HostsDocument, ServersDocument, parse_config, parse_hosts,
    parse_servers,
};
pub use error::{Error, FileError};
pub use fault::Fault;
pub use field::FieldPath;
pub use fleet::{check_node, check_servers};
pub use node::{Limits, NodeSettings};
pub use standin::{EngineSettings, PlatformSettings, ServiceSettings};
