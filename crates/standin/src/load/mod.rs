//! Open-loop load tool.
//!
//! Arrivals follow a fixed seed and don't wait for answers; latencies count
//! from the intended start of a call. Calls are repeated as callers do: with
//! the same request id, at the next entry host, when the answer says. Each
//! answer is checked for completeness and identity. It only calls addresses
//! of the loopback interface, for a bounded count and time.

mod arrivals;
mod audit;
mod caller;
mod check;
mod class_stats;
mod compare;
mod content;
mod error;
mod events;
mod outcome;
mod plan;
mod progress;
mod result;
mod run;
mod table;

pub use arrivals::{Arrival, Arrivals};
pub use check::{AnswerCheck, AnswerFault};
pub use compare::Comparison;
pub use error::LoadError;
pub use plan::{Burst, LoadClass, LoadPlan};
pub use progress::Progress;
pub use result::{AuditResult, ClassResult, LoadResult, Quantiles};
pub use run::run_load;
