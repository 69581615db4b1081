//! Backend servers: they run requests on a number of slots, sign and echo as `PROTOCOL.md` says, and refuse requests for
//! another server.

use crate::{
    caller::{header, read_head},
    record::Recorder,
};
use redwingtrestle_core::{
    process::registration::{Registration, RegistrationState, ServerId},
    time::Span,
};
use redwingtrestle_platform_fakes::store::Store;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{watch, Semaphore},
};

/// The requests that a server runs at the same time.
const SLOTS: usize = 6;

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub attempt: String,
    /// The seconds since the start of the case.
    pub at: f64,
}

/// How a server works.
#[derive(Clone, Debug)]
pub struct Behaviour {
    pub work: Duration,
    /// The path of a request that ends each server which begins to run it.
    pub deadly: Option<String>,
}

/// How long a server is away after it has ended.
const DOWN_TIME: Duration = Duration::from_secs(3);

/// A running server.
#[derive(Clone, Debug)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    /// The start, in Unix milliseconds. A change ends the server that started before.
    born: Arc<watch::Sender<u64>>,
    behaviour: Arc<Mutex<Behaviour>>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    slots: Arc<Semaphore>,
    record: Recorder,
    store: Option<Arc<Store>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl Backend {
    /// Starts a server on a free port of `addr`.
    pub async fn start(
        record: &Recorder,
        [id, service, zone]: [&str; 3],
        addr: SocketAddr,
        behaviour: Behaviour,
    ) -> std::io::Result<Backend> {
        let listener = TcpListener::bind(addr).await?;
        let backend = Backend {
            id: id.into(),
            service: service.into(),
            zone: zone.into(),
            addr: listener.local_addr()?,
            born: Arc::new(watch::Sender::new(unix_ms())),
            behaviour: Arc::new(Mutex::new(behaviour)),
            arrivals: Arc::default(),
            slots: Arc::new(Semaphore::new(SLOTS)),
            record: record.clone(),
            store: None,
        };
        backend.listen(listener);
        Ok(backend)
    }

    /// Accepts connections until the server ends.
    fn listen(&self, listener: TcpListener) {
        let serving = self.clone();
        let mut born = self.born.subscribe();
        tokio::spawn(async move {
            loop {
                let socket = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = born.changed() => return,
                };
                let Ok((socket, _)) = socket else { return };
                let (serving, mut born) = (serving.clone(), born.clone());
                tokio::spawn(async move {
                    tokio::select! {
                        () = serving.serve(socket) => {}
                        _ = born.changed() => {}
                    }
                });
            }
        });
    }

    /// Ends the server with all its connections. It starts again under its id after a while.
    fn crash(&self) {
        self.born.send_replace(unix_ms() + DOWN_TIME.as_millis() as u64);
        self.record.line(&format!("{} ends", self.id));
        let backend = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(DOWN_TIME).await;
            let Ok(listener) = TcpListener::bind(backend.addr).await else {
                backend.record.line(&format!("{} cannot start again", backend.id));
                return;
            };
            backend.listen(listener);
            backend.record.line(&format!("{} starts again", backend.id));
            if let Some(store) = &backend.store {
                store.register(&backend.registration(RegistrationState::Ready, 1));
            }
        });
    }

    /// Makes the server register in this store when it starts again.
    pub fn with_store(mut self, store: &Arc<Store>) -> Backend {
        self.store = Some(store.clone());
        self
    }

    /// Returns the requests that reached the server.
    pub fn arrivals(&self) -> Vec<Arrival> {
        lock(&self.arrivals).clone()
    }

    /// Returns the entry that the server writes into the store.
    pub fn registration(&self, state: RegistrationState, report: u64) -> Registration {
        Registration {
            id: ServerId(self.id.as_str().into()),
            addr: self.addr,
            service: self.service.as_str().into(),
            zone: self.zone.as_str().into(),
            slots: SLOTS as u32,
            state,
            warmup: Span::ZERO,
            started: *self.born.borrow(),
            report,
        }
    }

    async fn serve(&self, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        while let Some(head) = read_head(&mut socket).await {
            let length = header(&head, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
            let mut body = vec![0u8; length];
            if socket.read_exact(&mut body).await.is_err() {
                return;
            }
            let answer = self.answer(&head).await;
            if socket.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, head: &str) -> String {
        let attempt = header(head, "x-attempt-id").unwrap_or_default().to_string();
        let target = header(head, "x-target-instance");
        let Behaviour { work, deadly } = lock(&self.behaviour).clone();
        let echo = format!("X-Attempt-Id: {attempt}\r\nX-Instance-Id: {}\r\n", self.id);
        if target.is_some_and(|target| target != self.id) {
            return format!("HTTP/1.1 421 Misdirected Request\r\n{echo}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        let at = self.record.seconds();
        lock(&self.arrivals).push(Arrival { attempt: attempt.clone(), at });
        self.record.line(&format!("run {attempt} at {} of {}", self.id, self.service));
        let path = head.split(' ').nth(1).unwrap_or_default();
        if deadly.is_some_and(|deadly| deadly == path) {
            self.crash();
            return std::future::pending().await;
        }
        let _slot = self.slots.acquire().await;
        tokio::time::sleep(work).await;
        let text = format!("{} ran {attempt}", self.id);
        format!(
            "HTTP/1.1 200 OK\r\n{echo}X-Response-Signature: {:x}\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n{text}",
            text.len(),
            text.len()
        )
    }
}
