//! The example settings and documents are valid, each alone and as a fleet.

use std::path::{Path, PathBuf};

use briarbank_config::{
    ConfigDocument, EngineSettings, HostsDocument, NodeSettings, PlatformSettings, ServersDocument,
    ServiceSettings, Validate, check_node, check_servers, load,
};
use serde::de::DeserializeOwned;

const NORDESTE: [&str; 3] = ["recife", "salvador", "fortaleza"];
const SOUTH_WALES: [&str; 3] = ["cardiff", "swansea", "newport"];

fn folder(fleet: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../settings")
        .join(fleet)
}

fn load_example<T: DeserializeOwned + Validate>(fleet: &str, file: &str) -> T {
    load(&folder(fleet).join(file)).unwrap_or_else(|e| panic!("{e}"))
}

fn check_fleet(fleet: &str, zones: &[&str]) {
    let hosts: HostsDocument = load_example(fleet, "hosts.json");
    let servers: ServersDocument = load_example(fleet, "servers.json");
    let config: ConfigDocument = load_example(fleet, "config.json");
    assert_eq!(check_servers(&servers, &config), []);
    assert_eq!(hosts.hosts.len(), zones.len());
    for zone in zones {
        let node: NodeSettings = load_example(fleet, &format!("node-{zone}-1.json"));
        assert_eq!(check_node(&node, &hosts), [], "{zone}");
    }
    let engine: EngineSettings = load_example(fleet, "engine.json");
    let service: ServiceSettings = load_example(fleet, "service.json");
    let platform: PlatformSettings = load_example(fleet, "platform.json");
    assert!(platform.rate_per_s > 0);
    for (name, address) in [
        (engine.server, engine.address),
        (service.server, service.address),
    ] {
        let server = servers
            .servers
            .iter()
            .find(|s| s.name == name)
            .expect("a listed server");
        assert_eq!(server.address, address);
    }
}

#[test]
fn nordeste_fleet_is_valid() {
    check_fleet("nordeste", &NORDESTE);
}

#[test]
fn south_wales_fleet_is_valid() {
    check_fleet("south-wales", &SOUTH_WALES);
}
