//! Nodes that fail to start.

mod common;

use common::{free_addresses, spawn, StartOptions};
use std::net::{TcpListener, UdpSocket};

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
