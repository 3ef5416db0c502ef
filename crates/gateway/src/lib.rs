//! The router daemon for published routes.
//!
//! One thread serves callers, watches the store of published values and
//! exchanges heartbeats with peers. All routing decisions are made by
//! [`briarbank_core::flow`]; names and formats of the outside world are
//! behind [`Dialect`].

mod apply;
mod caller;
mod codec;
mod cold_servers;
mod datagram;
mod dialect;
mod error;
mod evacuation;
mod events;
mod freshness;
mod gossip;
mod harmful_prompts;
mod loads;
mod log_lines;
mod notices;
mod operator;
mod pause;
mod relay;
mod reload;
mod run;
mod server;
mod settings;
mod shared;
mod stop;
mod store;
mod streams;
mod sync;
mod usable;

pub use dialect::{
    AnswerHead, AnswerKind, CallHead, Dialect, Events, ForwardContext, Page, Published,
    ServerNotice, StatedLoad, StoreRead, TakenUpStream, ValueRange,
};
pub use error::{DecodeError, Error, HeadError, LoadError};
pub use run::run;
pub use settings::{Addresses, Settings, SettingsSource};
