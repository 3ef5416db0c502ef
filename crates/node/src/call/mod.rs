//! Lifecycle of a call, from its arrival to its answer.

mod answer;
mod calls;
mod inbound;
mod meter;
mod pending;
mod reply;
mod running;
mod task;
mod transcript;

pub(crate) use answer::Answer;
pub(crate) use calls::{CallContext, Calls};
pub(crate) use inbound::Inbound;
pub(crate) use meter::{Meter, SentMark};
pub(crate) use reply::{Reply, ReplyAnswer, ReplyBody};
pub(crate) use transcript::{ResumePoint, Transcript};
