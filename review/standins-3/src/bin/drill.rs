//! The store comes back from a copy that was made before a server was upgraded in place.

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

/// Streams that are begun before the store is away, and the pause between two of them.
const STREAMS: usize = 24;
const STREAM_GAP: Duration = Duration::from_millis(20);

/// Time for which a server is down when its process ends.
const DOWN: Duration = Duration::from_millis(300);

/// Times after the copy is made: of the streams, the upgrade, the drill, the return of the store,
/// the crash of the other server, and the reports that the servers write again.
const BEGIN: Duration = Duration::ZERO;
const UPGRADE: Duration = Duration::from_millis(1_000);
const DRILL: Duration = Duration::from_millis(3_000);
const RETURN: Duration = Duration::from_millis(3_300);
const CRASH: Duration = Duration::from_millis(4_200);
const REPORTS: Duration = Duration::from_millis(4_500);

/// What happens after the copy is made.
#[derive(Clone, Copy, Debug)]
enum Step {
    Begin,
    Upgrade,
    Report,
    Drill,
    Return,
    Crash,
    BackAgain,
    WriteAgain,
}

const STEPS: [(Duration, Step); 8] = [
    (BEGIN, Step::Begin),
    (UPGRADE, Step::Upgrade),
    (UPGRADE.saturating_add(DOWN), Step::Report),
    (DRILL, Step::Drill),
    (RETURN, Step::Return),
    (CRASH, Step::Crash),
    (REPORTS, Step::BackAgain),
    (REPORTS, Step::WriteAgain),
];

fn main() {
    let folder = std::env::args().nth(1).expect("folder of the case");
    let scratch = std::env::args().nth(2).expect("temporary folder");
    let record = Arc::new(Record::create(&Path::new(&folder).join("record.txt")));
    let ips: Vec<String> = (1..=2).map(|i| format!("127.15.0.{i}")).collect();
    let store = Store::start("127.15.1.1");
    store.put("op/config", &config());
    let mut servers: Vec<Server> = ["i-0a11", "i-0b22"]
        .iter()
        .map(|id| {
            let record = Arc::clone(&record);
            Server::start(id, "v1", "127.15.2.1", move |stream, run| {
                serve(stream, run, &record);
            })
        })
        .collect();
    let report = |server: &Server| {
        let entry = server.entry(SERVICE, "recife-hall", 128);
        store.put(&format!("servers/{}", server.id), &entry);
        record.line(&format!(
            "server {} reports to the store: {entry}",
            server.id
        ));
    };
    servers.iter().for_each(report);
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
    let mut clients = Vec::new();
    let copy = store.copy();
    record.line("the store is copied");
    let began_at = Instant::now();
    for (at, step) in STEPS {
        thread::sleep(at.saturating_sub(began_at.elapsed()));
        record.line(&format!("{step:?}"));
        match step {
            Step::Upgrade => servers[0].end(),
            Step::Report => {
                servers[0].start_again("v2");
                report(&servers[0]);
            }
            Step::Begin => {
                for number in 0..STREAMS {
                    let (fronts, record) = (fronts.clone(), Arc::clone(&record));
                    let streams = Arc::clone(&streams);
                    clients.push(thread::spawn(move || {
                        let received = read_stream(&fronts, number, &record);
                        streams.lock().unwrap().push(received);
                    }));
                    thread::sleep(STREAM_GAP);
                }
            }
            // Without the trouble the store stays as it is.
            Step::Drill if has_trouble() => store.leave(),
            Step::Return if has_trouble() => store.return_from(&copy),
            Step::Drill | Step::Return => {}
            Step::Crash => servers[1].end(),
            Step::BackAgain => servers[1].start_again("v1"),
            Step::WriteAgain => servers.iter().for_each(report),
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
