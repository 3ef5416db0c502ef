//! Rules across the documents and settings of one fleet.

use std::collections::HashMap;

use briarbank_core::catalog::TargetKind;

use crate::checker::Checker;
use crate::document::{ConfigDocument, HostsDocument, ServersDocument};
use crate::field::FieldPath;
use crate::node::NodeSettings;

/// Checks the targets of the servers against the configuration.
///
/// Every target must be declared, and a server has either models or plain services.
/// The paths of the faults refer to the server list.
#[must_use]
pub fn check_servers(servers: &ServersDocument, config: &ConfigDocument) -> Vec<crate::Fault> {
    let mut checker = Checker::default();
    let declared: HashMap<_, _> = config
        .catalog
        .targets
        .iter()
        .map(|t| (&t.name, t.kind))
        .collect();
    let root = FieldPath::default().field("servers");
    for (index, server) in servers.servers.iter().enumerate() {
        let path = root.index(index).field("targets");
        for (position, target) in server.targets.iter().enumerate() {
            if !declared.contains_key(target) {
                let allowed = "a target that the configuration declares";
                checker.add_fault(&path.index(position), format!("\"{target}\""), allowed);
            }
        }
        let runs = |kind| {
            server
                .targets
                .iter()
                .any(|t| declared.get(t) == Some(&kind))
        };
        if runs(TargetKind::Model) && runs(TargetKind::Service) {
            let allowed = "models or plain services on one server";
            checker.add_fault(&path, "models and plain services", allowed);
        }
    }
    checker.into_faults()
}

/// Checks that a node's settings agree with the host list.
///
/// The paths of the faults refer to the settings.
#[must_use]
pub fn check_node(node: &NodeSettings, hosts: &HostsDocument) -> Vec<crate::Fault> {
    let mut checker = Checker::default();
    let root = FieldPath::default();
    let Some(host) = hosts.hosts.iter().find(|h| h.name == node.host) else {
        let found = format!("\"{}\"", node.host);
        checker.add_fault(&root.field("host"), found, "a name of the host list");
        return checker.into_faults();
    };
    if host.zone != node.zone {
        let allowed = format!("\"{}\", as in the host list", host.zone);
        checker.add_fault(&root.field("zone"), format!("\"{}\"", node.zone), allowed);
    }
    let listen_address = node.peer_address;
    let same_ip =
        listen_address.ip().is_unspecified() || listen_address.ip() == host.peer_address.ip();
    if listen_address.port() != host.peer_address.port() || !same_ip {
        let allowed = format!("{}, as in the host list", host.peer_address);
        checker.add_fault(&root.field("peer_address"), listen_address, allowed);
    }
    checker.into_faults()
}
