//! Common code of the stand-ins for backend servers.

mod answer_swap;
mod control;
mod fencing;
mod gate;
mod lagged_load;
mod request;
mod switches;

pub(crate) use answer_swap::Identity;
pub(crate) use control::{locked, merge};
pub(crate) use gate::{Gate, not_run};
pub(crate) use request::{Query, header};
pub use switches::{ReportedLoad, Switches};
