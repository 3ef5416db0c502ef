//! Regions that leave callers without a server.

use briarbank_core::ids::RegionName;

use crate::finding::Findings;
use crate::view::{ConfigView, RouteView};

/// Checks that the regions of routes and workspaces have a region in common.
pub(crate) fn check_regions(view: &ConfigView, findings: &mut Findings) {
    let routes = view.routes.iter().enumerate();
    let routes = routes.map(|(i, r)| (view.route_path(i), &r.allowed_regions));
    let workspaces = view.workspaces.iter().enumerate();
    let workspaces = workspaces.map(|(i, w)| (view.workspace_path(i), &w.allowed_regions));
    for (path, regions) in routes.chain(workspaces) {
        if regions.as_ref().is_some_and(Vec::is_empty) {
            let allowed = "a region, or no such field; all calls are refused otherwise";
            findings.error(path.field(view.names.regions), "no regions", allowed);
        }
    }
    if !check_workspaces(view, findings) {
        check_routes(view, findings);
    }
}

/// Returns whether two lists that both apply leave no region.
fn are_disjoint(a: Option<&Vec<RegionName>>, b: Option<&Vec<RegionName>>) -> bool {
    match (a, b) {
        // An empty list is a finding of its own.
        (Some(a), Some(b)) if !a.is_empty() && !b.is_empty() => !a.iter().any(|r| b.contains(r)),
        _ => false,
    }
}

/// Returns whether a workspace has no region in common with any route.
fn check_workspaces(view: &ConfigView, findings: &mut Findings) -> bool {
    let mut has_error = false;
    for (index, workspace) in view.workspaces.iter().enumerate() {
        let regions = workspace.allowed_regions.as_ref();
        // Public routes count too: a call with a key is bound by the regions of its workspace.
        let is_apart = |r: &&RouteView| are_disjoint(regions, r.allowed_regions.as_ref());
        let apart: Vec<_> = view.routes.iter().filter(is_apart).collect();
        let Some(first) = apart.first() else {
            continue;
        };
        let path = view.workspace_path(index).field(view.names.regions);
        if apart.len() == view.routes.len() {
            let allowed = "a region of a route; all calls of the workspace are refused otherwise";
            findings.error(path, "regions that no route has", allowed);
            has_error = true;
        } else {
            let found = format!(
                "no region in common with {} of {} routes, such as {:?}",
                apart.len(),
                view.routes.len(),
                first.name
            );
            findings.warning(
                path,
                found,
                "a region of each route that the workspace calls",
            );
        }
    }
    has_error
}

fn check_routes(view: &ConfigView, findings: &mut Findings) {
    for (index, route) in view.routes.iter().enumerate() {
        let regions = route.allowed_regions.as_ref();
        let mut workspaces = view.workspaces.iter();
        let is_apart = !route.is_public
            && !view.workspaces.is_empty()
            && workspaces.all(|w| are_disjoint(regions, w.allowed_regions.as_ref()));
        if is_apart {
            let path = view.route_path(index).field(view.names.regions);
            let allowed = "a region of a workspace; all calls of the route are refused otherwise";
            findings.error(path, "regions that no workspace has", allowed);
        }
    }
}
