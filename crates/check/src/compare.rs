//! Differences between two versions of a configuration.

use std::collections::{BTreeMap, HashSet};
use std::fmt;

use briarbank_config::FieldPath;
use serde::Serialize;

use crate::finding::{Finding, Findings, one_line};
use crate::key::Key;
use crate::route_changes::{compare_routes, is_narrowed, show_regions};
use crate::view::{ConfigView, Property, ServiceView, WorkspaceView};

/// What a change is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// The configuration as a whole.
    Configuration,
    /// A bound on what callers may send.
    Limit,
    /// A route or class of calls.
    Route,
    /// A service.
    Service,
    /// A workspace.
    Workspace,
    /// A key.
    Key,
}

impl Subject {
    fn name(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Limit => "limit",
            Self::Route => "route",
            Self::Service => "service",
            Self::Workspace => "workspace",
            Self::Key => "key",
        }
    }
}

/// A difference from the version in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// What it is about.
    pub subject: Subject,
    /// Name of the route, service, workspace or limit, or the start of the key.
    pub name: String,
    /// What differs.
    pub change: String,
    /// Whether calls that are served now are refused, cut off or sent elsewhere.
    pub cuts_off: bool,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.subject.name())?;
        if !self.name.is_empty() {
            write!(f, " {}", self.name)?;
        }
        write!(f, ": {}", self.change)?;
        if self.cuts_off {
            f.write_str(" (cuts callers off)")?;
        }
        Ok(())
    }
}

/// Collects changes.
#[derive(Debug, Default)]
pub(crate) struct Changes {
    list: Vec<Change>,
}

impl Changes {
    pub(crate) fn add(
        &mut self,
        subject: Subject,
        name: impl fmt::Display,
        change: impl Into<String>,
        cuts_off: bool,
    ) {
        self.list.push(Change {
            subject,
            name: one_line(&name.to_string()),
            change: one_line(&change.into()),
            cuts_off,
        });
    }

    /// Adds the differences of fields that take no part in a check.
    pub(crate) fn add_properties(
        &mut self,
        subject: Subject,
        name: &str,
        old: &[Property],
        new: &[Property],
    ) {
        for property in new {
            let before = old.iter().find(|p| p.name == property.name);
            if let Some(before) = before.filter(|p| p.value != property.value) {
                let change = format!("{} {} -> {}", property.name, before.value, property.value);
                self.add(subject, name, change, false);
            }
        }
    }
}

/// Lists the differences from the version in force, in a fixed order.
#[must_use]
pub fn compare(old: &ConfigView, new: &ConfigView) -> Vec<Change> {
    let mut changes = Changes::default();
    let needs = |view: &ConfigView| if view.checks_keys { "need" } else { "need no" };
    if old.checks_keys != new.checks_keys {
        let change = format!("calls {} keys, before they {} keys", needs(new), needs(old));
        changes.add(Subject::Configuration, "", change, new.checks_keys);
    }
    for limit in &new.limits {
        let before = old.limits.iter().find(|l| l.field == limit.field);
        if let Some(before) = before.filter(|l| l.value != limit.value) {
            let change = format!("{} -> {}", before.value, limit.value);
            changes.add(
                Subject::Limit,
                limit.name,
                change,
                limit.value < before.value,
            );
        }
    }
    compare_routes(old, new, &mut changes);
    compare_services(old, new, &mut changes);
    compare_workspaces(old, new, &mut changes);
    compare_keys(old, new, &mut changes);
    changes.list
}

/// Checks that nodes take the new version in place of the one in force.
#[must_use]
pub fn check_version(old: &ConfigView, new: &ConfigView, changes: &[Change]) -> Vec<Finding> {
    let mut findings = Findings::default();
    if let (Some(before), Some(version)) = (old.version, new.version) {
        let is_kept = version < before || version == before && !changes.is_empty();
        if is_kept {
            let path = FieldPath::default().field(new.names.version);
            let allowed = format!(
                "above {before}, the version in force; nodes ignore the document otherwise"
            );
            findings.error(path, version, allowed);
        }
    }
    findings.into_vec()
}

