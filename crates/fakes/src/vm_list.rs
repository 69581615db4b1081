//! The platform's list of live and leaving VMs, in which changes appear with a delay.

use crate::http::{self, Body, CloseConnection};
use hyper::{body::Incoming, Request, Response};
use redwingtrestle_wire::log::VmDoc;
use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};
use tokio::task::JoinHandle;

#[derive(Debug, Default)]
struct State {
    lag: Duration,
    shown: BTreeMap<IpAddr, bool>,
    /// Changes that the list does not show yet: time, VM, and whether it is leaving, or `None` if it is removed.
    pending: Vec<(Instant, IpAddr, Option<bool>)>,
}

impl State {
    fn list(&mut self) -> Vec<VmDoc> {
        let now = Instant::now();
        let lag = self.lag;
        let (due, pending) = self.pending.drain(..).partition(|(at, ..)| *at + lag <= now);
        self.pending = pending;
        for (_, ip, leaving) in due {
            match leaving {
                Some(leaving) => self.shown.insert(ip, leaving),
                None => self.shown.remove(&ip),
            };
        }
        self.shown.iter().map(|(ip, leaving)| VmDoc { ip: *ip, leaving: *leaving }).collect()
    }
}

/// A running VM list service, which stops when dropped.
#[derive(Debug)]
pub struct VmList {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl VmList {
    /// Starts a list on the current tokio runtime. Changes appear in it after `lag`.
    pub async fn start(addr: SocketAddr, lag: Duration) -> io::Result<Self> {
        let (listener, addr) = http::bind(addr).await?;
        let state = Arc::new(Mutex::new(State { lag, ..State::default() }));
        let shared = state.clone();
        let task = http::serve(listener, move |request| respond(shared.clone(), request));
        Ok(VmList { addr, state, task })
    }

    /// Returns the service's URL for a node's settings.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Adds a VM, or sets whether a listed VM is leaving.
    pub fn set(&self, ip: IpAddr, leaving: bool) {
        lock(&self.state).pending.push((Instant::now(), ip, Some(leaving)));
    }

    /// Removes a VM.
    pub fn remove(&self, ip: IpAddr) {
        lock(&self.state).pending.push((Instant::now(), ip, None));
    }
}

impl Drop for VmList {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

async fn respond(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Result<Response<Body>, CloseConnection> {
    if request.uri().path() != "/v1/vms" {
        return Ok(http::json(404, &"no such path"));
    }
    let list = lock(&state).list();
    Ok(http::json(200, &list))
}
