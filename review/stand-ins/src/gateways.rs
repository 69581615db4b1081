//! Gateway processes, started as `deploy/system.toml` does, each on a loopback address of its own.

use crate::{record::Record, Case};
use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

const ENTRY: u16 = 8_548;
const HEALTH: u16 = 8_542;
const CONTROL: u16 = 8_544;
const DIRECTORY: u16 = 8_546;
const PEER: u16 = 7_540;
const METRICS: u16 = 7_555;

/// A gateway process. Dropping it kills the process.
#[derive(Debug)]
pub struct GatewayProcess {
    pub entry: SocketAddr,
    health: SocketAddr,
    child: Child,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // Both fail only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns a block of loopback addresses of which no port that a gateway needs is in use.
pub fn free_network() -> [u8; 3] {
    let seed = std::process::id();
    for step in 0..200u32 {
        let mixed = seed.wrapping_mul(2_654_435_761).wrapping_add(step.wrapping_mul(40_503));
        let [_, high, low, _] = mixed.to_be_bytes();
        let network = [127, 64 + high % 128, low];
        let is_free = [ENTRY, HEALTH, CONTROL, DIRECTORY, PEER, METRICS].iter().all(|port| {
            (1..=20).all(|host| TcpListener::bind((address(network, host), *port)).is_ok())
        });
        if is_free {
            return network;
        }
    }
    panic!("no free loopback addresses");
}

/// Returns an address of a block.
pub fn address(network: [u8; 3], host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(network[0], network[1], network[2], host))
}

fn settings(network: [u8; 3], host: u8, zone: &str, store: SocketAddr, nodes: u8) -> String {
    let ip = address(network, host);
    let seeds: Vec<String> = (1..=nodes.min(3))
        .map(|host| format!("\"{}:{CONTROL}\"", address(network, host)))
        .collect();
    // As the platform renders deploy/settings.template with the bounds of DEPLOY.md.
    format!(
        r#"{{
  "node": "front-{zone}-{host}",
  "entry": "{ip}:{ENTRY}",
  "health": "{ip}:{HEALTH}",
  "directory": "{ip}:{DIRECTORY}",
  "peer": "{ip}:{PEER}",
  "metrics": "{ip}:{METRICS}",
  "data_centre": "{zone}",
  "store": "{store}",
  "seeds": [{}],
  "entries_ttl_s": 1,
  "stop_ms": 6000,
  "retry_ratio": 0.2,
  "retry_floor": 58,
  "retry_window_s": 10,
  "floor_share": 0.7,
  "zone_cost_mb": 12.0
}}"#,
        seeds.join(",")
    )
}

impl GatewayProcess {
    /// Starts the gateway number `host` of `nodes`. Its settings and its log lie in the temporary folder of the case.
    pub fn start(
        case: &Case,
        network: [u8; 3],
        host: u8,
        zone: &str,
        store: SocketAddr,
        nodes: u8,
    ) -> Self {
        let path = case.scratch.join(format!("boot-{host}.json"));
        fs::write(&path, settings(network, host, zone, store, nodes)).expect("settings");
        let log =
            File::create(case.scratch.join(format!("gateway-{host}.log"))).expect("a log file");
        let child = Command::new(case.repository.join("target/release/redwingd"))
            .args(["gateway", "--settings"])
            .arg(&path)
            .env("REDWINGTRESTLE_SETTINGS", &path)
            .current_dir(&case.repository)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("target/release/redwingd starts");
        let ip = address(network, host);
        let (entry, health) = (SocketAddr::new(ip, ENTRY), SocketAddr::new(ip, HEALTH));
        GatewayProcess { entry, health, child }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the readiness check of the platform gets a 200, and returns whether it did in time.
    pub async fn wait_until_ready(&self, record: &Record) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_secs(10) {
            if self.is_ready().await {
                record.line(&format!("gateway {} is ready", self.entry));
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    async fn is_ready(&self) -> bool {
        let Ok(mut socket) = TcpStream::connect(self.health).await else { return false };
        let request = "GET /v1/health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        if socket.write_all(request.as_bytes()).await.is_err() {
            return false;
        }
        let mut response = [0u8; 12];
        socket.read_exact(&mut response).await.is_ok() && response.ends_with(b"200")
    }
}
