//! The committed examples are valid, alone and together.

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

fn example<T: DeserializeOwned + Validate>(fleet: &str, file: &str) -> T {
    load(&folder(fleet).join(file)).unwrap_or_else(|e| panic!("{e}"))
}

fn check_fleet(fleet: &str, zones: &[&str]) {
    let hosts: HostsDocument = example(fleet, "hosts.json");
    let servers: ServersDocument = example(fleet, "servers.json");
    let config: ConfigDocument = example(fleet, "config.json");
    assert_eq!(check_servers(&servers, &config), []);
    assert_eq!(hosts.hosts.len(), zones.len());
    for zone in zones {
        let node: NodeSettings = example(fleet, &format!("node-{zone}-1.json"));
        assert_eq!(check_node(&node, &hosts), [], "{zone}");
    }
    let engine: EngineSettings = example(fleet, "engine.json");
    let service: ServiceSettings = example(fleet, "service.json");
    let platform: PlatformSettings = example(fleet, "platform.json");
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
fn fleet_of_the_nordeste_is_valid() {
    check_fleet("nordeste", &NORDESTE);
}

#[test]
fn fleet_of_south_wales_is_valid() {
    check_fleet("south-wales", &SOUTH_WALES);
}
