//! View of the product's configuration document.

use briarbank_core::catalog::{Catalog, Profile, TargetKind, Workspace};
use briarbank_core::flow::RouteKind;

use crate::names::FieldNames;
use crate::view::{ConfigView, Property, RouteView, ServiceView, WorkspaceView};

const NAMES: FieldNames = FieldNames {
    version: "",
    routes: "profiles",
    services: "targets",
    workspaces: "workspaces",
    limits: "",
    name: "name",
    host: "",
    prefix: "",
    kind: "idempotent",
    timeout: "whole_ms",
    target: "first_token_ms",
    gap: "between_tokens_ms",
    service: "",
    splits: "",
    weight: "",
    attempts: "",
    regions: "",
    keys: "",
};

/// Returns the view of a configuration of the product's own form.
///
/// Its profiles are the classes of calls; callers name them, the target and the
/// workspace, so that it has no prefixes, parts of traffic or keys.
#[must_use]
pub fn view_of_product(catalog: &Catalog) -> ConfigView {
    let services = catalog.targets.iter().map(|target| ServiceView {
        name: target.name.as_str().into(),
        properties: vec![Property::new(
            "kind",
            match target.kind {
                TargetKind::Model => "model",
                TargetKind::Service => "service",
            },
        )],
    });
    ConfigView {
        names: NAMES,
        version: None,
        routes: catalog.profiles.iter().map(convert_profile).collect(),
        services: services.collect(),
        workspaces: catalog.workspaces.iter().map(convert_workspace).collect(),
        checks_keys: false,
        limits: Vec::new(),
    }
}

fn convert_profile(profile: &Profile) -> RouteView {
    RouteView {
        name: profile.name.to_string(),
        selector: None,
        kind: Ok(if profile.idempotent {
            RouteKind::Idempotent
        } else {
            RouteKind::AtMostOnce
        }),
        timeout_ms: profile.whole_ms,
        target_ms: profile.first_token_ms,
        gap_ms: Some(profile.between_tokens_ms),
        splits: None,
        attempts_max: None,
        is_public: false,
        allowed_regions: None,
        share_ratio: Some(profile.share_ratio),
        properties: vec![
            Property::new("tier", profile.tier),
            Property::new("queue limit", profile.queue_limit),
        ],
    }
}

fn convert_workspace(workspace: &Workspace) -> WorkspaceView {
    WorkspaceView {
        name: workspace.name.to_string(),
        keys: None,
        allowed_regions: None,
        properties: vec![
            Property::new("weight", workspace.weight),
            Property::new("calls in flight", workspace.in_flight_limit),
        ],
    }
}
