//! Documents and their decoder in the tests.

use std::sync::Arc;

use briarbank_core::catalog::{Catalog, Fleet};
use briarbank_core::conf::{Adopted, Documents, InvalidDocument, Key};
use briarbank_core::hosts::HostView;
use briarbank_core::ids::Revision;

/// Prefix that makes a document invalid.
pub(crate) const INVALID: &[u8] = b"invalid";

/// Decoder that accepts every document without the prefix [`INVALID`].
pub(crate) struct FakeDocuments;

fn check(bytes: &[u8]) -> Result<(), InvalidDocument> {
    if bytes.starts_with(INVALID) {
        return Err(InvalidDocument::Refused(Arc::from(
            "made invalid by the test",
        )));
    }
    Ok(())
}

impl Documents for FakeDocuments {
    fn hosts(&self, revision: Revision, bytes: &[u8]) -> Result<HostView, InvalidDocument> {
        let hosts = serde_json::from_slice(bytes).map_err(|e| InvalidDocument::new(&e))?;
        Ok(HostView::new(revision, hosts))
    }

    fn servers(&self, revision: Revision, bytes: &[u8]) -> Result<Fleet, InvalidDocument> {
        check(bytes)?;
        Ok(Fleet {
            revision,
            ..Fleet::default()
        })
    }

    fn config(&self, revision: Revision, bytes: &[u8]) -> Result<Catalog, InvalidDocument> {
        check(bytes)?;
        Ok(Catalog {
            revision,
            ..Catalog::default()
        })
    }
}

/// Returns the key and the revision of an adopted value.
pub(crate) fn revision(adopted: &Adopted) -> (Key, Revision) {
    match adopted {
        Adopted::Hosts(view) => (Key::Hosts, view.revision),
        Adopted::Servers(fleet) => (Key::Servers, fleet.revision),
        Adopted::Config(catalog) => (Key::Config, catalog.revision),
    }
}
