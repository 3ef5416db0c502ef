//! What the node tells of calls and parts of prompts that crash servers.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::log_lines::LineKind;
use crate::shared::SharedState;

/// Parts that calls are refused for, with the number of servers that crashed.
pub(crate) type BlamedParts = BTreeMap<u64, usize>;

impl SharedState {
    /// Logs the crashes under calls and the parts that are blamed since the last time.
    pub(crate) fn log_harmful_parts(&self, now: Instant) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let crashes = dispatcher.take_crashes();
        let blamed = dispatcher.blamed_parts(now);
        drop(dispatcher);
        for crash in crashes {
            metrics::counter!("briarbank_crashes_under_calls_total").increment(1);
            if self.log_lines.take(LineKind::Parts) {
                tracing::warn!(
                    server = %crash.server, process = %hex(u64::from(crash.process_key)),
                    parts = %hex_list(&crash.parts), "parts: server crashed under a call"
                );
            }
        }
        let mut known = self.blamed_parts.borrow_mut();
        for (part, processes) in &blamed {
            let is_new = known.insert(*part, processes.len()) != Some(processes.len());
            if is_new && self.log_lines.take(LineKind::Parts) {
                let processes: Vec<u64> = processes.iter().map(|p| u64::from(*p)).collect();
                tracing::warn!(
                    part = %hex(*part), crashes = processes.len(),
                    processes = %hex_list(&processes), "parts: refusing calls with a part"
                );
            }
        }
        known.retain(|part, _| {
            let is_blamed = blamed.contains_key(part);
            if !is_blamed && self.log_lines.take(LineKind::Parts) {
                tracing::info!(part = %hex(*part), "parts: no longer refusing calls with a part");
            }
            is_blamed
        });
    }
}

/// Formats the hash of a part or a process.
pub(crate) fn hex(hash: u64) -> String {
    format!("{hash:x}")
}

fn hex_list(hashes: &[u64]) -> String {
    let hashes: Vec<String> = hashes.iter().map(|hash| hex(*hash)).collect();
    hashes.join(",")
}
