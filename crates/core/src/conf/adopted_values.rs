//! Adopted published values and the decoder that checks them.

use std::collections::BTreeMap;
use std::sync::Arc;

use quick_error::quick_error;

use crate::catalog::{Catalog, Fleet};
use crate::conf::message::Key;
use crate::hosts::HostView;
use crate::ids::Revision;

quick_error! {
    /// Error of an invalid published document.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum InvalidDocument {
        /// Decoding or validation failed.
        Refused(reason: Arc<str>) {
            display("{reason}")
        }
    }
}

impl InvalidDocument {
    /// Creates the error from the text of the decoder's error.
    #[must_use]
    pub fn new(error: &dyn std::error::Error) -> Self {
        Self::Refused(Arc::from(error.to_string()))
    }

    /// Returns why the document was refused.
    #[must_use]
    pub fn reason(&self) -> &Arc<str> {
        let Self::Refused(reason) = self;
        reason
    }
}

/// Decodes and checks published documents.
///
/// Errors are text for operators and are shown in the state dump.
pub trait Documents: Send {
    /// Decodes the host list.
    ///
    /// # Errors
    ///
    /// Returns the reason if the document is invalid.
    fn hosts(&self, revision: Revision, bytes: &[u8]) -> Result<HostView, InvalidDocument>;
    /// Decodes the server list.
    ///
    /// # Errors
    ///
    /// Returns the reason if the document is invalid.
    fn servers(&self, revision: Revision, bytes: &[u8]) -> Result<Fleet, InvalidDocument>;
    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// Returns the reason if the document is invalid.
    fn config(&self, revision: Revision, bytes: &[u8]) -> Result<Catalog, InvalidDocument>;
}

/// A value that has just been adopted.
#[derive(Clone, Debug, PartialEq)]
pub enum Adopted {
    /// Host list.
    Hosts(Arc<HostView>),
    /// Server list.
    Servers(Arc<Fleet>),
    /// Configuration.
    Config(Arc<Catalog>),
}

/// A newer document that was refused as invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Revision of the document.
    pub revision: Revision,
    /// Reason of the refusal.
    pub error: Arc<str>,
}

/// An adopted document as published.
#[derive(Clone, Debug)]
struct Entry {
    revision: Revision,
    bytes: Arc<[u8]>,
}

/// Newest valid revision of each published value.
#[derive(Debug, Default)]
pub struct AdoptedValues {
    entries: BTreeMap<Key, Entry>,
    refused: BTreeMap<Key, Refused>,
}

impl AdoptedValues {
    /// Returns the adopted revision, 0 before the first.
    #[must_use]
    pub fn revision(&self, key: Key) -> Revision {
        self.entries.get(&key).map_or(Revision(0), |e| e.revision)
    }

    /// Returns the adopted document as published.
    #[must_use]
    pub fn bytes(&self, key: Key) -> Option<&Arc<[u8]>> {
        self.entries.get(&key).map(|e| &e.bytes)
    }

    /// Returns the newest invalid document of a key.
    #[must_use]
    pub fn refused(&self, key: Key) -> Option<&Refused> {
        self.refused.get(&key)
    }

    /// Records that a peer refused a newer document.
    ///
    /// The refusal only shows in the state dump and in digests to peers: a valid
    /// document of that revision is still adopted.
    pub fn record_refusal(&mut self, key: Key, revision: Revision, error: &Arc<str>) {
        let seen = self.refused.get(&key).map_or(Revision(0), |r| r.revision);
        if revision > seen && revision > self.revision(key) {
            let error = Arc::clone(error);
            self.refused.insert(key, Refused { revision, error });
        }
    }

    /// Returns the newest revision seen, valid or not; a watch waits for a newer one.
    #[must_use]
    pub fn seen(&self, key: Key) -> Revision {
        let refused = self.refused.get(&key).map_or(Revision(0), |r| r.revision);
        refused.max(self.revision(key))
    }

    /// Adopts a document if it is newer and valid.
    pub fn offer(
        &mut self,
        documents: &dyn Documents,
        key: Key,
        revision: Revision,
        bytes: &Arc<[u8]>,
    ) -> Option<Adopted> {
        if revision <= self.revision(key) {
            return None;
        }
        match decode(documents, key, revision, bytes) {
            Ok(adopted) => {
                self.entries.insert(
                    key,
                    Entry {
                        revision,
                        bytes: Arc::clone(bytes),
                    },
                );
                Some(adopted)
            }
            Err(invalid) => {
                let error = Arc::clone(invalid.reason());
                self.refused.insert(key, Refused { revision, error });
                None
            }
        }
    }
}

fn decode(
    documents: &dyn Documents,
    key: Key,
    revision: Revision,
    bytes: &[u8],
) -> Result<Adopted, InvalidDocument> {
    Ok(match key {
        Key::Hosts => Adopted::Hosts(Arc::new(documents.hosts(revision, bytes)?)),
        Key::Servers => Adopted::Servers(Arc::new(documents.servers(revision, bytes)?)),
        Key::Config => Adopted::Config(Arc::new(documents.config(revision, bytes)?)),
    })
}
