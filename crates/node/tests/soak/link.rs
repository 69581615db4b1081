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
pub enum Trouble {
    #[default]
    None,
    /// Each read is passed on this much later.
    Delay(Duration),
    /// Bytes from the connecting side are held back.
    CutForth,
    /// Bytes to the connecting side are held back.
    CutBack,
}

/// A fault of the connections that are open at the moment of its injection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Both sides of each connection are closed.
    Reset,
    /// No bytes pass any more, but both sides stay open.
    Silence,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    target: Option<SocketAddr>,
    trouble: Trouble,
    /// The number of connection faults so far, and the latest one.
    cuts: u64,
    cut: Option<Cut>,
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
                tokio::spawn(carry(socket, shared.subscribe()));
            }
        });
        Ok(Link { addr, state, _task: Task(task) })
    }

    /// Sets the fault of all connections, open and new ones.
    pub fn set(&self, trouble: Trouble) {
        self.state.send_modify(|state| state.trouble = trouble);
    }

    /// Resets or stalls all open connections.
    pub fn cut(&self, cut: Cut) {
        self.state.send_modify(|state| {
            state.cuts += 1;
            state.cut = Some(cut);
        });
    }

    /// Sets the target of new connections. Without a target they are closed at once.
    pub fn aim(&self, target: Option<SocketAddr>) {
        self.state.send_modify(|state| state.target = target);
    }
}

async fn carry(near: TcpStream, state: watch::Receiver<State>) {
    let Some(target) = state.borrow().target else { return };
    let Ok(far) = TcpStream::connect(target).await else { return };
    if near.set_nodelay(true).and_then(|()| far.set_nodelay(true)).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let born = state.borrow().cuts;
    let mut watched = state.clone();
    tokio::select! {
        // A half-close would look like a disconnected caller, so the end of either direction closes both sides.
        () = pump(near_read, far_write, Trouble::CutForth, state.clone()) => {}
        () = pump(far_read, near_write, Trouble::CutBack, state) => {}
        _ = watched.wait_for(|s| s.cuts > born && s.cut == Some(Cut::Reset)) => {}
    }
}

/// Forwards bytes in one direction until either side closes. Holds them back during the fault `stopped`.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    stopped: Trouble,
    mut state: watch::Receiver<State>,
) {
    let born = state.borrow().cuts;
    let mut buffer = vec![0u8; 16 * 1024];
    loop {
        let count = match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        if state.wait_for(|s| s.trouble != stopped).await.is_err() {
            return;
        }
        let now = *state.borrow();
        if now.cuts > born && now.cut == Some(Cut::Silence) {
            std::future::pending::<()>().await;
        }
        if let Trouble::Delay(time) = now.trouble {
            tokio::time::sleep(time).await;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
