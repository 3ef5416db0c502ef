//! The router daemon for published routes.
//!
//! One thread serves callers, follows the store of published values and
//! exchanges load with peers. All decisions are made by
//! [`briarbank_core::flow`]; what the outside world speaks is behind
//! [`Dialect`].

mod apply;
mod caller;
mod dialect;
mod error;
mod events;
mod gossip;
mod log_lines;
mod operator;
mod reload;
mod run;
mod server;
mod settings;
mod shared;
mod stop;
mod store;
mod sync;
mod wake;

pub use dialect::{
    AnswerHead, AnswerKind, CallHead, Dialect, ForwardContext, Page, Published, StoreRead,
};
pub use error::{DecodeError, Error, HeadError, LoadError};
pub use run::run;
pub use settings::{Addresses, Settings, SettingsSource};
