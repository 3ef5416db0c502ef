//! Names of the fields of a published form.

/// Names that a published form gives to the fields of a configuration.
///
/// Findings name the path of a field in the document that was checked. A name
/// is empty if the form has no such field.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FieldNames {
    /// Number of the version.
    pub version: &'static str,
    /// List of routes.
    pub routes: &'static str,
    /// List of services.
    pub services: &'static str,
    /// List of workspaces.
    pub workspaces: &'static str,
    /// Bounds on what callers may send.
    pub limits: &'static str,
    /// Name of a route, service or workspace.
    pub name: &'static str,
    /// Host name of a route.
    pub host: &'static str,
    /// Path prefix of a route.
    pub prefix: &'static str,
    /// Kind of a route.
    pub kind: &'static str,
    /// Time limit of a route.
    pub timeout: &'static str,
    /// Latency objective of a route.
    pub target: &'static str,
    /// Latency objective between events.
    pub gap: &'static str,
    /// Service of a route or of a part of its traffic.
    pub service: &'static str,
    /// Parts of a route's traffic.
    pub splits: &'static str,
    /// Weight of a part.
    pub weight: &'static str,
    /// Largest number of attempts.
    pub attempts: &'static str,
    /// Regions of a route or workspace.
    pub regions: &'static str,
    /// Keys of a workspace.
    pub keys: &'static str,
}
