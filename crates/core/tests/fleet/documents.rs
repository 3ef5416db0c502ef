//! Published documents of the simulated platform.

use std::sync::Arc;

use briarbank_core::catalog::{
    Catalog, Fleet, Profile, Server, ServerState, Target, TargetKind, Workspace,
};
use briarbank_core::conf::{self, InvalidDocument};
use briarbank_core::hosts::HostView;
use briarbank_core::ids::Revision;

/// Encodes a host list as the simulated platform publishes it.
pub(crate) fn encode(view: &HostView) -> Arc<[u8]> {
    Arc::from(serde_json::to_vec(view).expect("a host list is valid JSON"))
}

/// Decoder of host lists; servers and configuration are fixed.
#[derive(Debug, Default)]
pub(crate) struct Documents {}

impl conf::Documents for Documents {
    fn hosts(&self, _: Revision, bytes: &[u8]) -> Result<HostView, InvalidDocument> {
        serde_json::from_slice(bytes).map_err(|e| InvalidDocument::new(&e))
    }

    fn servers(&self, revision: Revision, _: &[u8]) -> Result<Fleet, InvalidDocument> {
        let server = Server {
            name: "server".into(),
            zone: "zone".into(),
            address: ([127, 0, 0, 1], 2).into(),
            targets: vec!["slips".into()],
            slots: 1000,
            version: "".into(),
            checks_fencing: false,
            state: ServerState::Live,
        };
        Ok(Fleet {
            revision,
            servers: vec![server],
        })
    }

    fn config(&self, revision: Revision, _: &[u8]) -> Result<Catalog, InvalidDocument> {
        let profile = Profile {
            name: "slips".into(),
            tier: 0,
            idempotent: false,
            first_token_ms: 1000,
            between_tokens_ms: 1000,
            whole_ms: 60_000,
            share_ratio: 0.5,
            queue_limit: 1000,
        };
        let workspace = Workspace {
            name: "desk".into(),
            weight: 1.0,
            in_flight_limit: 1000,
        };
        let target = Target {
            name: "slips".into(),
            kind: TargetKind::Service,
        };
        Ok(Catalog {
            revision,
            profiles: vec![profile],
            workspaces: vec![workspace],
            targets: vec![target],
            retired_hosts_revision: Revision(0),
        })
    }
}
