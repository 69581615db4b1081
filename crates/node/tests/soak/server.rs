//! Backend servers that record their requests and misbehave on demand.

use super::{
    link::{Link, Task},
    record::{Arrival, Record},
};
use redwingtrestle_core::{
    process::registration::{Registration, RegistrationState, ServerId},
    time::Span,
};
use redwingtrestle_platform::header_names::header_names;
use std::{
    net::IpAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, PoisonError,
    },
    time::{Duration, Instant},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// How a server handles requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs requests and responds to them.
    #[default]
    Serve,
    /// Runs requests and responds with 500.
    Fail,
    /// Refuses requests with 503 and the header that says they have not run.
    Shed,
    /// Runs requests and responds with 503 without the header that says they have not run.
    FailUnmarked,
    /// Runs requests and closes the connection without a response.
    CloseAfterRun,
    /// Runs requests and closes the connection midway through the response.
    TruncateResponse,
    /// Runs requests and responds to them, and sends a second response with another id.
    ExtraResponse,
    /// Runs requests and responds with the id of another request.
    WrongId,
    /// Runs requests and never responds.
    Hang,
    /// Runs requests and writes the refusal of another request before the response.
    RepeatRefusal,
    /// Runs requests and closes the connection in the middle of the response's head.
    CutHead,
    /// Refuses requests as [`Shed`](Self::Shed) does, and asks for a pause of `PAUSE`.
    AskForPause,
}

/// How long a server that asks for a pause wants no requests from a node.
const PAUSE: Duration = Duration::from_secs(2);

/// A request takes `WORK`, but about one in `LONG_EACH` takes `LONG_WORK`, so that some are still open when their caller
/// disconnects or their node stops.
const WORK: Duration = Duration::from_millis(15);
const LONG_WORK: Duration = Duration::from_millis(1_400);
const LONG_EACH: u32 = 8;

/// A server ends when it has run a request with this beginning of its path for `TIME_TO_CRASH`.
pub const CRASHING_PATH: &str = "/reads/crash";
const TIME_TO_CRASH: Duration = Duration::from_millis(30);

/// A running backend server behind a link.
#[derive(Debug)]
pub struct Server {
    pub registration: Registration,
    pub link: Link,
    behaviour: Arc<Mutex<Behaviour>>,
    is_leaving: Arc<AtomicBool>,
    limit: Arc<Mutex<Option<f64>>>,
    crashed: Arc<AtomicBool>,
    _listener: Task,
}

/// The state that all connections of a server share.
#[derive(Clone, Debug)]
struct Identity {
    id: String,
    service: &'static str,
    behaviour: Arc<Mutex<Behaviour>>,
    is_leaving: Arc<AtomicBool>,
    limit: Arc<Mutex<Option<f64>>>,
    crashed: Arc<AtomicBool>,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server. With `link` it takes over the address of that link, otherwise it gets a new one on `ip`.
    pub async fn start(
        ip: IpAddr,
        id: String,
        service: &'static str,
        link: Option<Link>,
        record: Arc<Record>,
    ) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let listen_addr = listener.local_addr().expect("an address");
        let link = match link {
            Some(link) => {
                link.set_target(Some(listen_addr));
                link.set_down(false);
                link
            }
            None => Link::start(ip, listen_addr).await.expect("a link"),
        };
        let behaviour = Arc::new(Mutex::new(Behaviour::Serve));
        let is_leaving: Arc<AtomicBool> = Arc::default();
        let limit: Arc<Mutex<Option<f64>>> = Arc::default();
        let crashed: Arc<AtomicBool> = Arc::default();
        let identity = Identity {
            id: id.clone(),
            service,
            behaviour: behaviour.clone(),
            is_leaving: is_leaving.clone(),
            limit: limit.clone(),
            crashed: crashed.clone(),
            record,
        };
        let listener = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                connections.spawn(handle_connection(socket, identity.clone()));
            }
        });
        let registration = Registration {
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
        Server {
            registration,
            link,
            behaviour,
            is_leaving,
            limit,
            crashed,
            _listener: Task(listener),
        }
    }

    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().unwrap_or_else(PoisonError::into_inner) = behaviour;
    }

    /// Makes the server say in all its responses that it leaves.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Makes the server name this limit on requests per second in all its responses, or none.
    pub fn set_limit(&self, limit: Option<f64>) {
        *self.limit.lock().unwrap_or_else(PoisonError::into_inner) = limit;
    }

    /// Ends the server if it has run a request that crashes it, and returns whether it has.
    pub fn take_crash(&self) -> bool {
        let has_crashed = self.crashed.swap(false, Ordering::SeqCst);
        if has_crashed {
            self.link.set_down(true);
        }
        has_crashed
    }

    /// Starts the server again after its crash.
    pub fn restart(&mut self) {
        self.registration.started += 1;
        self.registration.report += 1;
        self.link.set_down(false);
    }

    /// Stops the server with all its connections and returns its link for another server.
    pub fn stop(self) -> Link {
        self.link.set_target(None);
        self.link
    }
}

/// Returns the body of a server's response. It is long for `files`, so that responses can break off midway.
pub fn response_body(id: &str, signature: &str, service: &str) -> Vec<u8> {
    let text = format!("{id} {signature} ");
    let length = if service == "files" { 40_000 } else { 64 };
    text.bytes().cycle().take(length).collect()
}

struct ReceivedRequest {
    id: String,
    path: String,
    target: String,
    body: Vec<u8>,
}

