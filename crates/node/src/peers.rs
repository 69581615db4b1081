//! UDP datagrams between nodes, with one thread that receives and one that sends.

use crate::{
    control::Event,
    error::{Error, Result},
    shared::Shared,
};
use redwingtrestle_wire::peer::{Datagram, MAX_DATAGRAM};
use std::{
    net::UdpSocket,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::JoinHandle,
    time::Duration,
};

/// The maximum wait of a thread before it checks whether the node is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Binds the peer socket and starts its two threads.
pub fn start(shared: &Arc<Shared>, stop: &Arc<AtomicBool>) -> Result<Vec<JoinHandle<()>>> {
    let addr = shared.settings.peer;
    let listen = |e| Error::listen("peer", addr, e);
    let socket = UdpSocket::bind(addr).map_err(listen)?;
    socket.set_read_timeout(Some(STOP_CHECK_INTERVAL)).map_err(listen)?;
    let receiving = socket.try_clone().map_err(listen)?;
    let (thread_shared, thread_stop) = (shared.clone(), stop.clone());
    let rx = spawn("peer-rx", move || receive(&thread_shared, &receiving, &thread_stop))?;
    let (thread_shared, thread_stop) = (shared.clone(), stop.clone());
    let tx = spawn("peer-tx", move || send(&thread_shared, &socket, &thread_stop))?;
    Ok(vec![rx, tx])
}

fn spawn(name: &'static str, run: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name(name.into())
        .spawn(run)
        .map_err(|e| Error::start(name, e.to_string()))
}

fn receive(shared: &Shared, socket: &UdpSocket, stop: &AtomicBool) {
    let received = metrics::counter!("redwing_control_bytes_total", "direction" => "in");
    // The additional byte reveals datagrams that are longer than the limit.
    let mut buffer = [0u8; MAX_DATAGRAM + 1];
    while !stop.load(Ordering::SeqCst) {
        // An error is a timeout, or reports that an earlier datagram of this node was refused.
        let Ok((count, _)) = socket.recv_from(&mut buffer) else { continue };
        received.increment(count as u64);
        match Datagram::decode(&buffer[..count]) {
            Ok(datagram) => shared.events.push_over_oldest(Event::Datagram(Box::new(datagram))),
            Err(e) => {
                metrics::counter!("redwing_dropped_messages_total", "reason" => "malformed")
                    .increment(1);
                log::debug!("malformed datagram dropped: {e}");
            }
        }
    }
}

fn send(shared: &Shared, socket: &UdpSocket, stop: &AtomicBool) {
    let sent = metrics::counter!("redwing_control_bytes_total", "direction" => "out");
    while !stop.load(Ordering::SeqCst) {
        while let Some((to, bytes)) = shared.outbox.pop() {
            // A datagram that cannot be sent counts as lost, like one that the network drops.
            if socket.send_to(&bytes, to).is_ok() {
                sent.increment(bytes.len() as u64);
            }
        }
        shared.outbox.wait(STOP_CHECK_INTERVAL);
    }
}
