//! Lookup of routes and keys.

use std::collections::{BTreeSet, HashMap};
use std::ops::RangeInclusive;
use std::sync::Arc;

use crate::flow::call::TierRank;
use crate::flow::route::{RequestLimits, Route, RouteConfig, ServiceSpec, WorkspaceEntry};
use crate::ids::ServiceName;

/// One version of the configuration, indexed for lookup.
///
/// # Examples
///
/// ```
/// use briarbank_core::flow::{Route, RouteConfig, RouteKind, RouteTable, Split};
///
/// let route = |prefix: &str| Route {
///     name: prefix.into(),
///     host: "lentes.example".into(),
///     prefix: prefix.into(),
///     kind: RouteKind::Idempotent,
///     timeout_ms: 1_000,
///     target_ms: 150,
///     gap_ms: None,
///     tier: 2,
///     splits: vec![Split { service: "desk".into(), weight: 1 }],
///     attempts_max: 2,
///     is_public: false,
///     allowed_regions: None,
/// };
/// let routes = vec![route("/a/"), route("/a/b/")];
/// let table = RouteTable::new(RouteConfig { routes, ..RouteConfig::default() });
/// let found = table.find("lentes.example", "/a/b/c").unwrap();
/// assert_eq!(&*found.prefix, "/a/b/");
/// assert!(table.find("lentes.example", "/b/").is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    /// Routes by host name and path prefix.
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    /// Most and least urgent tier that is routed to each service.
    tier_ranges: HashMap<ServiceName, RangeInclusive<u8>>,
    services: Vec<ServiceSpec>,
    limits: RequestLimits,
    keys: Option<HashMap<Arc<str>, WorkspaceEntry>>,
    route_tiers: BTreeSet<u8>,
    workspace_tiers: BTreeSet<u8>,
}

impl RouteTable {
    /// Indexes a configuration.
    #[must_use]
    pub fn new(config: RouteConfig) -> Self {
        let route_tiers = config.routes.iter().map(|r| r.tier).collect();
        let entries = config.keys.iter().flat_map(HashMap::values);
        let workspace_tiers = entries.filter_map(|w| w.tier).collect();
        let mut by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        let mut tier_ranges: HashMap<ServiceName, RangeInclusive<u8>> = HashMap::new();
        for route in config.routes {
            for split in &route.splits {
                let tiers = tier_ranges
                    .entry(split.service.clone())
                    .or_insert(route.tier..=route.tier);
                *tiers = route.tier.min(*tiers.start())..=route.tier.max(*tiers.end());
            }
            let routes = by_host.entry(Arc::clone(&route.host)).or_default();
            routes.insert(Arc::clone(&route.prefix), Arc::new(route));
        }
        Self {
            version: config.version,
            by_host,
            tier_ranges,
            services: config.services,
            limits: config.limits,
            keys: config.keys,
            route_tiers,
            workspace_tiers,
        }
    }

    /// Returns the version of the configuration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.by_host.values().map(HashMap::len).sum()
    }

    /// Returns all services.
    #[must_use]
    pub fn services(&self) -> &[ServiceSpec] {
        &self.services
    }

    /// Returns the service of that name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.iter().find(|s| s.name == *name)
    }

    /// Returns the position of a tier among those of the routes to the service.
    #[must_use]
    pub fn tier_rank(&self, service: &ServiceName, tier: u8) -> TierRank {
        match self.tier_ranges.get(service) {
            Some(tiers) if tier > *tiers.start() && tier >= *tiers.end() => TierRank::Last,
            Some(tiers) if tier > *tiers.start() => TierRank::Middle,
            _ => TierRank::First,
        }
    }

    /// Returns the urgency of a call; 0 is the most urgent.
    ///
    /// Calls are ordered by the tier of the workspace, then by the tier of the route.
    #[must_use]
    pub fn urgency(&self, route_tier: u8, workspace_tier: Option<u8>) -> u8 {
        let below = |tiers: &BTreeSet<u8>, tier: u8| tiers.range(..tier).count();
        let workspace = workspace_tier.map_or(0, |tier| below(&self.workspace_tiers, tier));
        let urgency =
            workspace * self.route_tiers.len().max(1) + below(&self.route_tiers, route_tier);
        u8::try_from(urgency).unwrap_or(u8::MAX)
    }

    /// Returns the bounds on what callers may send.
    #[must_use]
    pub fn limits(&self) -> RequestLimits {
        self.limits
    }

    /// Returns the route with the longest prefix of `path`; prefixes end with a slash.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.by_host.get(host)?;
        let mut ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.find_map(|end| routes.get(path.get(..end)?))
    }

    /// Returns whether calls need keys.
    #[must_use]
    pub fn checks_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Returns the workspace that a key belongs to.
    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceEntry> {
        self.keys.as_ref()?.get(key)
    }
}
