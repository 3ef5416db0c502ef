//! Contradictions between a configuration and what is known beside it.

use std::collections::BTreeMap;
use std::time::Duration;

use briarbank_config::FieldPath;
use briarbank_core::ids::{RegionName, ServiceName, ZoneName};

use crate::finding::{Findings, Severity};
use crate::view::{ConfigView, RouteView};

/// Largest fraction of calls that may be hedged.
const HEDGE_RATIO_MAX: f64 = 0.5;

/// A server that runs a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Service that it runs; a server with several services has several views.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
}

/// What is known beside a configuration; `None` if not given.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Surroundings {
    /// Servers that are listed.
    pub servers: Option<Vec<ServerView>>,
    /// Region of each availability zone, from the settings of a node.
    pub zone_regions: Option<BTreeMap<ZoneName, RegionName>>,
    /// Retries allowed per call, from the settings of a node.
    pub retry_ratio: Option<f64>,
    /// Time between the signal to stop and the kill of a node, from its settings.
    pub stop_timeout: Option<Duration>,
    /// Hedged requests allowed per call.
    pub hedge_ratio: Option<f64>,
}

impl Surroundings {
    /// Returns the number of listed servers that a route may send calls of a service to.
    fn server_count(&self, service: &ServiceName, route: &RouteView) -> Option<usize> {
        let servers = self.servers.as_ref()?.iter();
        let is_allowed = |zone: &ZoneName| match (&route.allowed_regions, &self.zone_regions) {
            (Some(regions), Some(zones)) => zones.get(zone).is_some_and(|r| regions.contains(r)),
            _ => true,
        };
        let usable = servers.filter(|s| s.service == *service && is_allowed(&s.zone));
        Some(usable.count())
    }
}

/// Checks a configuration against settings and servers.
pub(crate) fn check_surroundings(
    view: &ConfigView,
    surroundings: &Surroundings,
    findings: &mut Findings,
) {
    check_hedges(surroundings, findings);
    for (index, route) in view.routes.iter().enumerate() {
        let path = view.route_path(index);
        check_known_regions(
            view,
            &path,
            route.allowed_regions.as_ref(),
            surroundings,
            findings,
        );
        check_stop(view, &path, route, surroundings, findings);
        check_servers(view, &path, route, surroundings, findings);
    }
    for (index, workspace) in view.workspaces.iter().enumerate() {
        let path = view.workspace_path(index);
        let regions = workspace.allowed_regions.as_ref();
        check_known_regions(view, &path, regions, surroundings, findings);
    }
    let is_routed = view.routes.iter().any(|r| r.splits.is_some());
    if !is_routed {
        check_unrouted_services(view, surroundings, findings);
    }
}

/// Hedges draw on the retry budget, so that a larger ratio has no effect.
fn check_hedges(surroundings: &Surroundings, findings: &mut Findings) {
    let Some(ratio) = surroundings.hedge_ratio else {
        return;
    };
    if !(0.0..=HEDGE_RATIO_MAX).contains(&ratio) {
        let found = format!("a hedge ratio of {ratio}");
        findings.add(
            Severity::Error,
            None,
            found,
            format!("0 to {HEDGE_RATIO_MAX}"),
        );
    } else if let Some(retries) = surroundings.retry_ratio.filter(|r| ratio > *r) {
        let found = format!("a hedge ratio of {ratio}");
        let allowed = format!("at most {retries}, the retry ratio of the settings");
        findings.add(Severity::Warning, None, found, allowed);
    }
}

fn check_known_regions(
    view: &ConfigView,
    path: &FieldPath,
    regions: Option<&Vec<RegionName>>,
    surroundings: &Surroundings,
    findings: &mut Findings,
) {
    let (Some(regions), Some(zones)) = (regions, &surroundings.zone_regions) else {
        return;
    };
    let is_known = |region: &RegionName| zones.values().any(|known| known == region);
    let path = path.field(view.names.regions);
    if !regions.is_empty() && !regions.iter().any(is_known) {
        let allowed = "a region with a zone in the settings; all calls are refused otherwise";
        findings.error(path, "regions without zones", allowed);
        return;
    }
    for (index, region) in regions.iter().enumerate().filter(|(_, r)| !is_known(r)) {
        let found = format!("{:?}", region.as_str());
        findings.warning(
            path.index(index),
            found,
            "a region with a zone in the settings",
        );
    }
}

fn check_stop(
    view: &ConfigView,
    path: &FieldPath,
    route: &RouteView,
    surroundings: &Surroundings,
    findings: &mut Findings,
) {
    let stop_ms = surroundings.stop_timeout.map(|stop| stop.as_millis());
    if let Some(stop_ms) = stop_ms.filter(|stop| u128::from(route.timeout_ms) > *stop) {
        let found = format!("a time limit of {} ms", route.timeout_ms);
        let allowed = format!("at most {stop_ms} ms, which the settings leave calls at a stop");
        findings.warning(path.field(view.names.timeout), found, allowed);
    }
}

/// Servers come and go, so that too few of them are no error of the configuration.
fn check_servers(
    view: &ConfigView,
    path: &FieldPath,
    route: &RouteView,
    surroundings: &Surroundings,
    findings: &mut Findings,
) {
    let names = &view.names;
    for split in route.splits.iter().flatten() {
        let name = split.service.as_str();
        let Some(servers) = surroundings.server_count(&split.service, route) else {
            return;
        };
        let part = match split.index {
            Some(index) => path.field(names.splits).index(index),
            None => path.clone(),
        };
        if servers == 0 {
            let found = format!("{name:?}, which no listed server in the route's regions runs");
            findings.warning(part.field(names.service), found, "a service with servers");
        } else if let Some(attempts) = route.attempts_max.filter(|a| *a as usize > servers) {
            let found = format!("{attempts} attempts");
            let allowed = format!("at most {servers}, the number of servers of {name:?}");
            findings.warning(path.field(names.attempts), found, allowed);
        }
    }
}

fn check_unrouted_services(
    view: &ConfigView,
    surroundings: &Surroundings,
    findings: &mut Findings,
) {
    let Some(servers) = &surroundings.servers else {
        return;
    };
    for (index, service) in view.services.iter().enumerate() {
        if !servers.iter().any(|s| s.service == service.name) {
            let path = view.service_path(index).field(view.names.name);
            let found = format!("{:?}, which no listed server runs", service.name.as_str());
            findings.warning(path, found, "a service with servers");
        }
    }
}
