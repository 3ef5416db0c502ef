//! Routers: processes of the project, with the command of the deploy file.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::Duration;

use crate::http;

/// Ports of one fleet, free on all of its addresses.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
    operator: u16,
}

impl Ports {
    /// Finds ports that are free on all addresses.
    ///
    /// # Panics
    ///
    /// There are none.
    #[must_use]
    pub fn find(ips: &[String]) -> Self {
        let is_free = |port: u16| {
            ips.iter()
                .all(|ip| TcpListener::bind((&**ip, port)).is_ok())
        };
        let start = 21_000 + (std::process::id() % 500) as u16 * 20;
        let base = (start..60_000)
            .step_by(20)
            .find(|base| (0..20).all(|i| is_free(base + i)));
        let base = base.expect("no free ports");
        Self {
            front: base,
            ready: base + 1,
            control: base + 2,
            operator: base + 3,
            internal: base + 4,
        }
    }
}

/// A router; its process is killed when dropped.
#[derive(Debug)]
pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    operator: u16,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Router {
    /// Starts a fleet, one router for each address, on machines with so much memory.
    #[must_use]
    pub fn start_fleet(
        folder: &Path,
        ips: &[String],
        zones: &[&str],
        ports: Ports,
        store: SocketAddr,
        memory_mb: u32,
    ) -> Vec<Self> {
        let seeds = ips.iter().take(3);
        let seeds: Vec<String> = seeds
            .map(|ip| format!("\"{ip}:{}\"", ports.control))
            .collect();
        let seeds = seeds.join(",");
        let mut routers = Vec::new();
        for (index, ip) in ips.iter().enumerate() {
            let zone = zones[index % zones.len()];
            let zone_lines: Vec<String> = zones
                .iter()
                .map(|z| format!("{z} = \"nordeste\""))
                .collect();
            let zone_lines = zone_lines.join("\n");
            let name = format!("edge-{zone}-{}", index + 1);
            let text = format!(
                "node = \"{name}\"\nrole = \"router\"\nmachineClass = \"edge\"\n\
                 serves = [\"edge\",\"control_plane\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
                 region = \"nordeste\"\ninternalPorts = [{},{}]\nseeds = [{seeds}]\n\
                 bootstrap = true\nlossCounts = false\ndiscovery = \"platform\"\n\
                 entry = \"vip\"\nheartbeatMs = 1200\n\
                 [zones]\n{zone_lines}\n\
                 [listen]\nfront = \"{ip}:{}\"\nreadiness = \"{ip}:{}\"\ncontrol = \"{ip}:{}\"\n\
                 [limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = {memory_mb}\nmaxFds = 4100\n\
                 linkMbps = 1000.0\ndiskMb = 0\n\
                 [bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 3000\nackMs = 4000\n\
                 catchUpS = 4\ndrainMs = 2000\ngraceS = 8\nlossSlackMs = 200\n\
                 configApplyMs = 2000\nrollbackSlackMs = 250\nmaxStretchMs = 5000\n\
                 retryBudgetRatio = 0.2\nbudgetWindowS = 10\nbudgetExtra = 56\n\
                 recoveryS = 12\npassMs = 120\nreuseWindowS = 8.7\n\
                 [platform]\naddress = \"{store}\"\nform = \"read\"\nreadsPerS = 2000\n\
                 historyS = 20\nmaxValueBytes = 1048576\n",
                ports.internal,
                ports.internal + 15,
                ports.front,
                ports.ready,
                ports.control,
            );
            let settings = folder.join(format!("{name}.toml"));
            fs::write(&settings, text).expect("writing settings failed");
            let mut router = Self {
                log: folder.join(format!("{name}.log")),
                front: SocketAddr::new(ip.parse().unwrap(), ports.front),
                ready: SocketAddr::new(ip.parse().unwrap(), ports.ready),
                operator: ports.operator,
                name,
                settings,
                child: None,
            };
            router.start();
            routers.push(router);
        }
        routers
    }

    /// Starts the process.
    ///
    /// # Panics
    ///
    /// The program is missing.
    pub fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new("target/release/briarbank")
            .args(["gateway", "--operator-port", &self.operator.to_string()])
            .env_clear()
            .env("BRIARBANK_NODE_FILE", &self.settings)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("starting the router failed: build the deploy file first");
        self.child = Some(child);
    }

    /// Returns whether the balancer would send clients to it.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(300))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            let answer = http::read_head(&mut stream, &mut Vec::new())?;
            Ok(answer.map_or(0, |answer| answer.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    /// Returns the exit status if the process has ended.
    pub fn ended(&mut self) -> Option<std::process::ExitStatus> {
        self.child.as_mut()?.try_wait().ok()?
    }

    /// Returns the id of the process.
    #[must_use]
    pub fn process_id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Returns the memory that the process has allocated in megabytes, 0 if it does not run.
    ///
    /// The program's own file and what the system holds for sockets are not counted.
    #[must_use]
    pub fn memory_mb(&self) -> u32 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.process_id()));
        let status = status.unwrap_or_default();
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("RssAnon:"));
        let kb = line.and_then(|l| l.trim().trim_end_matches(" kB").parse::<u64>().ok());
        (kb.unwrap_or(0) * 1_024 / 1_000_000) as u32
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills several processes at once.
    pub fn kill_all(routers: &mut [Self]) {
        for router in &mut *routers {
            if let Some(child) = &mut router.child {
                let _ = child.kill();
            }
        }
        routers.iter_mut().for_each(Self::kill);
    }

    /// Returns the log lines that hold a text.
    #[must_use]
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}
