//! Calls to model engines and plain services.

mod attempt;
mod pool;
mod request;
mod sse;
mod stream;
mod token;

pub(crate) use attempt::{AttemptEnd, AttemptRun, Upstream};
pub(crate) use pool::Pool;
