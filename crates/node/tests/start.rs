//! Nodes that fail to start.

mod common;

use common::{free_addresses, free_port, spawn, spawn_command, StartOptions};
use std::{
    net::{TcpListener, UdpSocket},
    process::Command,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

fn start_options() -> StartOptions {
    let log_url = "http://127.0.0.1:9".into();
    StartOptions {
        ip: "127.0.0.1",
        data_centre: "a",
        log_url,
        seeds: Vec::new(),
        extra_settings: String::new(),
    }
}

/// Guards against a node that panics, hangs or reports success when a port is in use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn address_in_use_ends_the_node_with_its_code() {
    for taken in ["entry", "peer", "rpc"] {
        let (entry, peer) = free_addresses("127.0.0.1");
        let tcp = if taken == "entry" { entry } else { peer };
        let _tcp = (taken != "peer").then(|| TcpListener::bind(tcp).expect("a free port"));
        let _udp = (taken == "peer").then(|| UdpSocket::bind(peer).expect("a free port"));
        let mut node = spawn(entry, peer, &start_options());
        assert!(!node.wait_for_exit().await, "{taken}");
        let code = node.child.wait().expect("an exit code").code();
        assert_eq!(code, Some(1), "{taken}: {}", node.log());
        assert!(node.log().contains(&format!("5006 address_in_use: {taken}")), "{}", node.log());
        assert!(!node.log().contains("panicked"), "{}", node.log());
    }
}

/// Guards against a test that cannot bind its port because a process which has just started still has the socket of
/// the check.
#[test]
fn free_port_can_be_bound_while_processes_start() {
    let ended = AtomicBool::new(false);
    let start_processes = || {
        while !ended.load(Ordering::Relaxed) {
            let mut child = spawn_command(&mut Command::new("true"));
            child.wait().expect("the process ends");
        }
    };
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(start_processes);
        }
        let is_bound = |_| UdpSocket::bind(("127.0.0.1", free_port("127.0.0.1"))).is_ok();
        let failed = (0..500).filter(|number| !is_bound(*number)).count();
        ended.store(true, Ordering::Relaxed);
        assert_eq!(failed, 0, "of 500 ports");
    });
}
