//! Documents that the platform publishes.

use std::sync::Arc;

use briarbank_core::catalog::{Catalog, Fleet, Server};
use briarbank_core::conf::Documents;
use briarbank_core::hosts::{Host, HostView};
use briarbank_core::ids::Revision;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::settings::{Error, parse};

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostsDocument {
    hosts: Vec<Host>,
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServersDocument {
    servers: Vec<Server>,
}

fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let text = std::str::from_utf8(bytes).map_err(|e| Error::Syntax(Arc::from(e.to_string())))?;
    parse(text)
}

/// Parses the host list.
///
/// # Errors
///
/// The first fault of the document.
pub fn parse_hosts(revision: Revision, bytes: &[u8]) -> Result<HostView, Error> {
    let document: HostsDocument = from_bytes(bytes)?;
    Ok(HostView::new(revision, document.hosts))
}

/// Parses the server list.
///
/// # Errors
///
/// The first fault of the document.
pub fn parse_servers(revision: Revision, bytes: &[u8]) -> Result<Fleet, Error> {
    let document: ServersDocument = from_bytes(bytes)?;
    Ok(Fleet {
        revision,
        servers: document.servers,
    })
}

/// Parses the operators' configuration.
///
/// # Errors
///
/// The first fault of the document.
pub fn parse_config(revision: Revision, bytes: &[u8]) -> Result<Catalog, Error> {
    let catalog: Catalog = from_bytes(bytes)?;
    Ok(Catalog {
        revision,
        ..catalog
    })
}

/// Decoder of published documents for the core.
#[derive(Clone, Copy, Debug, Default)]
pub struct Published;

impl Documents for Published {
    fn hosts(&self, revision: Revision, bytes: &[u8]) -> Result<HostView, Arc<str>> {
        parse_hosts(revision, bytes).map_err(|e| Arc::from(e.to_string()))
    }

    fn servers(&self, revision: Revision, bytes: &[u8]) -> Result<Fleet, Arc<str>> {
        parse_servers(revision, bytes).map_err(|e| Arc::from(e.to_string()))
    }

    fn config(&self, revision: Revision, bytes: &[u8]) -> Result<Catalog, Arc<str>> {
        parse_config(revision, bytes).map_err(|e| Arc::from(e.to_string()))
    }
}
