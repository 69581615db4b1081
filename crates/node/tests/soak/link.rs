//! A loopback proxy that can delay, block, reset and stall its connections.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        tcp::{OwnedReadHalf, OwnedWriteHalf},
        TcpListener, TcpStream,
    },
    sync::watch,
    task::JoinHandle,
};

/// A fault of a link that affects the bytes that pass it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    #[default]
    None,
    /// Each read is passed on this much later.
    Delay(Duration),
    /// Bytes from the connecting side are held back.
    BlockForward,
    /// Bytes to the connecting side are held back.
    BlockBackward,
}

/// A fault of the connections that are open at the moment of its injection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFault {
    /// Both sides of each connection are closed.
    Reset,
    /// No bytes pass any more, but both sides stay open.
    Stall,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    target: Option<SocketAddr>,
    fault: LinkFault,
    /// The number of connection faults so far, and the latest one.
    connection_faults: u64,
    last_connection_fault: Option<ConnectionFault>,
}

/// A proxy that listens at `addr` and forwards connections to its target.
#[derive(Debug)]
pub struct Link {
    pub addr: SocketAddr,
    state: Arc<watch::Sender<State>>,
    _task: Task,
}

/// A task that is aborted on drop.
#[derive(Debug)]
pub struct Task(pub JoinHandle<()>);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Link {
    /// Starts a link to `target`.
    pub async fn start(target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let state = State { target: Some(target), ..State::default() };
        let state = Arc::new(watch::Sender::new(state));
        let shared = state.clone();
        let task = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(forward(socket, shared.subscribe()));
            }
        });
        Ok(Link { addr, state, _task: Task(task) })
    }

    /// Sets the fault of all connections, open and new ones.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Resets or stalls all open connections.
    pub fn inject_connection_fault(&self, fault: ConnectionFault) {
        self.state.send_modify(|state| {
            state.connection_faults += 1;
            state.last_connection_fault = Some(fault);
        });
    }

    /// Sets the target of new connections. Without a target they are closed at once.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.state.send_modify(|state| state.target = target);
    }
}

async fn forward(client: TcpStream, state: watch::Receiver<State>) {
    let Some(target) = state.borrow().target else { return };
    let Ok(target_side) = TcpStream::connect(target).await else { return };
    if client.set_nodelay(true).and_then(|()| target_side.set_nodelay(true)).is_err() {
        return;
    }
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target_side.into_split();
    let faults_at_start = state.borrow().connection_faults;
    let is_reset = |s: &State| {
        s.connection_faults > faults_at_start
            && s.last_connection_fault == Some(ConnectionFault::Reset)
    };
    let mut watched = state.clone();
    tokio::select! {
        // A half-close would look like a disconnected caller, so the end of either direction closes both sides.
        () = copy(client_read, target_write, LinkFault::BlockForward, state.clone()) => {}
        () = copy(target_read, client_write, LinkFault::BlockBackward, state) => {}
        _ = watched.wait_for(is_reset) => {}
    }
}

/// Forwards bytes in one direction until either side closes. Holds them back during the fault `blocked_by`.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    blocked_by: LinkFault,
    mut state: watch::Receiver<State>,
) {
    let faults_at_start = state.borrow().connection_faults;
    let mut buffer = vec![0u8; 16 * 1024];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        if state.wait_for(|s| s.fault != blocked_by).await.is_err() {
            return;
        }
        let now = *state.borrow();
        if now.connection_faults > faults_at_start
            && now.last_connection_fault == Some(ConnectionFault::Stall)
        {
            std::future::pending::<()>().await;
        }
        if let LinkFault::Delay(time) = now.fault {
            tokio::time::sleep(time).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
