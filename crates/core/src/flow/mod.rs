//! Routed traffic: which service a call is for, and which server takes it.
//!
//! A call names a host name and a path; the published routes give it a
//! service, time limits and a tier. [`Dispatcher`] chooses the server, with
//! what this node and its peers have in flight, and refuses what can't be
//! answered in time. Work is counted in tokens where the service is a model.
//!
//! Left to the caller: sockets, timers, and telling the dispatcher how each
//! attempt went.

mod backlog;
mod call;
mod choice;
mod dispatch;
mod instance;
mod message;
mod mirror;
mod options;
mod peers;
mod prefix_cache;
mod prefix_rates;
mod prompt_time;
mod recent;
mod retry_budget;
mod route;
mod server;
mod table;

pub use backlog::Load;
pub use call::{AttemptId, Call, Fault, Placement, Prompt, Refusal};
pub use dispatch::Dispatcher;
pub use instance::Instance;
pub use message::{Heartbeat, HeartbeatEntry, ServerLoad};
pub use mirror::{Change, Delta, Mirror, Removal};
pub use options::Options;
pub use peers::{PeerOptions, PeerView, Peers};
pub use prompt_time::PromptTime;
pub use retry_budget::{RetryOptions, SlidingRetryBudget};
pub use route::{
    EngineSpec, RequestLimits, Route, RouteConfig, RouteKind, ServiceSpec, Split, WorkspaceEntry,
};
pub use table::RouteTable;
