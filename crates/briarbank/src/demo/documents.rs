//! Settings and published documents of the demo.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use briarbank_config::{
    ConfigDocument, EngineSettings, HostsDocument, Limits, NodeSettings, PlatformSettings,
    ServersDocument, ServiceSettings,
};
use briarbank_core::catalog::{
    Catalog, Profile, Server, ServerState, Target, TargetKind, Workspace,
};
use briarbank_core::hosts::{Host, HostState};
use briarbank_core::ids::{HostName, ZoneName};

use super::ports::NodePorts;

pub(super) const MODEL: &str = "catalogue-8b";
pub(super) const SERVICE: &str = "booking";
pub(super) const WORKSPACE: &str = "lentes-recife";
pub(super) const CHAT: &str = "chat";
pub(super) const SLIPS: &str = "slips";

const ENGINE_SERVER: &str = "engine-1";
const SERVICE_SERVER: &str = "desk-1";
const HOSTS: [(&str, &str); 2] = [("recife-1", "recife"), ("salvador-1", "salvador")];
const SLOTS: u32 = 16;
const DRAIN_TIMEOUT_MS: u64 = 10_000;

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

pub(super) fn platform_settings() -> PlatformSettings {
    PlatformSettings {
        address: any_port(),
        rate_per_s: 2_000,
    }
}

pub(super) fn engine_settings() -> EngineSettings {
    EngineSettings {
        server: ENGINE_SERVER.into(),
        address: any_port(),
        slots: SLOTS,
        token_us: 20_000,
        batch_token_us: 200,
        prompt_us: 20_000,
        cached_prefixes: 1_000,
        load_lag_ms: 200,
        seed: 1,
        version: "".into(),
    }
}

pub(super) fn service_settings() -> ServiceSettings {
    ServiceSettings {
        server: SERVICE_SERVER.into(),
        service: SERVICE.into(),
        address: any_port(),
        call_us: 5_000,
    }
}

pub(super) fn node_settings(ports: &[NodePorts; 2], platform: SocketAddr) -> [NodeSettings; 2] {
    let key: Arc<str> = Arc::from(uuid::Uuid::now_v7().to_string());
    let settings = |index: usize| NodeSettings {
        host: HostName::new(HOSTS[index].0),
        zone: ZoneName::new(HOSTS[index].1),
        caller_address: ports[index].caller,
        peer_address: ports[index].peer,
        operator_address: ports[index].operator,
        platform_addresses: vec![platform],
        shared_key: Arc::clone(&key),
        drain_timeout_ms: DRAIN_TIMEOUT_MS,
        limits: Limits::default(),
    };
    [settings(0), settings(1)]
}

pub(super) fn hosts(ports: &[NodePorts; 2]) -> HostsDocument {
    let hosts = HOSTS.iter().zip(ports).map(|((name, zone), ports)| Host {
        name: HostName::new(name),
        zone: ZoneName::new(zone),
        peer_address: ports.peer,
        state: HostState::Live,
    });
    HostsDocument {
        hosts: hosts.collect(),
    }
}

pub(super) fn servers(engine: SocketAddr, service: SocketAddr) -> ServersDocument {
    let server = |name: &str, host: usize, address, target: &str| Server {
        name: name.into(),
        zone: ZoneName::new(HOSTS[host].1),
        address,
        targets: vec![target.into()],
        slots: SLOTS,
        version: "".into(),
        checks_fencing: false,
        state: ServerState::Live,
    };
    ServersDocument {
        servers: vec![
            server(ENGINE_SERVER, 0, engine, MODEL),
            server(SERVICE_SERVER, 1, service, SERVICE),
        ],
    }
}

pub(super) fn config() -> ConfigDocument {
    let target = |name: &str, kind| Target {
        name: name.into(),
        kind,
    };
    ConfigDocument {
        catalog: Catalog {
            profiles: vec![slips(), chat()],
            workspaces: vec![Workspace {
                name: WORKSPACE.into(),
                weight: 1.0,
                in_flight_limit: 100,
            }],
            targets: vec![
                target(MODEL, TargetKind::Model),
                target(SERVICE, TargetKind::Service),
            ],
            ..Catalog::default()
        },
    }
}

fn slips() -> Profile {
    Profile {
        name: SLIPS.into(),
        tier: 0,
        idempotent: false,
        first_token_ms: 500,
        between_tokens_ms: 0,
        whole_ms: 2_000,
        share_ratio: 0.3,
        queue_limit: 100,
    }
}

fn chat() -> Profile {
    Profile {
        name: CHAT.into(),
        tier: 1,
        idempotent: true,
        first_token_ms: 1_400,
        between_tokens_ms: 79,
        whole_ms: 20_000,
        share_ratio: 0.4,
        queue_limit: 100,
    }
}
