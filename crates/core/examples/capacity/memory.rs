//! Memory of a node's components, measured as the growth of this process.

use std::hint::black_box;
use std::time::{Duration, Instant};

use briarbank_core::hosts::{Host, HostState, HostView};
use briarbank_core::ids::{HostName, Incarnation, Revision, ServerName};
use briarbank_core::member::{self, Members};
use briarbank_core::owner::Records;
use briarbank_core::subset::{Options, Subsets};

use crate::routing;

const PAGE_BYTES: f64 = 4_096.0;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    let pages: Option<f64> = pages.and_then(|p| p.parse().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// Prints the memory of one instance, averaged over `copies` instances.
fn print_memory<T>(name: &str, copies: usize, build: impl Fn(usize) -> T) {
    let before = resident_bytes();
    let instances: Vec<T> = (0..copies).map(build).collect();
    let bytes = (resident_bytes() - before) / copies as f64;
    // Freed memory would be reused and hide the growth by the next component.
    std::mem::forget(black_box(instances));
    println!("| {name} | {:.3} |", bytes / 1e6);
}

fn view(hosts: usize) -> HostView {
    let host = |i| Host {
        name: HostName::new(&format!("host-{i:03}")),
        zone: "recife".into(),
        peer_address: "127.0.0.1:1".parse().expect("valid address"),
        state: HostState::Live,
    };
    HostView::new(Revision(1), (0..hosts).map(host).collect())
}

/// Prints the memory of the components.
pub(crate) fn print() {
    println!("## Memory\n");
    println!("| component | MB |");
    println!("|:--|--:|");
    let now = Instant::now();
    for (workspaces, servers) in [(1_000, 100), (10_000, 850), (38_000, 200), (38_000, 3_300)] {
        let name = format!("router and catalog, {workspaces} workspaces, {servers} servers");
        print_memory(&name, 8, |_| routing::router(now, workspaces, servers));
    }
    for hosts in [8, 130, 390] {
        print_memory(&format!("membership, {hosts} nodes"), 200, |i| {
            let options = member::Options::default();
            let mut members = Members::new("host-000".into(), Incarnation(1), options, i as u64);
            members.set_hosts(now, &view(hosts));
            members.tick(now, &mut Vec::new());
            members
        });
    }
    for ids in [10_000, 50_000, 200_000] {
        print_memory(
            &format!("records of {ids} request ids without answers"),
            4,
            |_| {
                let mut records = Records::new(Duration::from_mins(10), ids, 0, 1);
                for id in 0..ids {
                    let request = format!("0197a1b2-7c3d-7e4f-8a5b-{id:012}").as_str().into();
                    records.record_start(now, &request, id as u64);
                }
                records
            },
        );
    }
    let hosts: Vec<HostName> = view(390).hosts.into_iter().map(|h| h.name).collect();
    let servers: Vec<ServerName> = (0..3_300)
        .map(|i| ServerName::new(&format!("engine-{i:04}")))
        .collect();
    let started = Instant::now();
    print_memory("subsets of 390 nodes, 3,300 servers", 4, |_| {
        Subsets::new(Options::default(), &hosts, &servers)
    });
    let each_ms = started.elapsed().as_secs_f64() * 1e3 / 4.0;
    println!("\nsubsets take {each_ms:.0} ms to compute\n");
}
