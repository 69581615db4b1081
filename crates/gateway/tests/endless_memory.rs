//! The memory of a node whose servers send bodies without end. The test stands alone, as it measures its whole process.

mod common;

use common::{
    endless::{Endless, EndlessServer},
    get, resident_bytes, Backend, Behaviour, Caller, TestGateway,
};
use redwingtrestle_core::process::registration::{Registration, RegistrationState};
use std::time::Duration;

/// The requests of a node at the same time.
const UNREAD_BODIES: u32 = 400;

/// Half of the memory of the smallest VM of the deployments, 384 MB.
const MAX_MEMORY: u64 = 192_000_000;

/// How often and how long the memory is measured, all before the deadline of the requests.
const MEASUREMENTS: u32 = 20;
const MEASURE_PAUSE: Duration = Duration::from_millis(100);

/// Guards against a node that runs out of memory because it and its sockets keep the beginning of each of many bodies
/// without end, while their callers do not read.
#[tokio::test]
async fn many_bodies_without_end_take_bounded_memory() {
    let server = EndlessServer::start("i-1", Endless::LargeChunks, 0).await;
    let sound = Backend::start("i-2", Behaviour::Serve).await;
    let gateway = TestGateway::with_servers(&[]).await;
    let ready = sound.registration(RegistrationState::Ready, 1);
    gateway.store.register(Registration { id: server.id.clone(), addr: server.addr, ..ready });
    let is_known = || gateway.shared.fleet().registry.server(&server.id).is_some();
    gateway.wait_until("the endless server is known", is_known).await;
    let before = resident_bytes();
    let mut callers = Vec::new();
    for i in 0..UNREAD_BODIES {
        let mut caller = Caller::connect_slow(gateway.entry).await;
        caller.send(&get("/free/1", &format!("r{i}"))).await;
        callers.push(caller);
    }
    let mut most = 0;
    for _ in 0..MEASUREMENTS {
        tokio::time::sleep(MEASURE_PAUSE).await;
        most = most.max(resident_bytes().saturating_sub(before));
    }
    assert!(server.requests() > UNREAD_BODIES / 2, "{} requests", server.requests());
    assert!(most < MAX_MEMORY, "{most} bytes");
    // What the callers did not read is in this process or in the buffers of its sockets.
    assert!(server.sent() < MAX_MEMORY, "{} bytes were accepted", server.sent());
    drop(callers);
    gateway.wait_until("the connections are closed", || server.open_connections() == 0).await;
}
