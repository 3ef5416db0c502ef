//! Small stand-ins for the systems outside the router, and the load tool.
//!
//! Each stand-in speaks the published protocol of what it replaces and has
//! failure switches on the same port under `/control`. They serve until their
//! shutdown future completes and join every task that they started.

mod backend;
mod engine;
mod error;
mod http;
mod load;
mod platform;
mod service;

pub use backend::{ReportedLoad, Switches};
pub use engine::{answer_length, answer_token, prompt_hash, start_engine};
pub use error::Error;
pub use http::{Answer, Client, ClientError, StandinHandle};
pub use load::{
    AnswerCheck, Arrival, Arrivals, AuditResult, Burst, ClassResult, Comparison, Fault, LoadClass,
    LoadError, LoadPlan, LoadResult, Progress, Quantiles, load,
};
pub use platform::{PlatformSwitches, StaleValue, start_platform};
pub use service::start_service;
