//! The node as a process of its own.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};

use serde_json::json;

/// Ticks of the processor clock a second, as `/proc` counts them.
const TICKS_PER_S: f64 = 100.0;
/// Field of `/proc/PID/stat` after the command name with the user time.
const USER_TIME_FIELD: usize = 11;

/// Key of the operator port.
pub(crate) const KEY: &str = "speed-benchmark-key";

/// A running node; it ends with this value.
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

    /// Processor time used so far, in seconds.
    pub(crate) fn processor_s(&self) -> f64 {
        let stat = self.read("stat");
        let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
        let ticks = fields.skip(USER_TIME_FIELD).take(2);
        ticks.filter_map(|t| t.parse::<f64>().ok()).sum::<f64>() / TICKS_PER_S
    }

    /// Memory of the process, in megabytes: now and at most.
    pub(crate) fn memory_mb(&self) -> (f64, f64) {
        let status = self.read("status");
        let field = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name));
            let kb = line.and_then(|l| l.split_whitespace().next()?.parse::<f64>().ok());
            kb.unwrap_or(0.0) / 1_024.0
        };
        (field("VmRSS:"), field("VmHWM:"))
    }

    /// Whether it has ended by itself.
    pub(crate) fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    fn read(&self, name: &str) -> String {
        std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap_or_default()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // It may have ended by itself; either way it is reaped.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind(("127.0.0.1", 0))?.local_addr()
}
