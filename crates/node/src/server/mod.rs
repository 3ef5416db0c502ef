//! Calls to model engines and plain services.

mod body;
mod exchange;
mod head;
mod pool;
mod relay;
mod request;
mod sse;
mod stream;
mod token;

pub(crate) use exchange::{Accepted, Exchange, Upstream};
pub use head::{NotRun, ServerHead};
pub(crate) use pool::Pool;
pub(crate) use relay::{AttemptEnd, Relay};
pub use sse::{Error as EventError, EventReader, ServerEvent};
pub use stream::{AnswerStream, StreamEnd, StreamPart};
