//! Gateway processes, which are signalled only by their own process ids.

use super::link::Link;
use redwingtrestle_platform_fakes::store::Store;
use rustix::process::{kill_process, Pid, Signal};
use std::{
    fs::{self, File},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU8, Ordering},
};

const ENTRY_PORT: u16 = 8_401;
const HEALTH_PORT: u16 = 8_402;
const DIRECTORY_PORT: u16 = 8_403;
const PEER_PORT: u16 = 8_404;
const METRICS_PORT: u16 = 8_405;

/// The time limit of a planned stop, in milliseconds.
pub const STOP_MS: u64 = 4_000;

static NEXT_FLEET: AtomicU8 = AtomicU8::new(0);

/// Returns IP addresses for a fleet's VMs. Concurrent tests and test processes get different ones.
pub fn fleet_ips(nodes: u8) -> Vec<IpAddr> {
    let process_octet = 64 + (std::process::id() % 128) as u8;
    let fleet = NEXT_FLEET.fetch_add(1, Ordering::SeqCst);
    (1..=nodes).map(|node| IpAddr::V4(Ipv4Addr::new(127, process_octet, fleet, node))).collect()
}

/// The address of links whose ports are never given up.
const LOCALHOST: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// A gateway process with its links to callers and the store.
#[derive(Debug)]
pub struct Node {
    pub name: String,
    pub ip: IpAddr,
    /// The link from callers to the entry.
    pub callers: Link,
    /// The link from the node to the store.
    pub store: Link,
    folder: PathBuf,
    /// The number of starts, which identifies the current process.
    pub start_number: u32,
    /// The newest start that got a signal to exit.
    pub signalled_start: u32,
    child: Option<Child>,
}

impl Node {
    /// Prepares the node at `ips[number]` without starting it.
    pub async fn new(folder: &Path, ips: &[IpAddr], number: usize, store: &Store) -> Node {
        let ip = ips[number];
        let name = format!("n{number}");
        let callers =
            Link::start(LOCALHOST, SocketAddr::new(ip, ENTRY_PORT)).await.expect("a link");
        let store = Link::start(LOCALHOST, store.addr()).await.expect("a link");
        let node = Node {
            name,
            ip,
            callers,
            store,
            folder: folder.into(),
            start_number: 0,
            signalled_start: 0,
            child: None,
        };
        let seeds: Vec<String> = ips.iter().map(|ip| format!("\"{ip}:{PEER_PORT}\"")).collect();
        node.write_settings(&seeds.join(","));
        node
    }

    fn write_settings(&self, seeds: &str) {
        let Node { name, ip, store, .. } = self;
        let text = format!(
            r#"// Written by the soak.
            {{"node": "{name}", "entry": "{ip}:{ENTRY_PORT}", "health": "{ip}:{HEALTH_PORT}",
              "directory": "{ip}:{DIRECTORY_PORT}", "peer": "{ip}:{PEER_PORT}", "metrics": "{ip}:{METRICS_PORT}",
              "data_centre": "a", "store": "{}", "seeds": [{seeds}], "entries_ttl_s": 1,
              "stop_ms": {STOP_MS}, "retry_ratio": 0.2, "retry_floor": 50}}"#,
            store.addr
        );
        fs::write(self.settings_path(), text).expect("the settings are written");
    }

    fn settings_path(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    /// Appends a comment to the settings file, so that the file changes but not its meaning.
    pub fn touch_settings(&self) {
        let text = fs::read_to_string(self.settings_path()).expect("the settings are read");
        fs::write(self.settings_path(), text + "\n// Touched.").expect("the settings are written");
    }

    /// Starts the process with a new log file.
    pub fn start(&mut self) {
        self.start_number += 1;
        let log = self.folder.join(format!("{}-{}.log", self.name, self.start_number));
        let child = Command::new(env!("CARGO_BIN_EXE_redwingd"))
            .args(["gateway", "--settings"])
            .arg(self.settings_path())
            .stdin(Stdio::null())
            .stdout(File::create(log).expect("a log file"))
            .stderr(Stdio::inherit())
            .spawn()
            .expect("the process starts");
        self.child = Some(child);
    }

    /// Sends a signal to the process, if it runs.
    pub fn signal(&mut self, signal: Signal) {
        if [Signal::TERM, Signal::KILL].contains(&signal) {
            self.signalled_start = self.start_number;
        }
        let Some(child) = &self.child else { return };
        let pid = Pid::from_raw(child.id() as i32).expect("an id");
        // `has_ended` detects a process that has just exited by itself.
        let _ = kill_process(pid, signal);
    }

    /// Returns whether the process has exited or was never started.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_none_or(|child| child.try_wait().is_ok_and(|end| end.is_some()))
    }

    /// Returns the URL at which callers look up entries.
    pub fn entries_url(&self) -> String {
        format!("http://{}:{DIRECTORY_PORT}/v1/entries?name=a.example&region=r&zone=a", self.ip)
    }

    /// Returns the URL at which the platform checks whether the node is ready.
    pub fn health_url(&self) -> String {
        format!("http://{}:{HEALTH_PORT}/v1/health", self.ip)
    }

    /// Returns the entry address that the node advertises to callers.
    pub fn entry(&self) -> SocketAddr {
        SocketAddr::new(self.ip, ENTRY_PORT)
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
