//! A loopback proxy that can delay, block, reset and stall its connections.

use std::{
    io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
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
    is_down: bool,
}

/// The pause between two attempts to listen again. A process that just starts may still have the old socket.
const LISTEN_PAUSE: Duration = Duration::from_millis(10);

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
    /// Starts a link at any port of `ip` to `target`.
    pub async fn start(ip: IpAddr, target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let addr = listener.local_addr()?;
        let state = State { target: Some(target), ..State::default() };
        let state = Arc::new(watch::Sender::new(state));
        let shared = state.clone();
        let task = tokio::spawn(listen(listener, addr, shared));
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

    /// Ends all connections and refuses new ones, or listens again.
    pub fn set_down(&self, is_down: bool) {
        self.state.send_modify(|state| state.is_down = is_down);
    }

    /// Sets the target of new connections. Without a target they are closed at once.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.state.send_modify(|state| state.target = target);
    }
}

/// Accepts connections while the link is not down.
async fn listen(mut listener: TcpListener, addr: SocketAddr, state: Arc<watch::Sender<State>>) {
    let mut watched = state.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((socket, _)) = accepted {
                    tokio::spawn(forward(socket, state.subscribe()));
                }
                continue;
            }
            _ = watched.wait_for(|state| state.is_down) => {}
        }
        drop(listener);
        // The channel stays open, as this task has a sender.
        let _ = watched.wait_for(|state| !state.is_down).await;
        listener = listen_again(addr).await;
    }
}

async fn listen_again(addr: SocketAddr) -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(addr).await {
            return listener;
        }
        tokio::time::sleep(LISTEN_PAUSE).await;
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
        let is_faulty = s.connection_faults > faults_at_start
            && s.last_connection_fault == Some(ConnectionFault::Reset);
        is_faulty || s.is_down
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
