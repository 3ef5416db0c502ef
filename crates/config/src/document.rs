//! Documents that the platform publishes.

use briarbank_core::catalog::{
    Catalog, Fleet, Profile, Server, TIER_COUNT, Target, TargetKind, Workspace,
};
use briarbank_core::conf::{Documents, InvalidDocument};
use briarbank_core::hosts::{Host, HostView};
use briarbank_core::ids::Revision;
use serde::{Deserialize, Serialize};

use crate::checker::{Checker, Validate};
use crate::decode::parse_bytes;
use crate::error::Error;
use crate::fault::shorten;
use crate::field::FieldPath;

const TIMEOUT_MAX_MS: u64 = 86_400_000;
const QUEUE_MAX: usize = 1_000_000;
const SLOTS_MAX: u32 = 1_000_000;
const IN_FLIGHT_MAX: usize = 10_000_000;
const WEIGHT_MIN: f64 = 0.001;
const WEIGHT_MAX: f64 = 1_000.0;
/// A profile without a share would starve while higher tiers have work.
const SHARE_MIN: f64 = 0.001;
/// Tolerance for rounding errors in a sum of shares.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Published host list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostsDocument {
    /// Router hosts.
    pub hosts: Vec<Host>,
}

/// Published server list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServersDocument {
    /// Backend servers.
    pub servers: Vec<Server>,
}

/// Published configuration.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ConfigDocument {
    /// Profiles, workspaces and targets.
    pub catalog: Catalog,
}

/// Parses the published host list.
///
/// # Errors
///
/// Returns [`Error`] with all faults of the document.
pub fn parse_hosts(revision: Revision, bytes: &[u8]) -> Result<HostView, Error> {
    let document: HostsDocument = parse_bytes(bytes)?;
    Ok(HostView::new(revision, document.hosts))
}

/// Parses the published server list.
///
/// # Errors
///
/// Returns [`Error`] with all faults of the document.
pub fn parse_servers(revision: Revision, bytes: &[u8]) -> Result<Fleet, Error> {
    let document: ServersDocument = parse_bytes(bytes)?;
    Ok(Fleet {
        revision,
        servers: document.servers,
    })
}

/// Parses the published configuration, which operators write.
///
/// # Errors
///
/// Returns [`Error`] with all faults of the document.
pub fn parse_config(revision: Revision, bytes: &[u8]) -> Result<Catalog, Error> {
    let document: ConfigDocument = parse_bytes(bytes)?;
    Ok(Catalog {
        revision,
        ..document.catalog
    })
}

/// Decodes published documents for the core.
#[derive(Clone, Copy, Debug, Default)]
pub struct DocumentDecoder;

impl Documents for DocumentDecoder {
    fn hosts(&self, revision: Revision, bytes: &[u8]) -> Result<HostView, InvalidDocument> {
        parse_hosts(revision, bytes).map_err(|e| InvalidDocument::new(&e))
    }

    fn servers(&self, revision: Revision, bytes: &[u8]) -> Result<Fleet, InvalidDocument> {
        parse_servers(revision, bytes).map_err(|e| InvalidDocument::new(&e))
    }

    fn config(&self, revision: Revision, bytes: &[u8]) -> Result<Catalog, InvalidDocument> {
        parse_config(revision, bytes).map_err(|e| InvalidDocument::new(&e))
    }
}

impl Validate for HostsDocument {
    fn validate(&self, checker: &mut Checker) {
        let root = FieldPath::default().field("hosts");
        for (index, host) in self.hosts.iter().enumerate() {
            let path = root.index(index);
            checker.check_name(&path.field("name"), host.name.as_str());
            checker.check_name(&path.field("zone"), host.zone.as_str());
            checker.check_reachable(&path.field("peer_address"), host.peer_address);
        }
        checker.check_unique(self.hosts.iter().map(|h| &h.name), |index| {
            root.index(index).field("name")
        });
        checker.check_unique(self.hosts.iter().map(|h| h.peer_address), |index| {
            root.index(index).field("peer_address")
        });
    }
}

impl Validate for ServersDocument {
    fn validate(&self, checker: &mut Checker) {
        let root = FieldPath::default().field("servers");
        for (index, server) in self.servers.iter().enumerate() {
            check_server(server, &root.index(index), checker);
        }
        checker.check_unique(self.servers.iter().map(|s| &s.name), |index| {
            root.index(index).field("name")
        });
        checker.check_unique(self.servers.iter().map(|s| s.address), |index| {
            root.index(index).field("address")
        });
    }
}

