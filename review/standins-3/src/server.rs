//! Servers: one listener with a thread for each connection.

use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Serves one connection of a run of a server.
pub type Serve = dyn Fn(TcpStream, &Run) + Send + Sync;

/// One run of a server's process.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub version: String,
    pub born_ms: u64,
    /// Cleared when the run has ended.
    pub is_up: Arc<AtomicBool>,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
}

/// A server that can be ended and started again at its address.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    run: Option<Run>,
    serve: Arc<Serve>,
}

/// Returns the time of day in milliseconds.
#[must_use]
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

impl Server {
    /// Starts a server at a free port.
    ///
    /// # Panics
    ///
    /// The address cannot be bound.
    pub fn start(
        id: &str,
        version: &str,
        ip: &str,
        serve: impl Fn(TcpStream, &Run) + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("binding a server failed");
        let address = listener.local_addr().unwrap();
        let mut server = Self {
            id: id.to_owned(),
            address,
            run: None,
            serve: Arc::new(serve),
        };
        server.listen(listener, version);
        server
    }

    fn listen(&mut self, listener: TcpListener, version: &str) {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let run = Run {
            id: self.id.clone(),
            version: version.to_owned(),
            born_ms: now_ms(),
            is_up: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
        };
        self.run = Some(run.clone());
        let serve = Arc::clone(&self.serve);
        thread::spawn(move || {
            for stream in listener.incoming() {
                if !run.is_up.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                let number = NEXT.fetch_add(1, Ordering::SeqCst);
                if let Ok(copy) = stream.try_clone() {
                    run.connections.lock().unwrap().insert(number, copy);
                }
                let (run, serve) = (run.clone(), Arc::clone(&serve));
                thread::spawn(move || {
                    serve(stream, &run);
                    run.connections.lock().unwrap().remove(&number);
                });
            }
        });
    }

    /// Ends the process: its listener and all of its connections close.
    pub fn end(&mut self) {
        let Some(run) = self.run.take() else {
            return;
        };
        run.is_up.store(false, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in run.connections.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts the next process at the same address.
    ///
    /// # Panics
    ///
    /// The address cannot be bound.
    pub fn start_again(&mut self, version: &str) {
        let mut tries = 0;
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(error) if tries >= 100 => panic!("binding a server again failed: {error}"),
                Err(_) => {
                    tries += 1;
                    thread::sleep(Duration::from_millis(10));
                }
            }
        };
        self.listen(listener, version);
    }

    /// Returns the entry that the server writes to the store.
    #[must_use]
    pub fn entry(&self, service: &str, zone: &str, slots: u32) -> String {
        let run = self.run.as_ref().expect("the server is down");
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"{}\",\"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"sequence\":1,\"born\":{}}}",
            self.address, run.version, run.born_ms
        )
    }
}
