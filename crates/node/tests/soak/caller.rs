//! Callers that look up entries, reuse their connections and record the outcome of each request.

use super::record::{Outcome, Record, SentRequest};
use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use http_body_util::{combinators::UnsyncBoxBody, BodyExt, Full, StreamBody};
use hyper::{
    body::Frame,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use rand::{rngs::StdRng, seq::IndexedRandom, Rng};
use redwingtrestle_platform::header_names::header_names;
use std::{
    collections::HashMap,
    convert::Infallible,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};
use tokio::net::TcpStream;

/// The deadline that a caller declares, in milliseconds.
const DEADLINE_MS: u64 = 2_500;

/// A caller waits this long, which is beyond its deadline, to observe late responses.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// The pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..60;

/// The probability that a body is sent in two parts, so that a node may begin to stop between them.
const SLOW_BODY_PROBABILITY: f64 = 0.04;

/// The pause between the two parts of a body, in milliseconds.
const BODY_PAUSE_MS: std::ops::Range<u64> = 100..1_500;

/// A caller looks up the entries again after this time.
const ENTRIES_TTL: Duration = Duration::from_secs(1);

/// The addresses at which callers reach a node.
#[derive(Clone, Debug)]
pub struct NodeEndpoints {
    pub directory: String,
    pub entry: SocketAddr,
    /// The link in front of the entry, to which callers connect.
    pub link: SocketAddr,
}

/// A caller that sends one request at a time.
#[derive(Debug)]
pub struct Caller {
    pub name: String,
    pub nodes: Vec<NodeEndpoints>,
    pub record: Arc<Record>,
    pub rng: StdRng,
    pub client: reqwest::Client,
    /// Whether the caller uses its open connections as long as the entries keep them open, also those to entries that
    /// the directory does not name any more.
    pub keeps_connections: bool,
    /// The path of all its requests, which are idempotent, instead of random ones.
    pub only_path: Option<String>,
}

type RequestBody = UnsyncBoxBody<Bytes, Infallible>;
type Sender = SendRequest<RequestBody>;

impl Caller {
    /// Sends requests until the run is over.
    pub async fn run(mut self, is_over: Arc<AtomicBool>) {
        let mut connections: HashMap<SocketAddr, Sender> = HashMap::new();
        let mut entries: Vec<SocketAddr> = Vec::new();
        let mut last_lookup: Option<Instant> = None;
        let mut number = 0;
        while !is_over.load(Ordering::SeqCst) {
            if last_lookup.is_none_or(|at| at.elapsed() > ENTRIES_TTL) {
                if let Some(fetched) = self.fetch_entries().await {
                    entries = fetched;
                    if self.keeps_connections {
                        let kept = connections.keys().filter(|entry| !entries.contains(entry));
                        entries.extend(kept.copied().collect::<Vec<_>>());
                    }
                    connections.retain(|entry, _| entries.contains(entry));
                }
                last_lookup = Some(Instant::now());
            }
            if let Some(entry) = entries.choose(&mut self.rng).copied() {
                number += 1;
                self.send_one(entry, number, &mut connections).await;
            }
            let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    /// Fetches the entries from the first of up to three random nodes that responds.
    async fn fetch_entries(&mut self) -> Option<Vec<SocketAddr>> {
        let nodes: Vec<NodeEndpoints> =
            self.nodes.choose_multiple(&mut self.rng, 3).cloned().collect();
        for node in nodes {
            let call = self.client.get(&node.directory).timeout(Duration::from_secs(1));
            let Ok(response) = call.send().await else { continue };
            let Ok(text) = response.text().await else { continue };
            let Ok(value) = serde_json::from_str::<serde_json::Value>(&text) else { continue };
            let entries = value["entries"].as_array().map(|list| {
                list.iter().filter_map(|entry| entry.as_str()?.parse().ok()).collect::<Vec<_>>()
            });
            if let Some(entries) = entries.filter(|entries| !entries.is_empty()) {
                return Some(entries);
            }
        }
        None
    }

    /// Returns the path of the next request, and whether it may run at most once.
    fn draw_path(&mut self, number: u32) -> (String, bool) {
        if let Some(path) = &self.only_path {
            return (path.clone(), false);
        }
        let kind = *["orders", "reads", "files", "moves"].choose(&mut self.rng).expect("a kind");
        let path = format!("/{kind}/{number}?of={}", self.name);
        (path, matches!(kind, "orders" | "moves"))
    }

    /// Returns the body of a request. A few are sent in two parts with a pause between them.
    fn request_body(&mut self, mut bytes: Vec<u8>) -> RequestBody {
        if bytes.is_empty() || !self.rng.random_bool(SLOW_BODY_PROBABILITY) {
            return Full::new(Bytes::from(bytes)).boxed_unsync();
        }
        let pause = Duration::from_millis(self.rng.random_range(BODY_PAUSE_MS));
        let rest = bytes.split_off(bytes.len() / 2);
        let first = stream::iter([Ok(Frame::data(Bytes::from(bytes)))]);
        let second = stream::once(async move {
            tokio::time::sleep(pause).await;
            Ok(Frame::data(Bytes::from(rest)))
        });
        StreamBody::new(first.chain(second)).boxed_unsync()
    }

    async fn send_one(
        &mut self,
        entry: SocketAddr,
        number: u32,
        connections: &mut HashMap<SocketAddr, Sender>,
    ) {
        let Some(node) = self.nodes.iter().find(|node| node.entry == entry) else { return };
        let ready = connections.remove(&entry).filter(|sender| !sender.is_closed());
        let mut sender = match ready {
            Some(sender) => sender,
            None => match connect(node.link).await {
                Some(sender) => sender,
                None => return,
            },
        };
        let id = format!("{}-{number}", self.name);
        let (path, at_most_once) = self.draw_path(number);
        let body = if at_most_once { format!("body of {id}").into_bytes() } else { Vec::new() };
        let names = header_names();
        let request = hyper::Request::builder()
            .method(if at_most_once { "POST" } else { "GET" })
            .uri(&path)
            .header("Host", "a.example")
            .header(&names.attempt, &id)
            .header(&names.deadline, DEADLINE_MS)
            .body(self.request_body(body.clone()))
            .expect("a request");
        let sent = SentRequest {
            path,
            body,
            at_most_once,
            node: entry.ip(),
            sent: Instant::now(),
            end: None,
        };
        self.record.add_request(&id, sent);
        let abandons = self.rng.random_bool(0.03);
        let timeout = if abandons { Duration::from_millis(5) } else { RESPONSE_TIMEOUT };
        let result = tokio::time::timeout(timeout, exchange(&mut sender, request)).await;
        let outcome = match result {
            Ok(Ok((outcome, is_open))) => {
                if is_open {
                    connections.insert(entry, sender);
                }
                outcome
            }
            Ok(Err(e)) => Outcome::Broken(e.to_string()),
            Err(_) if abandons => Outcome::Abandoned,
            Err(_) => Outcome::TimedOut,
        };
        self.record.end_request(&id, outcome);
    }
}

async fn connect(addr: SocketAddr) -> Option<Sender> {
    let connecting = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(addr));
    let socket = connecting.await.ok()?.ok()?;
    socket.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(socket)).await.ok()?;
    // Connection errors are returned by the request that they affect.
    tokio::spawn(async move { drop(connection.await) });
    Some(sender)
}

/// Sends a request, reads the whole response, and returns whether the connection may be reused.
async fn exchange(
    sender: &mut Sender,
    request: hyper::Request<RequestBody>,
) -> Result<(Outcome, bool), hyper::Error> {
    sender.ready().await?;
    let (head, body) = sender.send_request(request).await?.into_parts();
    let body = body.collect().await?.to_bytes().to_vec();
    let signature = head.headers.get(&header_names().signature);
    let signature = signature.and_then(|s| s.to_str().ok()).map(str::to_string);
    let closes = head.headers.get("connection").is_some_and(|value| value == "close");
    Ok((Outcome::Response(head.status.as_u16(), signature, body), !closes))
}
