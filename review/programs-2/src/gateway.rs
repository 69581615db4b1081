//! Gateway processes, started with the command of the deploy file on loopback addresses.

use crate::{record::Recorder, template};
use serde_json::{json, Value};
use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// The ports of a gateway, the same on all addresses.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    base: u16,
}

impl Ports {
    /// Finds ports that are free on all these addresses.
    pub fn find(ips: &[Ipv4Addr]) -> Option<Ports> {
        let is_free = |base: u16| {
            let mut all = ips.iter().flat_map(|ip| (base..base + 8).map(move |p| (*ip, p)));
            all.all(|addr| TcpListener::bind(addr).is_ok())
        };
        (0..50)
            .map(|_| rand::random_range(20_000..30_000_u16))
            .find(|base| is_free(*base))
            .map(|base| Ports { base })
    }

    /// Returns the port on each address that is left to the stand-ins.
    pub fn spare(self) -> u16 {
        self.base + 7
    }

    fn of(self, ip: Ipv4Addr, index: u16) -> String {
        SocketAddr::new(IpAddr::V4(ip), self.base + index).to_string()
    }
}

/// Where one gateway runs, and the store that it is told.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
    pub ports: Ports,
    pub store: SocketAddr,
    pub seeds: Vec<Ipv4Addr>,
    pub bounds: Value,
}

/// The bounds of the platform's page `DEPLOY.md`.
pub fn bounds() -> Value {
    json!({"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4,
        "drainMs": 2000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 2000,
        "revertSlackMs": 250, "maxStretchMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10,
        "retrySlack": 58, "recoveryS": 15, "ttl_max_s": 5, "probesPerS": 3, "floorShare": 0.7})
}

impl Place {
    /// Returns the address for callers.
    pub fn entry(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.ports.base)
    }

    /// Returns the address of the readiness check.
    pub fn ready(&self) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), self.ports.base + 1)
    }

    /// Returns the fields that the platform fills in.
    fn context(&self) -> Value {
        let port = |index| self.ports.of(self.ip, index);
        let seeds: Vec<String> = self.seeds.iter().map(|ip| self.ports.of(*ip, 2)).collect();
        json!({
            "node": self.name, "role": "gateway", "ip": self.ip.to_string(), "zone": self.zone,
            "listen": {"front": port(0), "ready": port(1), "control": port(2), "directory": port(3)},
            "internalPorts": [self.ports.base + 4, self.ports.base + 6],
            "seeds": seeds, "platform": {"address": self.store.to_string()}, "bounds": self.bounds,
        })
    }
}

/// A running gateway process. Dropping it kills the process.
#[derive(Debug)]
pub struct Gateway {
    pub place: Place,
    child: Child,
    errors: PathBuf,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    /// Renders the settings and starts the process. `root` is the repository.
    pub fn start(root: &Path, temp: &Path, place: Place) -> Result<Gateway, String> {
        let text = fs::read_to_string(root.join("deploy/settings.template"));
        let text = text.map_err(|e| format!("no template: {e}"))?;
        let settings = temp.join(format!("{}.json", place.name));
        fs::write(&settings, template::render(&text, &place.context())?)
            .map_err(|e| format!("cannot write settings: {e}"))?;
        let out = File::create(temp.join(format!("{}.log", place.name)));
        let errors = temp.join(format!("{}.err", place.name));
        let err = File::create(&errors);
        let child = Command::new(root.join("target/release/redwingd"))
            .args(["gateway", "--settings"])
            .arg(&settings)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(out.map_err(|e| e.to_string())?)
            .stderr(err.map_err(|e| e.to_string())?)
            .spawn()
            .map_err(|e| format!("cannot start redwingd: {e}"))?;
        Ok(Gateway { place, child, errors })
    }

    /// Returns what the process wrote to standard error, if it has ended.
    pub fn end(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        let text = fs::read_to_string(&self.errors).unwrap_or_default();
        Some(format!("{status}, standard error: {}", text.trim()))
    }

    /// Waits until the readiness check answers 200.
    pub async fn wait_ready(&mut self, most: Duration, record: &Recorder) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < most {
            if let Some(end) = self.end() {
                record.say(&format!("{} has ended: {end}", self.place.name));
                return false;
            }
            let ready = crate::caller::get(self.place.ready(), "/v1/health").await;
            if ready.is_some_and(|status| status == 200) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }
}
