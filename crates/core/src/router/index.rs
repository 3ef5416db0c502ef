//! Lookup of the adopted configuration by name.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use crate::call::{Call, Reason};
use crate::catalog::{Catalog, Profile};
use crate::ids::{ProfileName, TargetName, WorkspaceName};
use crate::queue::ClassOptions;

/// A profile and its queue options.
#[derive(Debug)]
pub(super) struct Class {
    pub(super) profile: Profile,
    pub(super) options: ClassOptions,
}

impl Class {
    fn new(profile: &Profile) -> Self {
        let options = ClassOptions {
            name: profile.name.clone(),
            tier: profile.tier,
            share_ratio: profile.share_ratio,
            limit: profile.queue_limit,
        };
        Self {
            profile: profile.clone(),
            options,
        }
    }
}

/// Weight and in-flight limit of a workspace.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkspaceLimits {
    pub(super) weight: f64,
    pub(super) in_flight_limit: usize,
}

/// Profiles, workspaces and targets by name.
#[derive(Debug, Default)]
pub(super) struct Index {
    classes: HashMap<ProfileName, Arc<Class>>,
    workspaces: HashMap<WorkspaceName, WorkspaceLimits>,
    targets: HashSet<TargetName>,
}

impl Index {
    pub(super) fn new(catalog: &Catalog) -> Self {
        let class = |p: &Profile| (p.name.clone(), Arc::new(Class::new(p)));
        let workspaces = catalog.workspaces.iter().map(|w| {
            let limits = WorkspaceLimits {
                weight: w.weight,
                in_flight_limit: w.in_flight_limit,
            };
            (w.name.clone(), limits)
        });
        Self {
            classes: catalog.profiles.iter().map(class).collect(),
            workspaces: workspaces.collect(),
            targets: catalog.targets.iter().map(|t| t.name.clone()).collect(),
        }
    }

    /// Finds the class and the workspace limits of a call.
    pub(super) fn look_up(&self, call: &Call) -> Result<(Arc<Class>, WorkspaceLimits), Reason> {
        let class = self.classes.get(&call.profile);
        let class = class.ok_or(Reason::UnknownProfile)?;
        let workspace = self.workspaces.get(&call.workspace);
        let workspace = workspace.ok_or(Reason::UnknownWorkspace)?;
        if !self.targets.contains(&call.target) {
            return Err(Reason::UnknownTarget);
        }
        Ok((Arc::clone(class), *workspace))
    }

    pub(super) fn has_class(&self, name: &ProfileName) -> bool {
        self.classes.contains_key(name)
    }

    pub(super) fn has_target(&self, name: &TargetName) -> bool {
        self.targets.contains(name)
    }
}
