//! First documents of the platform stand-in.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use briarbank_config::{ConfigDocument, HostsDocument, ServersDocument, Validate, load};
use briarbank_core::conf::Key;
use bytes::Bytes;
use http::Method;
use serde::de::DeserializeOwned;

use crate::Error;
use crate::operator::Operator;

/// Files that the platform stand-in publishes at first.
#[derive(Clone, Debug, Default)]
pub struct DocumentFiles {
    /// Host list.
    pub hosts: Option<PathBuf>,
    /// Server list.
    pub servers: Option<PathBuf>,
    /// Configuration.
    pub config: Option<PathBuf>,
}

impl DocumentFiles {
    /// Reads and validates the files.
    pub(crate) fn read(&self) -> Result<Vec<(Key, Bytes)>, Error> {
        let documents = [
            (Key::Config, read::<ConfigDocument>(self.config.as_deref())?),
            (
                Key::Servers,
                read::<ServersDocument>(self.servers.as_deref())?,
            ),
            (Key::Hosts, read::<HostsDocument>(self.hosts.as_deref())?),
        ];
        let given = documents.into_iter();
        Ok(given.filter_map(|(key, body)| Some((key, body?))).collect())
    }
}

fn read<T: DeserializeOwned + Validate>(path: Option<&Path>) -> Result<Option<Bytes>, Error> {
    let Some(path) = path else {
        return Ok(None);
    };
    load::<T>(path)?;
    Ok(Some(Bytes::from(std::fs::read(path)?)))
}

/// Publishes a document at a platform stand-in.
pub(crate) async fn publish(address: SocketAddr, key: Key, body: Bytes) -> Result<(), Error> {
    let platform = Operator {
        address,
        settings: None,
    };
    let path = format!("/control/values/{}", key.as_str());
    platform.call(Method::PUT, &path, body).await?;
    Ok(())
}
