//! Backend servers whose responses follow a script, byte by byte.

use super::{header, read_request};
use redwingtrestle_core::process::registration::ServerId;
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};

/// `Turn` is a request as the script of a server sees it.
#[derive(Clone, Debug)]
pub(crate) struct Turn {
    /// The id of the attempt.
    pub(crate) id: String,
    /// The ids of the earlier requests on the connection.
    pub(crate) earlier: Vec<String>,
}

/// `Step` is a part of a server's treatment of a request.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Counts the request as run.
    Run,
    /// Sends these bytes.
    Write(Vec<u8>),
    /// Waits for this many milliseconds.
    Pause(u64),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

impl Step {
    /// Sends a text.
    pub(crate) fn text(text: impl Into<String>) -> Step {
        Step::Write(text.into().into_bytes())
    }
}

/// `ScriptedServer` treats each request by a script.
#[derive(Debug)]
pub(crate) struct ScriptedServer {
    pub(crate) id: ServerId,
    pub(crate) addr: SocketAddr,
    received: Arc<Mutex<HashMap<String, u32>>>,
    runs: Arc<Mutex<HashMap<String, u32>>>,
    reused: Arc<AtomicU32>,
}

impl ScriptedServer {
    /// Starts a server.
    pub(crate) async fn start(
        name: &str,
        script: impl Fn(&Turn) -> Vec<Step> + Send + Sync + 'static,
    ) -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = ScriptedServer {
            id: ServerId(name.into()),
            addr: listener.local_addr().unwrap(),
            received: Arc::default(),
            runs: Arc::default(),
            reused: Arc::default(),
        };
        let script = Arc::new(script);
        let (received, runs, reused) =
            (server.received.clone(), server.runs.clone(), server.reused.clone());
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (script, received, runs, reused) =
                    (script.clone(), received.clone(), runs.clone(), reused.clone());
                tokio::spawn(async move {
                    serve(socket, &*script, &received, &runs, &reused).await;
                });
            }
        });
        server
    }

    /// Returns how often the attempt `id` arrived.
    pub(crate) fn received(&self, id: &str) -> u32 {
        self.received.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// Returns how often the attempt `id` ran.
    pub(crate) fn runs(&self, id: &str) -> u32 {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// Returns how many requests arrived on a connection that had served another.
    pub(crate) fn reused(&self) -> u32 {
        self.reused.load(Ordering::SeqCst)
    }

    /// Returns how many attempts ran.
    pub(crate) fn all_runs(&self) -> usize {
        self.runs.lock().unwrap().len()
    }
}

async fn serve(
    mut socket: TcpStream,
    script: &(impl Fn(&Turn) -> Vec<Step> + Send + Sync),
    received: &Mutex<HashMap<String, u32>>,
    runs: &Mutex<HashMap<String, u32>>,
    reused: &AtomicU32,
) {
    let mut earlier = Vec::new();
    while let Some(request) = read_request(&mut socket).await {
        let id = header(&request.head, "redwing-request-id");
        *received.lock().unwrap().entry(id.clone()).or_default() += 1;
        if !earlier.is_empty() {
            reused.fetch_add(1, Ordering::SeqCst);
        }
        let turn = Turn { id: id.clone(), earlier: earlier.clone() };
        for step in script(&turn) {
            match step {
                Step::Run => *runs.lock().unwrap().entry(id.clone()).or_default() += 1,
                Step::Write(bytes) => {
                    if socket.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
                Step::Pause(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
                Step::Close => return,
                Step::Reset => {
                    let _ = socket.set_zero_linger();
                    return;
                }
            }
        }
        earlier.push(id);
    }
}

/// Returns a complete success.
pub(crate) fn success(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a refusal of a request that did not run, with the id of an attempt or without one.
pub(crate) fn refusal(status: u16, id: Option<&str>) -> String {
    let id = id.map_or(String::new(), |id| format!("redwing-request-id: {id}\r\n"));
    format!("HTTP/1.1 {status} X\r\nredwing-shed: 1\r\n{id}content-length: 0\r\n\r\n")
}
