//! The node under test as a child process.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};

use serde_json::json;

/// Clock ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// Index of the user time in `/proc/PID/stat`, counted after the command name.
const USER_TIME_FIELD: usize = 11;

/// Shared key, required by the operator port.
pub(crate) const KEY: &str = "speed-benchmark-key";

/// A running node, killed on drop.
pub(crate) struct NodeProcess {
    child: Child,
    pub(crate) caller: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) operator: SocketAddr,
}

impl NodeProcess {
    pub(crate) fn start(binary: &str, platform: SocketAddr) -> io::Result<Self> {
        let [caller, peer, operator] = [free_port()?, free_port()?, free_port()?];
        let settings = json!({
            "host": "speed-1",
            "zone": "recife",
            "caller_address": caller,
            "peer_address": peer,
            "operator_address": operator,
            "platform_addresses": [platform],
            "shared_key": KEY,
        });
        let file = std::env::temp_dir().join(format!("speed-{}.jsonc", std::process::id()));
        std::fs::write(&file, settings.to_string())?;
        let child = Command::new(binary)
            .arg("node")
            .arg(&file)
            .env("RUST_LOG", "warn")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()?;
        Ok(Self {
            child,
            caller,
            peer,
            operator,
        })
    }

    /// Returns the processor time used so far, in seconds.
    pub(crate) fn cpu_time_s(&self) -> f64 {
        let stat = self.read_proc_file("stat");
        let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
        let ticks = fields.skip(USER_TIME_FIELD).take(2);
        ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_S
    }

    /// Returns the current and the peak resident memory, in megabytes.
    pub(crate) fn memory_mb(&self) -> (f64, f64) {
        let status = self.read_proc_file("status");
        let field = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name));
            let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
            kb.unwrap_or(0.0) / 1_024.0
        };
        (field("VmRSS:"), field("VmHWM:"))
    }

    /// Returns whether the process has exited.
    pub(crate) fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    fn read_proc_file(&self, name: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap_or_default()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // `kill` fails if the process has exited; `wait` reaps it in both cases.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}
