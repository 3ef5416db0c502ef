//! Processes that servers run under their names, one after the other.

use std::sync::Arc;

use crate::flow::dispatch::Dispatcher;
use crate::flow::instance::Instance;
use crate::ids::ServerName;

impl Dispatcher {
    /// Returns the process that a server is listed with.
    #[must_use]
    pub fn listed(&self, server: &ServerName) -> Option<Arc<Instance>> {
        let entry = self.servers.get(server)?;
        Some(Arc::clone(&entry.instance))
    }

    /// Returns whether the process is the one that its server is listed with.
    ///
    /// What another process says does not concern the listed one.
    #[must_use]
    pub fn is_listed(&self, instance: &Instance) -> bool {
        let listed = self.servers.get(&instance.id);
        listed.is_some_and(|entry| entry.instance.born_ms == instance.born_ms)
    }
}