async fn read_request(socket: &mut TcpStream) -> Option<ReceivedRequest> {
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
    Some(ReceivedRequest {
        id: header(names.attempt.as_str()),
        path: head.split(' ').nth(1)?.to_string(),
        target: header(names.target.as_str()),
        body,
    })
}

async fn handle_connection(mut socket: TcpStream, identity: Identity) {
    while let Some(request) = read_request(&mut socket).await {
        let behaviour = *identity.behaviour.lock().unwrap_or_else(PoisonError::into_inner);
        if !handle_request(&mut socket, &identity, &request, behaviour).await {
            return;
        }
    }
}

/// Serves one request and returns whether the connection stays open.
async fn handle_request(
    socket: &mut TcpStream,
    identity: &Identity,
    request: &ReceivedRequest,
    behaviour: Behaviour,
) -> bool {
    let says_leaving = identity.is_leaving.load(Ordering::SeqCst);
    let limit = *identity.limit.lock().unwrap_or_else(PoisonError::into_inner);
    let notice = encode_notice(says_leaving, limit);
    let is_for_this_server = request.target.is_empty() || request.target == identity.id;
    let refuses = matches!(behaviour, Behaviour::Shed | Behaviour::AskForPause);
    let was_run = is_for_this_server && !refuses;
    let asks_for_pause = is_for_this_server && behaviour == Behaviour::AskForPause;
    let number = identity.record.add_arrival(
        &request.id,
        Arrival {
            server: identity.id.clone(),
            service: identity.service,
            at: Instant::now(),
            path: request.path.clone(),
            body: request.body.clone(),
            was_run,
            is_misdirected: !is_for_this_server,
            response: None,
            says_leaving,
            pause: asks_for_pause.then_some(PAUSE),
            limit,
            ended: None,
        },
    );
    if !was_run {
        let status = if is_for_this_server { 503 } else { 421 };
        let notice = match asks_for_pause {
            true => format!("{notice}Retry-After: {}\r\n", PAUSE.as_secs()),
            false => notice,
        };
        return socket.write_all(&encode_refusal(status, &request.id, &notice)).await.is_ok();
    }
    let signature = format!("{}.{number}.{}", identity.id, identity.service);
    let is_long = request.id.bytes().map(u32::from).sum::<u32>() % LONG_EACH == 0;
    if request.path.starts_with(CRASHING_PATH) {
        tokio::time::sleep(TIME_TO_CRASH).await;
        identity.crashed.store(true, Ordering::SeqCst);
        // The connection stays open until the link is down.
        std::future::pending::<()>().await;
    }
    let work = match behaviour {
        Behaviour::Hang => Duration::from_secs(3_600),
        _ if is_long => LONG_WORK,
        _ => WORK,
    };
    let mut byte = [0u8; 1];
    let caller_left = tokio::select! {
        () = tokio::time::sleep(work) => false,
        _ = socket.read(&mut byte) => true,
    };
    identity
        .record
        .update_arrival(&request.id, number, |arrival| arrival.ended = Some(Instant::now()));
    if caller_left {
        return false;
    }
    let status = match behaviour {
        Behaviour::Fail => 500,
        Behaviour::FailUnmarked => 503,
        _ => 200,
    };
    let body = response_body(&request.id, &signature, identity.service);
    let mut response = encode_response(status, &request.id, &signature, &notice, &body);
    match behaviour {
        Behaviour::CloseAfterRun => return false,
        Behaviour::TruncateResponse => {
            // The connection is closed whether or not these bytes arrive.
            let _ = socket.write_all(&response[..response.len() - body.len() / 2]).await;
            return false;
        }
        Behaviour::CutHead => {
            let head = response.len() - body.len();
            // The connection is closed whether or not these bytes arrive.
            let _ = socket.write_all(&response[..head / 2]).await;
            return false;
        }
        Behaviour::RepeatRefusal => {
            response = [encode_refusal(503, "another", ""), response].concat();
        }
        Behaviour::WrongId => {
            response = encode_response(200, "another", &signature, "", b"not yours");
        }
        Behaviour::ExtraResponse => {
            response.extend(encode_response(200, "another", &signature, "", b"not yours"));
        }
        _ => {}
    }
    identity.record.update_arrival(&request.id, number, |arrival| {
        arrival.response = Some((status, signature.clone()));
    });
    socket.write_all(&response).await.is_ok()
}

/// Returns the headers of a response that tell of the server itself.
fn encode_notice(says_leaving: bool, limit: Option<f64>) -> String {
    let names = header_names();
    let leaving = says_leaving.then(|| format!("{}: 1\r\n", names.leaving));
    let limit = limit.map(|limit| format!("{}: {limit}\r\n", names.limit));
    leaving.into_iter().chain(limit).collect()
}

fn encode_refusal(status: u16, id: &str, notice: &str) -> Vec<u8> {
    let names = header_names();
    let (not_run, attempt) = (names.not_run, names.attempt);
    let head = format!("HTTP/1.1 {status} X\r\n{not_run}: 1\r\n{attempt}: {id}\r\n");
    format!("{head}{notice}Content-Length: 0\r\n\r\n").into_bytes()
}

fn encode_response(status: u16, id: &str, signature: &str, notice: &str, body: &[u8]) -> Vec<u8> {
    let names = header_names();
    let head = format!(
        "HTTP/1.1 {status} X\r\n{}: {id}\r\n{}: {signature}\r\n{notice}Content-Length: {}\r\n\r\n",
        names.attempt,
        names.signature,
        body.len()
    );
    [head.as_bytes(), body].concat()
}