fn compare_services(old: &ConfigView, new: &ConfigView, changes: &mut Changes) {
    fn by_name(view: &ConfigView) -> BTreeMap<&str, &ServiceView> {
        // The first of two with the same name counts, as at nodes.
        let services = view.services.iter().rev();
        services.map(|s| (s.name.as_str(), s)).collect()
    }
    // Callers of a service that routes name are listed as changes of the routes.
    let is_named_by_callers = old.routes.iter().all(|r| r.splits.is_none());
    let (old, new) = (by_name(old), by_name(new));
    for (name, service) in &old {
        match new.get(name) {
            None => changes.add(Subject::Service, name, "removed", is_named_by_callers),
            Some(after) => {
                let properties = (&service.properties, &after.properties);
                changes.add_properties(Subject::Service, name, properties.0, properties.1);
            }
        }
    }
    for name in new.keys().filter(|name| !old.contains_key(*name)) {
        changes.add(Subject::Service, name, "added", false);
    }
}

fn compare_workspaces(old: &ConfigView, new: &ConfigView, changes: &mut Changes) {
    fn by_name(view: &ConfigView) -> BTreeMap<&str, &WorkspaceView> {
        let workspaces = view.workspaces.iter().rev();
        workspaces.map(|w| (w.name.as_str(), w)).collect()
    }
    let kept_keys: HashSet<&Key> = new
        .workspaces
        .iter()
        .flat_map(WorkspaceView::keys)
        .collect();
    // A form without keys lets callers name their workspace.
    let is_lost = |workspace: &WorkspaceView| match &workspace.keys {
        Some(keys) => new.checks_keys && keys.iter().any(|key| !kept_keys.contains(key)),
        None => true,
    };
    let (old, new) = (by_name(old), by_name(new));
    for (name, workspace) in &old {
        let Some(after) = new.get(name) else {
            changes.add(Subject::Workspace, name, "removed", is_lost(workspace));
            continue;
        };
        let regions = (
            workspace.allowed_regions.as_ref(),
            after.allowed_regions.as_ref(),
        );
        if regions.0 != regions.1 {
            let change = format!(
                "regions {} -> {}",
                show_regions(regions.0),
                show_regions(regions.1)
            );
            let cuts_off = is_narrowed(regions.0, regions.1);
            changes.add(Subject::Workspace, name, change, cuts_off);
        }
        let properties = (&workspace.properties, &after.properties);
        changes.add_properties(Subject::Workspace, name, properties.0, properties.1);
    }
    for name in new.keys().filter(|name| !old.contains_key(*name)) {
        changes.add(Subject::Workspace, name, "added", false);
    }
}

fn compare_keys(old: &ConfigView, new: &ConfigView, changes: &mut Changes) {
    fn by_key(view: &ConfigView) -> BTreeMap<&Key, &WorkspaceView> {
        let workspaces = view.workspaces.iter();
        let keys = workspaces.flat_map(|w| w.keys().map(move |key| (key, w)));
        keys.collect()
    }
    let (before, after) = (by_key(old), by_key(new));
    for (key, workspace) in &before {
        let Some(now) = after.get(key) else {
            let change = format!("removed from workspace {}", workspace.name);
            changes.add(Subject::Key, key, change, new.checks_keys);
            continue;
        };
        if now.name != workspace.name {
            let change = format!("moved from workspace {} to {}", workspace.name, now.name);
            let regions = (
                workspace.allowed_regions.as_ref(),
                now.allowed_regions.as_ref(),
            );
            changes.add(Subject::Key, key, change, is_narrowed(regions.0, regions.1));
        }
    }
    for (key, workspace) in after.iter().filter(|(key, _)| !before.contains_key(*key)) {
        let change = format!("added to workspace {}", workspace.name);
        changes.add(Subject::Key, key, change, false);
    }
}
