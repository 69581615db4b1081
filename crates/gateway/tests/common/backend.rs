//! A backend server that treats every request in the way that a test sets.

use super::{
    behaviour::Behaviour,
    http::{header, read_request, ReceivedRequest},
};
use redwingtrestle_core::{
    process::registration::{Registration, RegistrationState, ServerId},
    time::Span,
};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// `Backend` is a minimal HTTP server that can violate the protocol.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) id: ServerId,
    pub(crate) addr: SocketAddr,
    state: Arc<BackendState>,
}

#[derive(Debug)]
struct BackendState {
    received: Mutex<Vec<ReceivedRequest>>,
    closed_early: AtomicU32,
    behaviour: Mutex<Behaviour>,
}

impl Backend {
    /// Starts a server that treats every request by `behaviour`.
    pub(crate) async fn start(name: &str, behaviour: Behaviour) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(BackendState {
            received: Mutex::default(),
            closed_early: AtomicU32::default(),
            behaviour: Mutex::new(behaviour),
        });
        tokio::spawn(serve(listener, state.clone()));
        Backend { id: ServerId(name.into()), addr, state }
    }

    /// Changes the treatment of later requests.
    pub(crate) fn set(&self, behaviour: Behaviour) {
        *self.state.behaviour.lock().unwrap() = behaviour;
    }

    /// Returns the requests received so far.
    pub(crate) fn received(&self) -> Vec<ReceivedRequest> {
        self.state.received.lock().unwrap().clone()
    }

    /// Returns the number of connections that the gateway closed while a request was running.
    pub(crate) fn closed_early(&self) -> u32 {
        self.state.closed_early.load(Ordering::SeqCst)
    }

    /// Returns the registration of the server.
    pub(crate) fn registration(&self, state: RegistrationState, report: u64) -> Registration {
        registration(&self.id, self.addr, state, report)
    }
}

/// Returns the registration of the first start of a server of the service `orders`.
pub(crate) fn registration(
    id: &ServerId,
    addr: SocketAddr,
    state: RegistrationState,
    report: u64,
) -> Registration {
    Registration {
        id: id.clone(),
        addr,
        service: "orders".into(),
        zone: "a".into(),
        slots: 6,
        state,
        warmup: Span::ZERO,
        started: 1,
        report,
    }
}

async fn serve(listener: TcpListener, state: Arc<BackendState>) {
    while let Ok((socket, _)) = listener.accept().await {
        tokio::spawn(serve_connection(socket, state.clone()));
    }
}

async fn serve_connection(mut socket: TcpStream, state: Arc<BackendState>) {
    while let Some(request) = read_request(&mut socket).await {
        let id = header(&request.head, "redwing-request-id");
        state.received.lock().unwrap().push(request);
        let behaviour = *state.behaviour.lock().unwrap();
        if wait(&mut socket, behaviour).await == Wait::GatewayClosed {
            state.closed_early.fetch_add(1, Ordering::SeqCst);
            return;
        }
        let sent = socket.write_all(&behaviour.response(&id)).await;
        if sent.is_err() || behaviour.closes() {
            return;
        }
    }
}

/// `Wait` is the end of a server's wait before its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wait {
    /// The server responds now.
    Over,
    /// The gateway closed the connection before the response.
    GatewayClosed,
}

/// Waits for as long as the server takes before its response.
async fn wait(socket: &mut TcpStream, behaviour: Behaviour) -> Wait {
    let mut rest = [0u8; 1];
    match behaviour {
        Behaviour::Delay(ms) => tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(ms)) => Wait::Over,
            _ = socket.read(&mut rest) => Wait::GatewayClosed,
        },
        Behaviour::NeverRespond => {
            let _ = socket.read(&mut rest).await;
            Wait::GatewayClosed
        }
        Behaviour::ShedAfter(ms) | Behaviour::LargeBody(ms) => {
            tokio::time::sleep(Duration::from_millis(ms)).await;
            Wait::Over
        }
        _ => Wait::Over,
    }
}
