//! What the ports need to know of the node's state.

use std::sync::Arc;

use briarbank_core::catalog::Catalog;
use briarbank_core::ids::ProfileName;
use briarbank_core::node::Node;

/// State of the node as of its last change.
#[derive(Debug, Default)]
pub(crate) struct View {
    /// Whether the node can serve callers.
    pub(crate) ready: bool,
    /// Configuration in force.
    pub(crate) catalog: Option<Arc<Catalog>>,
}

impl View {
    pub(crate) fn new(node: &Node) -> Self {
        Self {
            ready: node.ready(),
            catalog: node.catalog().cloned(),
        }
    }

    /// Whether nothing has changed, by the identity of the configuration.
    pub(crate) fn same(&self, other: &Self) -> bool {
        let catalog = match (&self.catalog, &other.catalog) {
            (Some(a), Some(b)) => Arc::ptr_eq(a, b),
            (None, None) => true,
            _ => false,
        };
        self.ready == other.ready && catalog
    }

    /// Whether requests of a known profile may be run more than once.
    pub(crate) fn idempotent(&self, profile: &ProfileName) -> Option<bool> {
        let catalog = self.catalog.as_ref()?;
        Some(catalog.profile(profile)?.idempotent)
    }
}
