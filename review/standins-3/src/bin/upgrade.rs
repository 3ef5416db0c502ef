//! Two servers are upgraded in place, one after the other, under streams that may be resumed.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use review_standins_3::record::Record;
use review_standins_3::router::{Ports, Router};
use review_standins_3::server::Server;
use review_standins_3::store::Store;
use review_standins_3::streams::{Received, SERVICE, config, count_mixed, read_stream, serve};
use review_standins_3::{has_trouble, wait_until};

/// Memory of a machine.
const MEMORY_MB: u32 = 260;

/// Streams that are begun together.
const STREAMS: usize = 24;

/// Time for which a server is down when its process is replaced.
const DOWN: Duration = Duration::from_millis(300);

/// Time between the restarts of the two servers.
const GAP: Duration = Duration::from_millis(800);

/// Time from a server's start to its first report; servers report every 1,200 ms.
const FIRST_REPORT: Duration = Duration::from_millis(800);

fn main() {
    let folder = std::env::args().nth(1).expect("folder of the case");
    let scratch = std::env::args().nth(2).expect("temporary folder");
    let record = Arc::new(Record::create(&Path::new(&folder).join("record.txt")));
    let ips: Vec<String> = (1..=2).map(|i| format!("127.11.0.{i}")).collect();
    let store = Store::start("127.11.1.1");
    store.put("op/config", &config());
    let mut servers: Vec<Server> = ["i-0a11", "i-0b22"]
        .iter()
        .map(|id| {
            let record = Arc::clone(&record);
            Server::start(id, "v1", "127.11.2.1", move |stream, run| {
                serve(stream, run, &record);
            })
        })
        .collect();
    for server in &servers {
        store.put(
            &format!("servers/{}", server.id),
            &server.entry(SERVICE, "recife-hall", 128),
        );
    }
    let ports = Ports::find(&ips);
    let routers = Router::start_fleet(
        Path::new(&scratch),
        &ips,
        &["recife-hall"],
        ports,
        store.address,
        MEMORY_MB,
    );
    if !wait_until(Duration::from_secs(15), || {
        routers.iter().all(Router::is_ready)
    }) {
        record.line("the routers did not become ready");
        std::process::exit(2);
    }
    thread::sleep(Duration::from_secs(5));
    let fronts: Vec<SocketAddr> = routers.iter().map(|r| r.front).collect();
    let streams: Arc<Mutex<Vec<Received>>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            thread::sleep(Duration::from_millis(20));
            let (fronts, record) = (fronts.clone(), Arc::clone(&record));
            let streams = Arc::clone(&streams);
            thread::spawn(move || {
                let received = read_stream(&fronts, number, &record);
                streams.lock().unwrap().push(received);
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    // Without the trouble the servers restart with the software that they had.
    let next = if has_trouble() { "v2" } else { "v1" };
    let began_at = Instant::now();
    let mut steps: Vec<(Duration, usize, u8)> = Vec::new();
    for index in 0..servers.len() {
        let at = GAP * index as u32;
        steps.push((at, index, 0));
        steps.push((at + DOWN, index, 1));
        steps.push((at + DOWN + FIRST_REPORT, index, 2));
    }
    steps.sort();
    for (at, index, step) in steps {
        thread::sleep(at.saturating_sub(began_at.elapsed()));
        let server = &mut servers[index];
        match step {
            0 => {
                record.line(&format!("server {} is ended", server.id));
                server.end();
            }
            1 => {
                server.start_again(next);
                record.line(&format!(
                    "server {} is back with software {next}",
                    server.id
                ));
            }
            _ => {
                let entry = server.entry(SERVICE, "recife-hall", 128);
                store.put(&format!("servers/{}", server.id), &entry);
                record.line(&format!(
                    "server {} reports to the store: {entry}",
                    server.id
                ));
            }
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let streams = streams.lock().unwrap().clone();
    let (mixed, text) = count_mixed(&streams);
    record.line(&text);
    println!("{text}");
    drop(routers);
    std::process::exit(if mixed > 2 { 1 } else { 0 });
}
