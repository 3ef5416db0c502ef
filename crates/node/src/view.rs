//! Node state that the ports read.

use std::sync::Arc;

use briarbank_core::catalog::Catalog;
use briarbank_core::ids::ProfileName;
use briarbank_core::node::Node;

/// Snapshot of the node state that the ports read.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Whether the node can serve callers.
    pub(crate) ready: bool,
    /// Current configuration.
    pub(crate) catalog: Option<Arc<Catalog>>,
}

impl View {
    pub(crate) fn new(node: &Node) -> Self {
        Self {
            ready: node.ready(),
            catalog: node.catalog().cloned(),
        }
    }

    /// Returns whether both are equal, comparing configurations by identity.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        let catalog = match (&self.catalog, &other.catalog) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (None, None) => true,
            _ => false,
        };
        self.ready == other.ready && catalog
    }

    /// Returns whether requests of a known profile are idempotent.
    pub(crate) fn idempotent(&self, profile: &ProfileName) -> Option<bool> {
        let catalog = self.catalog.as_ref()?;
        Some(catalog.profile(profile)?.idempotent)
    }
}
