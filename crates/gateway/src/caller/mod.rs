//! Callers' connections, calls and answers.

mod activity;
mod answer_buffer;
mod attempt;
mod attempt_end;
mod attempt_guard;
mod body;
mod call_record;
mod continuity;
mod exchange;
mod framing;
mod hedge;
mod in_flight;
mod outcome;
mod pending;
mod port;
mod received;
mod request;
mod silence;
mod stream;

pub(crate) use in_flight::CallCount;
pub(crate) use port::CallerPort;