fn check_server(server: &Server, path: &FieldPath, checker: &mut Checker) {
    checker.check_name(&path.field("name"), server.name.as_str());
    checker.check_name(&path.field("zone"), server.zone.as_str());
    checker.check_reachable(&path.field("address"), server.address);
    checker.check_range(&path.field("slots"), server.slots, 1..=SLOTS_MAX);
    let targets = path.field("targets");
    if server.targets.is_empty() {
        checker.add_fault(&targets, "no targets", "at least one target");
    }
    for (index, target) in server.targets.iter().enumerate() {
        checker.check_name(&targets.index(index), target.as_str());
    }
    checker.check_unique(&server.targets, |index| targets.index(index));
}

impl Validate for ConfigDocument {
    fn validate(&self, checker: &mut Checker) {
        let root = FieldPath::default();
        let catalog = &self.catalog;
        if catalog.revision != Revision::default() {
            let path = root.field("revision");
            let allowed = "no such field, since the platform gives the revision";
            checker.add_fault(&path, catalog.revision, allowed);
        }
        check_profiles(&catalog.profiles, &root.field("profiles"), checker);
        check_workspaces(&catalog.workspaces, &root.field("workspaces"), checker);
        check_targets(&catalog.targets, &root.field("targets"), checker);
    }
}

fn check_profiles(profiles: &[Profile], root: &FieldPath, checker: &mut Checker) {
    for (index, profile) in profiles.iter().enumerate() {
        check_profile(profile, &root.index(index), checker);
    }
    checker.check_unique(profiles.iter().map(|p| &p.name), |index| {
        root.index(index).field("name")
    });
    let sum: f64 = profiles.iter().map(|p| p.share_ratio).sum();
    if sum > 1.0 + SHARE_TOLERANCE {
        let found = format!("shares with the sum {sum}");
        checker.add_fault(root, found, "shares with a sum of at most 1");
    }
}

fn check_profile(profile: &Profile, path: &FieldPath, checker: &mut Checker) {
    checker.check_name(&path.field("name"), profile.name.as_str());
    checker.check_range(&path.field("tier"), profile.tier, 0..=TIER_COUNT - 1);
    checker.check_range(
        &path.field("share_ratio"),
        profile.share_ratio,
        SHARE_MIN..=1.0,
    );
    checker.check_range(
        &path.field("queue_limit"),
        profile.queue_limit,
        1..=QUEUE_MAX,
    );
    let whole_ms = profile.whole_ms;
    checker.check_range(&path.field("whole_ms"), whole_ms, 1..=TIMEOUT_MAX_MS);
    let objectives = [
        ("first_token_ms", profile.first_token_ms, 1),
        ("between_tokens_ms", profile.between_tokens_ms, 0),
    ];
    for (field, value, min_ms) in objectives {
        if value < min_ms || value > whole_ms {
            let allowed = format!("{min_ms} to {whole_ms}, the value of whole_ms");
            checker.add_fault(&path.field(field), value, allowed);
        }
    }
}

fn check_workspaces(workspaces: &[Workspace], root: &FieldPath, checker: &mut Checker) {
    for (index, workspace) in workspaces.iter().enumerate() {
        let path = root.index(index);
        checker.check_name(&path.field("name"), workspace.name.as_str());
        checker.check_range(
            &path.field("weight"),
            workspace.weight,
            WEIGHT_MIN..=WEIGHT_MAX,
        );
        checker.check_range(
            &path.field("in_flight_limit"),
            workspace.in_flight_limit,
            1..=IN_FLIGHT_MAX,
        );
    }
    checker.check_unique(workspaces.iter().map(|w| &w.name), |index| {
        root.index(index).field("name")
    });
}

fn check_targets(targets: &[Target], root: &FieldPath, checker: &mut Checker) {
    for (index, target) in targets.iter().enumerate() {
        let path = root.index(index).field("name");
        checker.check_name(&path, target.name.as_str());
        if target.kind == TargetKind::Service && target.name.as_str().contains('/') {
            let allowed = "a name without / for a service, since it stands in a path";
            checker.add_fault(
                &path,
                format!("{:?}", shorten(target.name.as_str())),
                allowed,
            );
        }
    }
    checker.check_unique(targets.iter().map(|t| &t.name), |index| {
        root.index(index).field("name")
    });
}
