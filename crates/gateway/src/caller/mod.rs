//! Callers' connections, calls and answers.

mod answer_buffer;
mod attempt;
mod attempt_guard;
mod body;
mod call_record;
mod continuity;
mod exchange;
mod guard;
mod outcome;
mod port;
mod request;
mod stream;

pub(crate) use answer_buffer::AnswerMemory;
pub(crate) use port::CallerPort;
