//! Neutral view of a configuration.

use std::fmt;

use briarbank_config::FieldPath;
use briarbank_core::flow::RouteKind;
use briarbank_core::ids::{RegionName, ServiceName};

use crate::key::Key;
use crate::names::FieldNames;

/// A configuration as nodes take it, with the paths of its fields.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    /// Names of the fields in the published form.
    pub names: FieldNames,
    /// Version, `None` if the form has none.
    pub version: Option<u64>,
    /// Routes, or classes of calls in a form without routes.
    pub routes: Vec<RouteView>,
    /// Services that calls are routed to.
    pub services: Vec<ServiceView>,
    /// Workspaces.
    pub workspaces: Vec<WorkspaceView>,
    /// Whether calls need keys.
    pub checks_keys: bool,
    /// Bounds on what callers may send.
    pub limits: Vec<LimitView>,
}

impl ConfigView {
    /// Returns the path of a route.
    pub(crate) fn route_path(&self, index: usize) -> FieldPath {
        FieldPath::default().field(self.names.routes).index(index)
    }

    /// Returns the path of a service.
    pub(crate) fn service_path(&self, index: usize) -> FieldPath {
        FieldPath::default().field(self.names.services).index(index)
    }

    /// Returns the path of a workspace.
    pub(crate) fn workspace_path(&self, index: usize) -> FieldPath {
        FieldPath::default()
            .field(self.names.workspaces)
            .index(index)
    }
}

/// Host name and path prefix of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Selector {
    /// Host name.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
}

impl Selector {
    /// Returns whether all calls of `other` match this selector too.
    pub(crate) fn covers(&self, other: &Self) -> bool {
        self.host == other.host && other.prefix.starts_with(&self.prefix)
    }
}

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.host, self.prefix)
    }
}

/// A field that is compared but takes no part in a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Property {
    /// What the field says, in words.
    pub name: &'static str,
    /// Value as text.
    pub value: String,
}

impl Property {
    /// Creates a property from a value.
    pub fn new(name: &'static str, value: impl fmt::Display) -> Self {
        Self {
            name,
            value: value.to_string(),
        }
    }
}

/// A route.
#[derive(Clone, Debug)]
pub struct RouteView {
    /// Name given by the operator.
    pub name: String,
    /// Host and prefix, `None` in a form in which callers name the class of a call.
    pub selector: Option<Selector>,
    /// Kind of the calls, or the text that names no kind.
    pub kind: Result<RouteKind, String>,
    /// Longest time until the complete answer, in milliseconds.
    pub timeout_ms: u64,
    /// Latency objective, in milliseconds.
    pub target_ms: u64,
    /// Latency objective between events, in milliseconds.
    pub gap_ms: Option<u64>,
    /// Parts of the traffic, `None` in a form in which callers name the service.
    pub splits: Option<Vec<SplitView>>,
    /// Largest number of attempts as written, `None` if unset.
    pub attempts_max: Option<u32>,
    /// Whether calls are accepted without a key.
    pub is_public: bool,
    /// Regions whose servers may get the calls, `None` for all.
    pub allowed_regions: Option<Vec<RegionName>>,
    /// Guaranteed share of the capacity.
    pub share_ratio: Option<f64>,
    /// Other fields.
    pub properties: Vec<Property>,
}

/// A part of a route's traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitView {
    /// Path of the part below the route, `None` if the route has one service.
    pub index: Option<usize>,
    /// Service that gets the part.
    pub service: ServiceName,
    /// Weight as nodes take it.
    pub weight: u32,
    /// Whether nodes lower the weight to the largest that they can hold.
    pub is_clamped: bool,
}

/// A service.
#[derive(Clone, Debug)]
pub struct ServiceView {
    /// Name.
    pub name: ServiceName,
    /// Other fields.
    pub properties: Vec<Property>,
}

/// A workspace.
#[derive(Clone, Debug)]
pub struct WorkspaceView {
    /// Name.
    pub name: String,
    /// Keys, `None` in a form without keys.
    pub keys: Option<Vec<Key>>,
    /// Regions whose servers may get its calls, `None` for all.
    pub allowed_regions: Option<Vec<RegionName>>,
    /// Other fields.
    pub properties: Vec<Property>,
}

impl WorkspaceView {
    /// Returns its keys.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &Key> {
        self.keys.iter().flatten()
    }
}

/// A bound on what callers may send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitView {
    /// Name of the field in the published form.
    pub field: &'static str,
    /// What is bounded, in words.
    pub name: &'static str,
    /// Value.
    pub value: u64,
}
