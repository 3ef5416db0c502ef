//! Offline checks of a configuration, and its comparison with the version in force.
//!
//! Each published form of the configuration is translated into a
//! [`ConfigView`]. [`check_config`] finds entries that can never match and
//! limits that contradict each other, [`compare`] lists the differences between
//! two versions and tells which of them cut callers off. The crate does no I/O.

mod compare;
mod entries;
mod finding;
mod key;
mod limits;
mod names;
mod product;
mod regions;
mod route_changes;
mod surroundings;
mod view;

pub use compare::{Change, Subject, check_version, compare};
pub use finding::{Finding, Severity, add_lines, findings_of};
pub use key::Key;
pub use names::FieldNames;
pub use product::view_of_product;
pub use surroundings::{ServerView, Surroundings};
pub use view::{
    ConfigView, LimitView, Property, RouteView, Selector, ServiceView, SplitView, WorkspaceView,
};

use finding::Findings;

/// Checks a configuration, alone and against what is known of its surroundings.
///
/// The findings are in a fixed order and have no lines; see [`add_lines`].
#[must_use]
pub fn check_config(view: &ConfigView, surroundings: &Surroundings) -> Vec<Finding> {
    let mut findings = Findings::default();
    entries::check_entries(view, &mut findings);
    limits::check_limits(view, &mut findings);
    regions::check_regions(view, &mut findings);
    surroundings::check_surroundings(view, surroundings, &mut findings);
    findings.into_vec()
}
