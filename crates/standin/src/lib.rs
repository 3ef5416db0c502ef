//! Small stand-ins for the systems around the router, and the load generator.
//!
//! Each stand-in implements the published protocol of the system it replaces
//! and exposes failure switches under `/control` on the same port. A stand-in
//! serves until its shutdown future completes, then joins all of its tasks.

mod backend;
mod engine;
mod error;
mod http;
mod load;
mod platform;
mod service;

pub use backend::{ReportedLoad, Switches};
pub use engine::{answer_hash, answer_length, answer_token, prompt_hash, start_engine};
pub use error::Error;
pub use http::{Answer, Client, ClientError, StandinHandle};
pub use load::{
    AnswerCheck, AnswerFault, Arrival, Arrivals, AuditResult, Burst, ClassResult, Comparison,
    LoadClass, LoadError, LoadPlan, LoadResult, Progress, Quantiles, run_load,
};
pub use platform::{PlatformSwitches, StaleValue, start_platform};
pub use service::start_service;
