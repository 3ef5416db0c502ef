//! Programs that run until they are stopped.

use std::io::Write;
use std::path::Path;

use briarbank_config::{EngineSettings, NodeSettings, PlatformSettings, ServiceSettings};
use tokio::runtime::{Builder, Runtime};

use crate::Error;

pub(crate) fn runtime() -> Result<Runtime, Error> {
    Ok(Builder::new_multi_thread().enable_all().build()?)
}

/// Runs a router node.
///
/// # Errors
///
/// Invalid settings, or a node that can't run.
pub fn node(path: &Path) -> Result<(), Error> {
    let _settings: NodeSettings = briarbank_config::load(path)?;
    Err(Error::Missing("node"))
}

/// Runs the platform stand-in.
///
/// # Errors
///
/// Invalid settings, or a stand-in that can't run.
pub fn platform(path: &Path) -> Result<(), Error> {
    let _settings: PlatformSettings = briarbank_config::load(path)?;
    Err(Error::Missing("standin platform"))
}

/// Runs a model engine stand-in.
///
/// # Errors
///
/// Invalid settings, or a stand-in that can't run.
pub fn engine(path: &Path) -> Result<(), Error> {
    let _settings: EngineSettings = briarbank_config::load(path)?;
    Err(Error::Missing("standin engine"))
}

/// Runs a plain service stand-in.
///
/// # Errors
///
/// Invalid settings, or a stand-in that can't run.
pub fn service(path: &Path) -> Result<(), Error> {
    let _settings: ServiceSettings = briarbank_config::load(path)?;
    Err(Error::Missing("standin service"))
}

/// Runs stand-ins and two nodes in this process and shows some calls.
///
/// # Errors
///
/// A part that can't run, or a call that isn't answered as promised.
pub fn demo(_out: &mut dyn Write) -> Result<(), Error> {
    Err(Error::Missing("demo"))
}

/// Sends load and prints its result.
///
/// # Errors
///
/// An invalid plan, or output that can't be written.
pub fn load(_plan: &Path, _json: bool, _out: &mut dyn Write) -> Result<(), Error> {
    Err(Error::Missing("load"))
}
