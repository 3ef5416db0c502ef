//! What the stand-ins of backend servers have in common.

mod control;
mod crossing;
mod fencing;
mod gate;
mod load;
mod request;
mod switches;

pub(crate) use control::{locked, merge};
pub(crate) use crossing::Identity;
pub(crate) use gate::{Gate, not_run};
pub(crate) use request::{Query, header};
pub use switches::{ReportedLoad, Switches};
