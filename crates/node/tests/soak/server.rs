//! Backend servers that record their requests and misbehave on demand.

use super::{
    link::{Link, Task},
    record::{Record, Run},
};
use redwingtrestle_core::{
    process::registration::{Registration, RegistrationState, ServerId},
    time::Span,
};
use redwingtrestle_platform::header_names::header_names;
use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// How a server handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Manner {
    /// Runs and answers requests.
    #[default]
    Serve,
    /// Runs requests and answers 500.
    Fail,
    /// Refuses requests with 503 and the header that says they have not run.
    Shed,
    /// Runs requests and answers 503 without the header that says they have not run.
    Unmarked,
    /// Runs requests and closes the connection without an answer.
    Lose,
    /// Runs requests and closes the connection midway through the answer.
    Cut,
    /// Runs and answers requests, and sends a second answer with another id.
    Extra,
    /// Runs requests and answers with the id of another request.
    Foreign,
    /// Runs requests and never answers.
    Hang,
}

/// The work takes `WORK`, and `LONG_WORK` for about one request in `LONG_EACH`, which is then still open when its caller
/// disconnects or its node stops.
const WORK: Duration = Duration::from_millis(15);
const LONG_WORK: Duration = Duration::from_millis(1_400);
const LONG_EACH: u32 = 8;

/// A running backend server behind a link.
#[derive(Debug)]
pub struct Server {
    pub entry: Registration,
    pub link: Link,
    manner: Arc<Mutex<Manner>>,
    _listener: Task,
}

/// The state that all connections of a server share.
#[derive(Clone, Debug)]
struct Identity {
    id: String,
    service: &'static str,
    manner: Arc<Mutex<Manner>>,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server. With `link` it takes over the address of that link, otherwise it gets a new one.
    pub async fn start(
        id: String,
        service: &'static str,
        link: Option<Link>,
        record: Arc<Record>,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let own = listener.local_addr().expect("an address");
        let link = match link {
            Some(link) => {
                link.aim(Some(own));
                link
            }
            None => Link::start(own).await.expect("a link"),
        };
        let manner = Arc::new(Mutex::new(Manner::Serve));
        let identity = Identity { id: id.clone(), service, manner: manner.clone(), record };
        let listener = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                connections.spawn(connection(socket, identity.clone()));
            }
        });
        let entry = Registration {
            id: ServerId(id.into()),
            addr: link.addr,
            service: service.into(),
            zone: "a".into(),
            slots: 6,
            state: RegistrationState::Ready,
            warmup: Span::ZERO,
            started: 1,
            report: 1,
        };
        Server { entry, link, manner, _listener: Task(listener) }
    }

    pub fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap_or_else(PoisonError::into_inner) = manner;
    }

    /// Stops the server with all its connections and returns its link for another server.
    pub fn end(self) -> Link {
        self.link.aim(None);
        self.link
    }
}

/// Returns the body of a server's answer. It is long for `files`, so that answers can break off midway.
pub fn answer_body(id: &str, signature: &str, service: &str) -> Vec<u8> {
    let text = format!("{id} {signature} ");
    let length = if service == "files" { 40_000 } else { 64 };
    text.bytes().cycle().take(length).collect()
}

struct Arrival {
    id: String,
    path: String,
    target: String,
    body: Vec<u8>,
}

async fn read(socket: &mut TcpStream) -> Option<Arrival> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0u8; 1];
        if socket.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or(String::new(), |(_, value)| value.to_string())
    };
    let names = header_names();
    let mut body = vec![0; header("content-length").parse().unwrap_or(0)];
    socket.read_exact(&mut body).await.ok()?;
    Some(Arrival {
        id: header(names.attempt.as_str()),
        path: head.split(' ').nth(1)?.to_string(),
        target: header(names.target.as_str()),
        body,
    })
}

async fn connection(mut socket: TcpStream, me: Identity) {
    while let Some(arrival) = read(&mut socket).await {
        let manner = *me.manner.lock().unwrap_or_else(PoisonError::into_inner);
        if !serve(&mut socket, &me, &arrival, manner).await {
            return;
        }
    }
}

/// Serves one request and returns whether the connection stays open.
async fn serve(socket: &mut TcpStream, me: &Identity, arrival: &Arrival, manner: Manner) -> bool {
    let names = header_names();
    let is_mine = arrival.target.is_empty() || arrival.target == me.id;
    let has_run = is_mine && manner != Manner::Shed;
    let number = me.record.arrived(
        &arrival.id,
        Run {
            server: me.id.clone(),
            service: me.service,
            at: Instant::now(),
            path: arrival.path.clone(),
            body: arrival.body.clone(),
            has_run,
            answer: None,
            ended: None,
        },
    );
    if !has_run {
        let status = if is_mine { 503 } else { 421 };
        let text =
            format!("HTTP/1.1 {status} X\r\n{}: 1\r\nContent-Length: 0\r\n\r\n", names.not_run);
        return socket.write_all(text.as_bytes()).await.is_ok();
    }
    let signature = format!("{}.{number}.{}", me.id, me.service);
    let is_long = arrival.id.bytes().map(u32::from).sum::<u32>() % LONG_EACH == 0;
    let work = match manner {
        Manner::Hang => Duration::from_secs(3_600),
        _ if is_long => LONG_WORK,
        _ => WORK,
    };
    let mut byte = [0u8; 1];
    let was_left = tokio::select! {
        () = tokio::time::sleep(work) => false,
        _ = socket.read(&mut byte) => true,
    };
    me.record.update(&arrival.id, number, |run| run.ended = Some(Instant::now()));
    if was_left {
        return false;
    }
    let status = match manner {
        Manner::Fail => 500,
        Manner::Unmarked => 503,
        _ => 200,
    };
    let body = answer_body(&arrival.id, &signature, me.service);
    let mut answer = whole(status, &arrival.id, &signature, &body);
    match manner {
        Manner::Lose => return false,
        Manner::Cut => {
            // The connection is closed whether or not these bytes arrive.
            let _ = socket.write_all(&answer[..answer.len() - body.len() / 2]).await;
            return false;
        }
        Manner::Foreign => answer = whole(200, "another", &signature, b"not yours"),
        Manner::Extra => answer.extend(whole(200, "another", &signature, b"not yours")),
        _ => {}
    }
    me.record.update(&arrival.id, number, |run| run.answer = Some((status, signature.clone())));
    socket.write_all(&answer).await.is_ok()
}

fn whole(status: u16, id: &str, signature: &str, body: &[u8]) -> Vec<u8> {
    let names = header_names();
    let head = format!(
        "HTTP/1.1 {status} X\r\n{}: {id}\r\n{}: {signature}\r\nContent-Length: {}\r\n\r\n",
        names.attempt,
        names.signature,
        body.len()
    );
    [head.as_bytes(), body].concat()
}
