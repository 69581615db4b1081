//! A datagram link between nodes that can be cut in one direction.

use std::{
    collections::HashSet,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};
use tokio::{net::UdpSocket, task::JoinHandle};

/// Relays UDP datagrams to a target and drops those of blocked senders.
///
/// The relay sits in front of one node, so blocking a sender cuts the link from that sender to the node, but not
/// the link in the opposite direction.
#[derive(Debug)]
pub struct DatagramLink {
    addr: SocketAddr,
    blocked: Arc<Mutex<HashSet<SocketAddr>>>,
    task: JoinHandle<()>,
}

impl DatagramLink {
    /// Starts a relay at `addr` to `target` on the current tokio runtime.
    pub async fn start(addr: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let socket = UdpSocket::bind(addr).await?;
        let addr = socket.local_addr()?;
        let blocked = Arc::new(Mutex::new(HashSet::new()));
        let shared = blocked.clone();
        let task = tokio::spawn(async move {
            let mut buffer = vec![0u8; 64 * 1024];
            loop {
                let Ok((count, from)) = socket.recv_from(&mut buffer).await else { continue };
                let cut = lock(&shared).contains(&from);
                if !cut {
                    let _ = socket.send_to(&buffer[..count], target).await;
                }
            }
        });
        Ok(DatagramLink { addr, blocked, task })
    }

    /// Returns the address on which the relay listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Cuts or restores the link from the sender at `from` to the target.
    pub fn set_cut(&self, from: SocketAddr, cut: bool) {
        let mut blocked = lock(&self.blocked);
        if cut {
            blocked.insert(from);
        } else {
            blocked.remove(&from);
        }
    }
}

impl Drop for DatagramLink {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(blocked: &Mutex<HashSet<SocketAddr>>) -> MutexGuard<'_, HashSet<SocketAddr>> {
    blocked.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}
