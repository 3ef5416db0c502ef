//! Settings of the programs and documents that the platform publishes.

mod document;
mod settings;

pub use document::{Published, parse_config, parse_hosts, parse_servers};
pub use settings::{
    EngineSettings, Error, Limits, NodeSettings, PlatformSettings, ServiceSettings, parse,
};
