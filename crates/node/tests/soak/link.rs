//! A loopback proxy whose connections can be delayed, cut one way, reset and silenced.

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

/// `Trouble` is what a link does to the bytes that pass it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    #[default]
    None,
    /// Each piece takes this much longer.
    Delay(Duration),
    /// What the connecting side sends is held up.
    CutForth,
    /// What the other side sends is held up.
    CutBack,
}

/// `Cut` ends or silences the connections that are open at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Both sides see their connection closed.
    Reset,
    /// Nothing passes any more, and neither side is told.
    Silence,
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    target: Option<SocketAddr>,
    trouble: Trouble,
    /// How many cuts there were, and what the last one was.
    cuts: u64,
    cut: Option<Cut>,
}

/// `Link` listens at one address and passes connections on to another one.
#[derive(Debug)]
pub struct Link {
    pub addr: SocketAddr,
    state: Arc<watch::Sender<State>>,
    _task: Task,
}

/// `Task` ends with its owner.
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

    /// Sets what happens to bytes from now on.
    pub fn set(&self, trouble: Trouble) {
        self.state.send_modify(|state| state.trouble = trouble);
    }

    /// Ends or silences all open connections.
    pub fn cut(&self, cut: Cut) {
        self.state.send_modify(|state| {
            state.cuts += 1;
            state.cut = Some(cut);
        });
    }

    /// Passes new connections on to another address; without one they are closed at once.
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
        // A proxy in the middle cannot half-close without looking like a caller that left, so either end ends both.
        () = pump(near_read, far_write, Trouble::CutForth, state.clone()) => {}
        () = pump(far_read, near_write, Trouble::CutBack, state) => {}
        _ = watched.wait_for(|s| s.cuts > born && s.cut == Some(Cut::Reset)) => {}
    }
}

/// Passes bytes on until either side ends.
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
