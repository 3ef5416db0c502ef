//! Offline validation of settings and published documents.

use std::io::Write;
use std::path::{Path, PathBuf};

use briarbank_check::ServerView;
use briarbank_config::{
    EngineSettings, HostsDocument, NodeSettings, PlatformSettings, ServersDocument,
    ServiceSettings, check_node, check_servers,
};
use briarbank_gateway::Settings;
use briarbank_standin::LoadPlan;

use crate::Error;
use crate::check_report::Report;
use crate::config_check::{check_config_views, check_platform_config, load_product_view};

/// Files to check, by kind.
#[derive(Clone, Debug, Default)]
pub struct FilesToCheck {
    /// Settings of nodes.
    pub nodes: Vec<PathBuf>,
    /// Settings files that the platform writes for gateways.
    pub gateways: Vec<PathBuf>,
    /// Settings of platform stand-ins.
    pub platforms: Vec<PathBuf>,
    /// Settings of engine stand-ins.
    pub engines: Vec<PathBuf>,
    /// Settings of service stand-ins.
    pub services: Vec<PathBuf>,
    /// Plans of the load tool.
    pub loads: Vec<PathBuf>,
    /// Host list.
    pub hosts: Option<PathBuf>,
    /// Server list.
    pub servers: Option<PathBuf>,
    /// Configuration.
    pub config: Option<PathBuf>,
    /// Configuration in the platform's form.
    pub platform_config: Option<PathBuf>,
    /// Saved answer of the platform's store that lists server entries.
    pub platform_servers: Option<PathBuf>,
    /// Configuration in force, in the form of the one to check.
    pub against: Option<PathBuf>,
    /// Hedged requests that gateways may send per call.
    pub hedge_ratio: Option<f64>,
    /// Whether to print JSON.
    pub is_json: bool,
}

impl FilesToCheck {
    /// Refuses files and values that need another file.
    fn check_usage(&self) -> Result<(), Error> {
        if self.against.is_some() && self.config.is_some() == self.platform_config.is_some() {
            return Err(Error::CheckUsage(
                "--against needs one of --config and --platform-config",
            ));
        }
        if self.platform_config.is_none() && self.platform_servers.is_some() {
            return Err(Error::CheckUsage(
                "--platform-servers needs --platform-config",
            ));
        }
        if self.platform_config.is_none() && self.hedge_ratio.is_some() {
            return Err(Error::CheckUsage("--hedge-ratio needs --platform-config"));
        }
        Ok(())
    }
}

/// Checks each file and the files against each other, and prints every finding.
///
/// # Errors
///
/// [`Error::Invalid`] when a file has an error, [`Error::NothingToCheck`]
/// when no file is given, [`Error::CheckUsage`] when one lacks another.
pub fn check(selection: &FilesToCheck, out: &mut dyn Write) -> Result<(), Error> {
    selection.check_usage()?;
    let mut report = Report::default();
    check_documents(selection, &mut report);
    let gateways = check_gateways(&selection.gateways, &mut report);
    if let Some(path) = &selection.platform_config {
        check_platform_config(path, selection, &gateways, &mut report);
    }
    report.check_files::<PlatformSettings>(&selection.platforms);
    report.check_files::<EngineSettings>(&selection.engines);
    report.check_files::<ServiceSettings>(&selection.services);
    report.check_files::<LoadPlan>(&selection.loads);
    report.print(selection.is_json, out)?;
    report.result()
}

/// Checks the product's documents and the settings of nodes.
fn check_documents(selection: &FilesToCheck, report: &mut Report) {
    let hosts = selection.hosts.as_deref();
    let hosts = hosts.and_then(|path| report.check_file::<HostsDocument>(path));
    let servers = selection.servers.as_deref();
    let servers = servers.and_then(|path| report.check_file::<ServersDocument>(path));
    if let Some(path) = &selection.config {
        check_config(path, selection, servers.as_ref(), report);
    }
    for path in &selection.nodes {
        let node = report.check_file::<NodeSettings>(path);
        if let (Some(node), Some(hosts)) = (&node, &hosts) {
            report.add_faults(path, check_node(node, hosts));
        }
    }
}

fn check_config(
    path: &Path,
    selection: &FilesToCheck,
    servers: Option<&ServersDocument>,
    report: &mut Report,
) {
    let Some((config, view)) = load_product_view(path, report) else {
        return;
    };
    if let (Some(servers), Some(path)) = (servers, &selection.servers) {
        report.add_faults(path, check_servers(servers, &config));
    }
    let surroundings = briarbank_check::Surroundings {
        servers: servers.map(view_servers),
        ..briarbank_check::Surroundings::default()
    };
    let against = selection.against.as_deref();
    let old = against.and_then(|path| load_product_view(path, report));
    let old = old.as_ref().map(|(_, view)| view);
    check_config_views(path, &view, old, &[surroundings], report);
}

fn view_servers(servers: &ServersDocument) -> Vec<ServerView> {
    let servers = servers.servers.iter();
    let views = servers.flat_map(|server| {
        let view = |target: &briarbank_core::ids::TargetName| ServerView {
            service: target.as_str().into(),
            zone: server.zone.clone(),
        };
        server.targets.iter().map(view)
    });
    views.collect()
}

fn check_gateways(paths: &[PathBuf], report: &mut Report) -> Vec<Settings> {
    let mut gateways = Vec::new();
    for path in paths {
        match briarbank_platform::load_settings(path) {
            Ok(settings) => {
                report.add_file(path, Vec::new());
                gateways.push(settings);
            }
            Err(error) => report.add_text_error(path, &error.to_string()),
        }
    }
    gateways
}
