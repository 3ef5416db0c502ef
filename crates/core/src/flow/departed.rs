//! Servers that have said that they leave.

use std::collections::{HashSet, VecDeque};

use crate::flow::instance::Instance;
use crate::ids::ServerName;

/// Servers that are remembered; the oldest ones are forgotten first.
const SERVERS_MAX: usize = 4_096;

/// Name and start of a server's process.
type Process = (ServerName, u64);

/// Processes that leave for good, also after their entries are removed and return.
#[derive(Debug, Default)]
pub(crate) struct DepartedServers {
    processes: HashSet<Process>,
    order: VecDeque<Process>,
}

impl DepartedServers {
    pub(crate) fn record(&mut self, instance: &Instance) {
        let process = (instance.id.clone(), instance.born_ms);
        if !self.processes.insert(process.clone()) {
            return;
        }
        self.order.push_back(process);
        if self.order.len() > SERVERS_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.processes.remove(&oldest);
        }
    }

    pub(crate) fn contains(&self, instance: &Instance) -> bool {
        let process = (instance.id.clone(), instance.born_ms);
        self.processes.contains(&process)
    }
}
