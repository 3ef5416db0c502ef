//! Offline validation of settings and published documents.

use std::fmt::Display;
use std::io::Write;
use std::path::{Path, PathBuf};

use briarbank_config::{
    ConfigDocument, EngineSettings, Error as ConfigError, Fault, FileError, HostsDocument,
    NodeSettings, PlatformSettings, ServersDocument, ServiceSettings, Validate, check_node,
    check_servers, load,
};
use briarbank_standin::LoadPlan;
use serde::de::DeserializeOwned;

use crate::Error;

/// Files to check, by their kind.
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
}

/// Checks each file and the files against each other, and prints every fault.
///
/// # Errors
///
/// [`Error::Invalid`] when any file has a fault, [`Error::NothingToCheck`]
/// when none is given.
pub fn check(selection: &FilesToCheck, out: &mut dyn Write) -> Result<(), Error> {
    let mut report = Report {
        out,
        checked: 0,
        invalid: 0,
    };
    let hosts = report.one::<HostsDocument>(selection.hosts.as_deref())?;
    let servers = report.one::<ServersDocument>(selection.servers.as_deref())?;
    let config = report.one::<ConfigDocument>(selection.config.as_deref())?;
    if let (Some(servers), Some(config), Some(path)) = (&servers, &config, &selection.servers) {
        report.between(path, check_servers(servers, config))?;
    }
    for path in &selection.nodes {
        let node = report.one::<NodeSettings>(Some(path))?;
        if let (Some(node), Some(hosts)) = (&node, &hosts) {
            report.between(path, check_node(node, hosts))?;
        }
    }
    for path in &selection.gateways {
        report.gateway(path)?;
    }
    report.each::<PlatformSettings>(&selection.platforms)?;
    report.each::<EngineSettings>(&selection.engines)?;
    report.each::<ServiceSettings>(&selection.services)?;
    report.each::<LoadPlan>(&selection.loads)?;
    report.result()
}

struct Report<'a> {
    out: &'a mut dyn Write,
    checked: usize,
    invalid: usize,
}

impl Report<'_> {
    fn each<T: DeserializeOwned + Validate>(&mut self, paths: &[PathBuf]) -> Result<(), Error> {
        for path in paths {
            self.one::<T>(Some(path))?;
        }
        Ok(())
    }

    fn one<T: DeserializeOwned + Validate>(
        &mut self,
        path: Option<&Path>,
    ) -> Result<Option<T>, Error> {
        let Some(path) = path else {
            return Ok(None);
        };
        self.checked += 1;
        match load(path) {
            Ok(value) => {
                writeln!(self.out, "{}: valid", path.display())?;
                Ok(Some(value))
            }
            Err(error) => {
                self.refuse(&error)?;
                Ok(None)
            }
        }
    }

    fn gateway(&mut self, path: &Path) -> Result<(), Error> {
        self.checked += 1;
        match briarbank_platform::load_settings(path) {
            Ok(_) => Ok(writeln!(self.out, "{}: valid", path.display())?),
            Err(error) => self.refuse(&error),
        }
    }

    fn between(&mut self, path: &Path, faults: Vec<Fault>) -> Result<(), Error> {
        if faults.is_empty() {
            return Ok(());
        }
        let error = FileError::Invalid(path.to_path_buf(), ConfigError::Faults(faults));
        self.refuse(&error)
    }

    fn refuse(&mut self, error: &dyn Display) -> Result<(), Error> {
        self.invalid += 1;
        writeln!(self.out, "{error}")?;
        Ok(())
    }

    fn result(&self) -> Result<(), Error> {
        match (self.checked, self.invalid) {
            (0, _) => Err(Error::NothingToCheck),
            (_, 0) => Ok(()),
            (_, invalid) => Err(Error::Invalid(invalid)),
        }
    }
}
