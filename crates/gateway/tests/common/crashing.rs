//! Backend servers that end when they run one certain request, and are back after a while.

use super::{
    backend::registration, gateway::own_loopback_ip, header, read_request, MemoryStore,
    ReceivedRequest,
};
use redwingtrestle_core::process::registration::{Registration, RegistrationState, ServerId};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// The path of the request that ends a server.
pub(crate) const DEADLY_PATH: &str = "/free/deadly";

/// A path of the request that ends a server as soon as it has it.
pub(crate) const DEADLY_AT_ONCE_PATH: &str = "/free/deadly/at-once";

/// A path of the request that ends a server in the middle of a response of [`DOWNLOAD_SIZE`] bytes.
pub(crate) const DEADLY_DOWNLOAD_PATH: &str = "/free/deadly/download";

/// The beginning of a body that ends the servers that get it.
pub(crate) const DEADLY_BODY: &[u8] = b"deadly";

/// The size of a response that is too long to be collected, in bytes.
const DOWNLOAD_SIZE: usize = 2_000_000;

/// How long a server runs the request before it ends.
const RUN_TIME: Duration = Duration::from_millis(30);

/// How long other requests take.
const WORK_TIME: Duration = Duration::from_millis(20);

/// How long a server is away after its end.
const AWAY_TIME: Duration = Duration::from_millis(600);

/// The user agent of a caller whose requests end no server.
pub(crate) const SAFE_AGENT: &str = "safe";

fn is_deadly(ReceivedRequest { head, body, .. }: &ReceivedRequest) -> bool {
    let is_path = head.contains(DEADLY_PATH) && header(head, "user-agent") != SAFE_AGENT;
    is_path || body.starts_with(DEADLY_BODY)
}

/// `CrashingServer` counts how often the deadly request began to run.
#[derive(Clone, Debug)]
pub(crate) struct CrashingServer {
    id: ServerId,
    addr: SocketAddr,
    runs: Arc<Mutex<u32>>,
}

impl CrashingServer {
    /// Starts a server that registers itself in these stores at each of its starts.
    pub(crate) async fn start(name: &str, stores: Vec<MemoryStore>) -> CrashingServer {
        let listener = TcpListener::bind((own_loopback_ip(), 0)).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = CrashingServer { id: ServerId(name.into()), addr, runs: Arc::default() };
        tokio::spawn(server.clone().run(listener, stores));
        server
    }

    /// Returns how often the deadly request began to run here.
    pub(crate) fn runs(&self) -> u32 {
        *self.runs.lock().unwrap()
    }

    async fn run(self, mut listener: TcpListener, stores: Vec<MemoryStore>) {
        for started in 1.. {
            for store in &stores {
                store.register(self.registration(started));
            }
            self.serve_until_end(listener).await;
            tokio::time::sleep(AWAY_TIME).await;
            listener = TcpListener::bind(self.addr).await.unwrap();
        }
    }

    /// Serves until the deadly request has run. All connections break then, and the port is closed.
    async fn serve_until_end(&self, listener: TcpListener) {
        let ended = watch::Sender::new(false);
        let mut watch = ended.subscribe();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let Ok((socket, _)) = accepted else { continue };
                    let (server, ended) = (self.clone(), ended.clone());
                    tokio::spawn(async move {
                        let mut watch = ended.subscribe();
                        tokio::select! {
                            () = server.serve(socket, &ended) => {}
                            _ = watch.wait_for(|ended| *ended) => {}
                        }
                    });
                }
                _ = watch.wait_for(|ended| *ended) => return,
            }
        }
    }

    async fn serve(&self, mut socket: TcpStream, ended: &watch::Sender<bool>) {
        while let Some(request) = read_request(&mut socket).await {
            if is_deadly(&request) {
                *self.runs.lock().unwrap() += 1;
                if request.head.contains(DEADLY_DOWNLOAD_PATH) {
                    send_half(&mut socket, &header(&request.head, "redwing-request-id")).await;
                }
                if !request.head.contains(DEADLY_AT_ONCE_PATH) {
                    tokio::time::sleep(RUN_TIME).await;
                }
                ended.send_replace(true);
                return;
            }
            tokio::time::sleep(WORK_TIME).await;
            let id = header(&request.head, "redwing-request-id");
            let response = super::scripted::success(&id, "ok");
            if socket.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn registration(&self, started: u64) -> Registration {
        let first = registration(&self.id, self.addr, RegistrationState::Ready, 1);
        Registration { started, ..first }
    }
}

/// Sends the first half of a long response.
async fn send_half(socket: &mut TcpStream, id: &str) {
    let response = super::scripted::success(id, &"x".repeat(DOWNLOAD_SIZE));
    // The caller may have left, and the server ends in any case.
    let _ = socket.write_all(&response.as_bytes()[..DOWNLOAD_SIZE / 2]).await;
}
