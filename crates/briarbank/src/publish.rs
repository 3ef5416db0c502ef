//! Initial documents of the platform stand-in.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use briarbank_config::{ConfigDocument, HostsDocument, ServersDocument, Validate, load};
use briarbank_core::conf::Key;
use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::operator::OperatorPort;

/// Files that the platform stand-in publishes at its start.
#[derive(Clone, Debug, Default)]
pub struct DocumentFiles {
    /// Host list.
    pub hosts: Option<PathBuf>,
    /// Server list.
    pub servers: Option<PathBuf>,
    /// Configuration.
    pub config: Option<PathBuf>,
}

/// Document that is valid for its key.
#[derive(Clone, Debug)]
pub(crate) struct Document {
    pub(crate) key: Key,
    pub(crate) body: Bytes,
}

impl DocumentFiles {
    /// Reads and validates the files.
    pub(crate) fn read_documents(&self) -> Result<Vec<Document>, Error> {
        let documents = [
            read_document::<ConfigDocument>(Key::Config, self.config.as_deref())?,
            read_document::<ServersDocument>(Key::Servers, self.servers.as_deref())?,
            read_document::<HostsDocument>(Key::Hosts, self.hosts.as_deref())?,
        ];
        Ok(documents.into_iter().flatten().collect())
    }
}

fn read_document<T: DeserializeOwned + Validate>(
    key: Key,
    path: Option<&Path>,
) -> Result<Option<Document>, Error> {
    let Some(path) = path else {
        return Ok(None);
    };
    load::<T>(path)?;
    let body = Bytes::from(std::fs::read(path)?);
    Ok(Some(Document { key, body }))
}

/// Publishes a document through a platform stand-in.
pub(crate) async fn publish(address: SocketAddr, document: Document) -> Result<(), Error> {
    let platform = OperatorPort {
        address,
        settings: None,
    };
    let path = format!("/control/values/{}", document.key.as_str());
    platform.call(Method::PUT, &path, document.body).await?;
    Ok(())
}
