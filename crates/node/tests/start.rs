//! Nodes that fail to start.

mod common;

use common::{addresses, spawn, Start};
use std::net::{TcpListener, UdpSocket};

fn start() -> Start {
    let log = "http://127.0.0.1:9".into();
    Start { ip: "127.0.0.1", data_centre: "a", log, seeds: Vec::new(), more: String::new() }
}

/// Guards against a node that panics, hangs or reports success when a port is in use.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn address_in_use_ends_the_node_with_its_code() {
    for taken in ["entry", "peer", "rpc"] {
        let (entry, peer) = addresses("127.0.0.1");
        let tcp = if taken == "entry" { entry } else { peer };
        let _tcp = (taken != "peer").then(|| TcpListener::bind(tcp).expect("a free port"));
        let _udp = (taken == "peer").then(|| UdpSocket::bind(peer).expect("a free port"));
        let mut node = spawn(entry, peer, &start());
        assert!(!node.ended().await, "{taken}");
        let code = node.child.wait().expect("an exit code").code();
        assert_eq!(code, Some(1), "{taken}: {}", node.log());
        assert!(node.log().contains(&format!("5006 address_in_use: {taken}")), "{}", node.log());
        assert!(!node.log().contains("panicked"), "{}", node.log());
    }
}
