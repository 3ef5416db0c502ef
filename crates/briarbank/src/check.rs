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
}

/// Checks each file and the files against each other, and prints every fault.
///
/// # Errors
///
/// [`Error::Invalid`] when a file has a fault, [`Error::NothingToCheck`]
/// when no file is given.
pub fn check(selection: &FilesToCheck, out: &mut dyn Write) -> Result<(), Error> {
    let mut report = Report {
        out,
        checked: 0,
        invalid: 0,
    };
    let hosts = report.check_file::<HostsDocument>(selection.hosts.as_deref())?;
    let servers = report.check_file::<ServersDocument>(selection.servers.as_deref())?;
    let config = report.check_file::<ConfigDocument>(selection.config.as_deref())?;
    if let (Some(servers), Some(config), Some(path)) = (&servers, &config, &selection.servers) {
        report.report_mismatches(path, check_servers(servers, config))?;
    }
    for path in &selection.nodes {
        let node = report.check_file::<NodeSettings>(Some(path))?;
        if let (Some(node), Some(hosts)) = (&node, &hosts) {
            report.report_mismatches(path, check_node(node, hosts))?;
        }
    }
    for path in &selection.gateways {
        report.check_gateway_settings(path)?;
    }
    report.check_files::<PlatformSettings>(&selection.platforms)?;
    report.check_files::<EngineSettings>(&selection.engines)?;
    report.check_files::<ServiceSettings>(&selection.services)?;
    report.check_files::<LoadPlan>(&selection.loads)?;
    report.result()
}

struct Report<'a> {
    out: &'a mut dyn Write,
    checked: usize,
    invalid: usize,
}

impl Report<'_> {
    fn check_files<T: DeserializeOwned + Validate>(
        &mut self,
        paths: &[PathBuf],
    ) -> Result<(), Error> {
        for path in paths {
            self.check_file::<T>(Some(path))?;
        }
        Ok(())
    }

    fn check_file<T: DeserializeOwned + Validate>(
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
                self.report_invalid(&error)?;
                Ok(None)
            }
        }
    }

    fn check_gateway_settings(&mut self, path: &Path) -> Result<(), Error> {
        self.checked += 1;
        match briarbank_platform::load_settings(path) {
            Ok(_) => Ok(writeln!(self.out, "{}: valid", path.display())?),
            Err(error) => self.report_invalid(&error),
        }
    }

    fn report_mismatches(&mut self, path: &Path, faults: Vec<Fault>) -> Result<(), Error> {
        if faults.is_empty() {
            return Ok(());
        }
        let error = FileError::Invalid(path.to_path_buf(), ConfigError::Faults(faults));
        self.report_invalid(&error)
    }

    fn report_invalid(&mut self, error: &dyn Display) -> Result<(), Error> {
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
