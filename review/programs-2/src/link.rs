//! The link of one gateway to the store: passes bytes on, or holds them all back while it is cut.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// A relay between a gateway and the store.
#[derive(Clone, Debug)]
pub struct Link {
    pub addr: SocketAddr,
    is_cut: Arc<watch::Sender<bool>>,
    is_down: Arc<watch::Sender<bool>>,
    /// When the gateway last asked for new records of a topic.
    waits: Arc<Mutex<HashMap<&'static str, Instant>>>,
}

const TOPICS: [&str; 2] = ["keyed.op", "keyed.servers"];

impl Link {
    /// Starts a relay at `addr` to `store`.
    pub async fn start(addr: SocketAddr, store: SocketAddr) -> std::io::Result<Link> {
        let listener = TcpListener::bind(addr).await?;
        let link = Link {
            addr: listener.local_addr()?,
            is_cut: Arc::new(watch::Sender::new(false)),
            is_down: Arc::new(watch::Sender::new(false)),
            waits: Arc::default(),
        };
        let relay = link.clone();
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let relay = relay.clone();
                tokio::spawn(async move { relay.serve(socket, store).await });
            }
        });
        Ok(link)
    }

    /// Cuts or restores the link in both directions. Bytes under way are held back, and no connection is closed.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }

    /// Makes the store give the gateway no response, or ends that. A connection that was open meanwhile returns nothing
    /// further; new ones work.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.send_replace(is_down);
    }

    /// Returns how long ago the gateway began its newest wait for records, for the older one of the two topics.
    pub fn longest_wait(&self) -> Option<Duration> {
        let waits = self.waits.lock().unwrap_or_else(PoisonError::into_inner);
        let all = TOPICS.iter().map(|topic| waits.get(topic).map(Instant::elapsed));
        all.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    async fn serve(&self, socket: TcpStream, store: SocketAddr) {
        self.wait_until_whole().await;
        let Ok(onward) = TcpStream::connect(store).await else { return };
        let _ = (socket.set_nodelay(true), onward.set_nodelay(true));
        let (mut from_gateway, mut to_gateway) = socket.into_split();
        let (from_store, to_store) = onward.into_split();
        let mut is_down = self.is_down.subscribe();
        tokio::select! {
            biased;
            _ = is_down.wait_for(|is_down| *is_down) => {}
            () = self.copy(&mut from_gateway, to_store, true) => return,
            () = self.copy(from_store, &mut to_gateway, false) => return,
        }
        // Reads on until the gateway closes the connection.
        let mut buffer = vec![0; 16 * 1024];
        while let Ok(1..) = from_gateway.read(&mut buffer).await {}
    }

    async fn copy(
        &self,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
        is_request: bool,
    ) {
        let mut buffer = vec![0; 16 * 1024];
        while let Ok(count @ 1..) = from.read(&mut buffer).await {
            self.wait_until_whole().await;
            if is_request {
                self.note_wait(&buffer[..count]);
            }
            if to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
    }

    async fn wait_until_whole(&self) {
        let mut is_cut = self.is_cut.subscribe();
        let _ = is_cut.wait_for(|is_cut| !is_cut).await;
    }

    fn note_wait(&self, bytes: &[u8]) {
        let text = String::from_utf8_lossy(bytes);
        if !text.starts_with("GET /-/log-read") {
            return;
        }
        for topic in TOPICS {
            if text.contains(&format!("topic={topic}&")) {
                let mut waits = self.waits.lock().unwrap_or_else(PoisonError::into_inner);
                waits.insert(topic, Instant::now());
            }
        }
    }
}
