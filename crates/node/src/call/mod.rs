//! Lifecycle of a call, from its arrival to its answer.

mod answer;
mod calls;
mod inbound;
mod meter;
mod reply;
mod task;

pub(crate) use answer::Answer;
pub(crate) use calls::{CallContext, Calls};
pub(crate) use inbound::Inbound;
pub(crate) use meter::Meter;
pub(crate) use reply::{Reply, ReplyAnswer, ReplyBody};
