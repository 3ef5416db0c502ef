//! Most routers are killed at once while their clients read streams of two software versions.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use review_standins_3::record::Record;
use review_standins_3::router::{Ports, Router};
use review_standins_3::server::Server;
use review_standins_3::store::Store;
use review_standins_3::streams::{Received, SERVICE, config, read_try, serve};
use review_standins_3::{has_trouble, wait_until};

/// Memory of a machine.
const MEMORY_MB: u32 = 260;

/// Routers, and those of them that are not killed.
const ROUTERS: usize = 24;
const LEFT: usize = 2;

/// Streams of each router that is killed.
const STREAMS_EACH: usize = 4;

/// Event after which a client leaves if its router is not killed.
const LEAVE_AFTER: u32 = 20;

/// What became of a stream that is taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// It did not break off, or before its first event.
    NotTakenUp,
    GoesOn,
    Refused,
}

/// Reads a stream at one router, and takes it up once at another one when it breaks off.
fn read_stream(
    fronts: [SocketAddr; 2],
    number: usize,
    leave_after: Option<u32>,
    record: &Record,
) -> End {
    let ids = [0xe000_0000_u64, 0xf000_0000].map(|base| format!("{:016x}", base + number as u64));
    let mut received = Received::default();
    record.line(&format!(
        "client {number} sends {} to {}",
        ids[0], fronts[0]
    ));
    let first = read_try(fronts[0], number, &ids[0], None, leave_after, &mut received);
    let Some(last) = received.events.last().map(|(event, _)| *event) else {
        record.line(&format!("client {number}: no event, {first:?}"));
        return End::NotTakenUp;
    };
    if first.is_ok_and(|(_, is_whole, _)| is_whole) {
        return End::NotTakenUp;
    }
    let resumes = Some((ids[0].as_str(), last));
    let before = received.events.len();
    let second = read_try(fronts[1], number, &ids[1], resumes, None, &mut received);
    record.line(&format!(
        "client {number} takes it up after event {last} with {} at {}: {second:?}, {} more events",
        ids[1],
        fronts[1],
        received.events.len() - before
    ));
    if received.events.len() > before {
        End::GoesOn
    } else {
        End::Refused
    }
}

fn main() {
    let folder = std::env::args().nth(1).expect("folder of the case");
    let scratch = std::env::args().nth(2).expect("temporary folder");
    let record = Arc::new(Record::create(&Path::new(&folder).join("record.txt")));
    let ips: Vec<String> = (1..=ROUTERS).map(|i| format!("127.16.0.{i}")).collect();
    let store = Store::start("127.16.1.1");
    store.put("op/config", &config());
    let versions = [
        ("i-0a11", "v1"),
        ("i-0b22", "v1"),
        ("i-0c33", "v2"),
        ("i-0d44", "v2"),
    ];
    let servers = versions.map(|(id, version)| {
        let record = Arc::clone(&record);
        Server::start(id, version, "127.16.2.1", move |stream, run| {
            serve(stream, run, &record);
        })
    });
    for server in &servers {
        let entry = server.entry(SERVICE, "recife-hall", 128);
        store.put(&format!("servers/{}", server.id), &entry);
    }
    let ports = Ports::find(&ips);
    let mut routers = Router::start_fleet(
        Path::new(&scratch),
        &ips,
        &["recife-hall", "salvador-hall", "fortaleza-hall"],
        ports,
        store.address,
        MEMORY_MB,
    );
    if !wait_until(Duration::from_secs(30), || {
        routers.iter().all(Router::is_ready)
    }) {
        record.line("the routers did not become ready");
        std::process::exit(2);
    }
    thread::sleep(Duration::from_secs(10));
    let fronts: Vec<SocketAddr> = routers.iter().map(|r| r.front).collect();
    let leave_after = (!has_trouble()).then_some(LEAVE_AFTER);
    let clients: Vec<_> = (0..STREAMS_EACH * (ROUTERS - LEFT))
        .map(|number| {
            let fronts = [
                fronts[LEFT + number % (ROUTERS - LEFT)],
                fronts[number % LEFT],
            ];
            let record = Arc::clone(&record);
            thread::sleep(Duration::from_millis(4));
            thread::spawn(move || read_stream(fronts, number, leave_after, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_600));
    if has_trouble() {
        record.line(&format!(
            "{} of {ROUTERS} routers are killed",
            ROUTERS - LEFT
        ));
        Router::kill_all(&mut routers[LEFT..]);
    }
    // New streams at the same time, at the routers that are left.
    let others: Vec<_> = (0..2 * ROUTERS)
        .map(|index| {
            let (front, number) = (fronts[index % LEFT], 10_000 + index);
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || {
                let id = format!("{:016x}", 0xd000_0000_u64 + number as u64);
                let mut received = Received::default();
                let _ = read_try(front, number, &id, None, Some(1), &mut received);
                !received.events.is_empty()
            })
        })
        .collect();
    let ends: Vec<End> = clients
        .into_iter()
        .map(|c| c.join().unwrap_or(End::NotTakenUp))
        .collect();
    let began: Vec<bool> = others
        .into_iter()
        .map(|o| o.join().unwrap_or(false))
        .collect();
    let count = |end: End| ends.iter().filter(|e| **e == end).count();
    let (on, refused) = (count(End::GoesOn), count(End::Refused));
    let taken_up = on + refused;
    let new = began.iter().filter(|b| **b).count();
    let share = on as f64 / taken_up.max(1) as f64;
    let new_share = new as f64 / began.len() as f64;
    let text = format!(
        "{taken_up} streams taken up at routers that were not touched, {on} went on ({share:.2}); \
         {new} of {} new streams began ({new_share:.2}); under half of that breaks the rule",
        began.len()
    );
    record.line(&text);
    println!("{text}");
    drop(routers);
    let is_broken = taken_up >= 12 && share < new_share / 2.0;
    std::process::exit(if is_broken { 1 } else { 0 });
}
