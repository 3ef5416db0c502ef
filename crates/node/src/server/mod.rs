//! Calls to model engines and plain services.

mod attempt;
mod body;
mod head;
mod pool;
mod request;
mod sse;
mod stream;
mod token;

pub(crate) use attempt::{AttemptEnd, AttemptRun, Upstream};
pub use head::{NotRun, ServerHead};
pub(crate) use pool::Pool;
pub use sse::{Error as EventError, EventReader, ServerEvent};
pub use stream::{AnswerStream, StreamEnd, StreamPart};
