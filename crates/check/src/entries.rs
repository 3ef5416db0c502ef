//! Entries that can never match, and entries that nodes refuse.

use std::collections::{HashMap, HashSet};

use briarbank_config::FieldPath;

use crate::finding::Findings;
use crate::view::{ConfigView, RouteView, Selector, SplitView};

/// Checks that nodes accept each entry, and that calls can reach it.
pub(crate) fn check_entries(view: &ConfigView, findings: &mut Findings) {
    check_selectors(view, findings);
    check_services(view, findings);
    for (index, route) in view.routes.iter().enumerate() {
        let path = view.route_path(index);
        if let Err(found) = &route.kind {
            let allowed = "a kind that nodes know; they refuse the whole document otherwise";
            findings.error(path.field(view.names.kind), format!("{found:?}"), allowed);
        }
        if let Some(splits) = &route.splits {
            check_splits(view, &path, splits, findings);
        }
    }
    check_names(view, findings);
    check_keys(view, findings);
}

fn check_selectors(view: &ConfigView, findings: &mut Findings) {
    let mut first_routes: HashMap<&Selector, &RouteView> = HashMap::new();
    for (index, route) in view.routes.iter().enumerate() {
        let Some(selector) = &route.selector else {
            continue;
        };
        let path = view.route_path(index);
        check_host(&path.field(view.names.host), &selector.host, findings);
        let prefix_path = path.field(view.names.prefix);
        let prefix = &selector.prefix;
        if !is_path(prefix) || !prefix.ends_with('/') {
            let allowed = "a path that begins and ends with /; others match no call";
            findings.error(prefix_path, format!("{prefix:?}"), allowed);
        } else if let Some(first) = first_routes.get(selector) {
            let found = format!("{prefix:?}, which route {:?} of the host has", first.name);
            findings.error(prefix_path, found, "each prefix of a host once");
        } else {
            first_routes.insert(selector, route);
        }
    }
}

/// Nodes compare the host of a call without its port, and with its letters as they are.
fn check_host(path: &FieldPath, host: &str, findings: &mut Findings) {
    let is_visible = host.bytes().all(|b| b.is_ascii_graphic());
    if host.is_empty() || !is_visible || host.contains(['/', ':']) {
        let allowed = "a host name without a port; others match no call";
        findings.error(path.clone(), format!("{host:?}"), allowed);
    } else if host.bytes().any(|b| b.is_ascii_uppercase()) {
        let allowed =
            "lower case, since callers mostly send that and nodes compare letter by letter";
        findings.warning(path.clone(), format!("{host:?}"), allowed);
    }
}

fn is_path(prefix: &str) -> bool {
    let is_path_byte = |b: u8| b.is_ascii_graphic() && b != b'?' && b != b'#';
    prefix.starts_with('/') && prefix.bytes().all(is_path_byte)
}

fn check_services(view: &ConfigView, findings: &mut Findings) {
    let has_splits = view.routes.iter().any(|r| r.splits.is_some());
    let routed: HashSet<_> = view
        .routes
        .iter()
        .flat_map(|r| r.splits.iter().flatten().map(|s| &s.service))
        .collect();
    let mut seen = HashSet::new();
    for (index, service) in view.services.iter().enumerate() {
        let path = view.service_path(index).field(view.names.name);
        let name = service.name.as_str();
        if !seen.insert(name) {
            findings.error(
                path,
                format!("{name:?} for a second time"),
                "each service once",
            );
        } else if has_splits && !routed.contains(&service.name) {
            findings.warning(path, format!("{name:?}"), "a service that a route names");
        }
    }
}

fn check_splits(
    view: &ConfigView,
    path: &FieldPath,
    splits: &[SplitView],
    findings: &mut Findings,
) {
    let names = &view.names;
    if splits.is_empty() {
        let allowed = "a service; nodes refuse the whole document otherwise";
        findings.error(path.field(names.service), "nothing", allowed);
    }
    for split in splits {
        let part = match split.index {
            Some(index) => path.field(names.splits).index(index),
            None => path.clone(),
        };
        let name = &split.service;
        if !view.services.iter().any(|s| s.name == *name) {
            let found = format!("{:?}", name.as_str());
            findings.error(
                part.field(names.service),
                found,
                "a service of the document",
            );
        }
        if split.weight == 0 || split.is_clamped {
            let found = format!("a weight that nodes take as {}", split.weight);
            let allowed =
                "above 0 and within 32 bits in thousandths; without the part it gets no calls";
            findings.error(part.field(names.weight), found, allowed);
        }
    }
    let is_mixed =
        splits.iter().any(|s| s.index.is_some()) && splits.iter().any(|s| s.index.is_none());
    if is_mixed {
        let allowed = "one of the two; the service gets a part of weight 1";
        let found = format!("{} beside {}", names.service, names.splits);
        findings.warning(path.field(names.service), found, allowed);
    }
}

/// Names are for logs and operators; calls are matched by host, prefix and key.
fn check_names(view: &ConfigView, findings: &mut Findings) {
    let mut seen = HashSet::new();
    for (index, route) in view.routes.iter().enumerate() {
        if !seen.insert(&route.name) {
            let path = view.route_path(index).field(view.names.name);
            findings.warning(
                path,
                format!("{:?} for a second time", route.name),
                "each name once",
            );
        }
    }
    let mut seen = HashSet::new();
    for (index, workspace) in view.workspaces.iter().enumerate() {
        if !seen.insert(&workspace.name) {
            let path = view.workspace_path(index).field(view.names.name);
            let found = format!("{:?} for a second time", workspace.name);
            findings.warning(path, found, "each name once");
        }
    }
}

fn check_keys(view: &ConfigView, findings: &mut Findings) {
    let mut owners = HashMap::new();
    for (index, workspace) in view.workspaces.iter().enumerate() {
        let Some(keys) = &workspace.keys else {
            continue;
        };
        let path = view.workspace_path(index).field(view.names.keys);
        if keys.is_empty() {
            findings.error(
                path.clone(),
                "no keys",
                "a key; no call belongs to the workspace otherwise",
            );
        }
        for (position, key) in keys.iter().enumerate() {
            let path = path.index(position);
            if !key.is_sendable() {
                let allowed = "visible ASCII characters; callers can't send others";
                findings.error(path.clone(), format!("key {key}"), allowed);
            }
            if let Some(owner) = owners.insert(key, &workspace.name) {
                let found = format!("key {key}, which workspace {owner:?} has");
                findings.error(path, found, "each key once");
            }
        }
    }
    let is_reachable = view.routes.iter().any(|r| r.is_public);
    if view.checks_keys && view.workspaces.is_empty() && !view.routes.is_empty() && !is_reachable {
        let path = FieldPath::default().field(view.names.workspaces);
        findings.error(
            path,
            "no workspaces",
            "a workspace; all calls are refused otherwise",
        );
    }
}
