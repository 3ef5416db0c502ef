//! Open-loop load tool.
//!
//! Arrivals follow from a seed and don't wait for answers; latency counts from
//! the intended start of a call. A call is retried with the same request id at
//! the next entry host, after the delay that the answer asks for. Each answer
//! is checked for completeness and identity. The tool only calls loopback
//! addresses, and bounds the number of calls and the duration.

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
