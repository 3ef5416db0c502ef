//! Adoption of published values.

use std::collections::BTreeMap;
use std::sync::Arc;

use quick_error::quick_error;

use crate::catalog::{Catalog, Fleet};
use crate::conf::message::Key;
use crate::hosts::HostView;
use crate::ids::Revision;

quick_error! {
    /// A published document that can't come into force.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum InvalidDocument {
        /// It does not decode, or its content breaks a rule.
        Refused(reason: Arc<str>) {
            display("{reason}")
        }
    }
}

impl InvalidDocument {
    /// Takes the text of the decoder's error.
    #[must_use]
    pub fn new(error: &dyn std::error::Error) -> Self {
        Self::Refused(Arc::from(error.to_string()))
    }

    /// Why it was refused.
    #[must_use]
    pub fn reason(&self) -> &Arc<str> {
        let Self::Refused(reason) = self;
        reason
    }
}

/// Decodes and checks published documents.
///
/// Errors are text for operators; the log keeps them for the dump.
pub trait Documents: Send {
    /// Decodes the host list.
    ///
    /// # Errors
    ///
    /// Why the document is invalid.
    fn hosts(&self, revision: Revision, bytes: &[u8]) -> Result<HostView, InvalidDocument>;
    /// Decodes the server list.
    ///
    /// # Errors
    ///
    /// Why the document is invalid.
    fn servers(&self, revision: Revision, bytes: &[u8]) -> Result<Fleet, InvalidDocument>;
    /// Decodes the configuration.
    ///
    /// # Errors
    ///
    /// Why the document is invalid.
    fn config(&self, revision: Revision, bytes: &[u8]) -> Result<Catalog, InvalidDocument>;
}

/// A value that has just come into force.
#[derive(Clone, Debug, PartialEq)]
pub enum Adopted {
    /// Host list.
    Hosts(Arc<HostView>),
    /// Server list.
    Servers(Arc<Fleet>),
    /// Configuration.
    Config(Arc<Catalog>),
}

/// A newer value that was invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Its revision.
    pub revision: Revision,
    /// Why.
    pub error: Arc<str>,
}

/// One adopted value as published.
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
    /// Adopted revision, 0 before the first.
    #[must_use]
    pub fn revision(&self, key: Key) -> Revision {
        self.entries.get(&key).map_or(Revision(0), |e| e.revision)
    }

    /// Adopted document as published.
    #[must_use]
    pub fn bytes(&self, key: Key) -> Option<&Arc<[u8]>> {
        self.entries.get(&key).map(|e| &e.bytes)
    }

    /// Newest invalid document of the key, if any was seen.
    #[must_use]
    pub fn refused(&self, key: Key) -> Option<&Refused> {
        self.refused.get(&key)
    }

    /// Takes note that a peer refused a newer document.
    ///
    /// It only shows in the dump: a valid document of that revision is still adopted.
    pub fn note(&mut self, key: Key, revision: Revision, error: &Arc<str>) {
        let seen = self.refused.get(&key).map_or(Revision(0), |r| r.revision);
        if revision > seen && revision > self.revision(key) {
            let error = Arc::clone(error);
            self.refused.insert(key, Refused { revision, error });
        }
    }

    /// Newest revision seen, valid or not; what to wait for comes after it.
    #[must_use]
    pub fn seen(&self, key: Key) -> Revision {
        let refused = self.refused.get(&key).map_or(Revision(0), |r| r.revision);
        refused.max(self.revision(key))
    }

    /// Adopts a value when it is newer and valid.
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
