//! Callers: their connections, calls and answers.

mod attempt;
mod body;
mod exchange;
mod flight;
mod guard;
mod outcome;
mod port;
mod record;
mod request;
mod stream;

pub(crate) use port::CallerPort;
