//! The HTTP side that callers see, served by Rocket.

mod proxy;
mod reply;

use crate::{
    carriers::{Carriers, Forwarded},
    error::{Error, Result},
    shared::Shared,
    telemetry,
};
use redwingtrestle_core::codes::ResultCode;
use redwingtrestle_wire::caller::{self, EntriesReply};
use rocket::{
    catcher::{self, Catcher},
    config::{LogLevel, Shutdown},
    fairing::{Fairing, Info, Kind},
    get,
    http::{uri::Origin, ContentType, Method, Status},
    request::{FromRequest, Outcome},
    response::{self, Responder},
    route, routes,
    shield::Shield,
    Config, Data, Ignite, Request, Response, Rocket, Route, State,
};
use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};
use tokio::sync::watch;

/// All methods that Rocket knows; a proxy needs a route for each.
const METHODS: [Method; 9] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Trace,
    Method::Connect,
    Method::Patch,
];

/// The rank of the proxy's routes, behind all of the node's own.
const PROXY_RANK: isize = 10;

/// How many carriers are asked for a key prefix, and how long each may take.
const ASKED_CARRIERS: usize = 2;
const ASK_CARRIER: Duration = Duration::from_millis(300);

/// How long the server may take to stop accepting connections once it is notified.
const STOP_ACCEPTING: Duration = Duration::from_millis(100);

/// Builds the entry server; it binds its address when it is launched.
pub async fn ignite(shared: Arc<Shared>) -> Result<Entry> {
    let config = Config {
        address: shared.settings.entry.ip(),
        port: shared.settings.entry.port(),
        workers: shared.settings.workers,
        log_level: LogLevel::Off,
        cli_colors: false,
        ident: rocket::config::Ident::none(),
        // Rocket cuts whatever outlasts the grace time, also the last bytes of an answer that it has taken
        // from the node and not yet written. The planned stop has bounds of its own.
        shutdown: Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: u32::MAX,
            ..Shutdown::default()
        },
        ..Config::release_default()
    };
    let proxied: Vec<Route> = METHODS
        .iter()
        .map(|m| Route::ranked(PROXY_RANK, *m, "/<path..>", Proxied(shared.clone())))
        .collect();
    let (open, closed) = watch::channel(());
    let rocket = rocket::custom(config)
        .manage(shared.clone())
        .manage(Open(open))
        // Answers belong to the backend servers, so no security header is added to them.
        .attach(Shield::new())
        .attach(CloseWhenLeaving(shared.clone()))
        .mount("/", routes![entries, health, metrics])
        .mount("/", proxied)
        .register("/", [Catcher::new(None, Unreadable(shared))])
        .ignite()
        .await
        .map_err(|e| Error::start("entry", e.to_string()))?;
    Ok(Entry { rocket, closed })
}

/// `Open` is held by the server and by each of its connections.
struct Open(#[allow(dead_code, reason = "it counts by being dropped")] watch::Sender<()>);

/// `Entry` is the entry server before its launch.
#[derive(Debug)]
pub struct Entry {
    /// The server.
    pub rocket: Rocket<Ignite>,
    closed: watch::Receiver<()>,
}

/// Serves until shutdown is notified and the last connection has closed.
///
/// Rocket's own launch would then wait for the whole grace time if a connection was open at the
/// notice. It is therefore dropped, and the server's state is dropped with the last connection, after
/// its last byte was written to the socket.
pub async fn serve(shared: Arc<Shared>, entry: Entry) -> Result<()> {
    let Entry { rocket, mut closed } = entry;
    let shutdown = rocket.shutdown();
    let mut launch = Box::pin(rocket.launch());
    let launched = tokio::select! {
        biased;
        launched = &mut launch => launched,
        () = shutdown => match tokio::time::timeout(STOP_ACCEPTING, &mut launch).await {
            Ok(launched) => launched,
            Err(_) => {
                drop(launch);
                while closed.changed().await.is_ok() {}
                return Ok(());
            }
        },
    };
    match launched {
        Ok(_) => Ok(()),
        // Rocket panics when a launch error is dropped unread, so its kind is always looked at.
        Err(e) => match e.kind() {
            rocket::error::ErrorKind::Bind(source) => Err(Error::listen(
                "entry",
                shared.settings.entry,
                std::io::Error::new(source.kind(), source.to_string()),
            )),
            kind => Err(Error::start("entry", kind.to_string())),
        },
    }
}

/// Text of a content type.
struct Text(ContentType, String);

impl<'r> Responder<'r, 'static> for Text {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let body = std::io::Cursor::new(self.1.into_bytes());
        Response::build().header(self.0).sized_body(None, body).ok()
    }
}

/// Answers which entries to use, for a `path` only those that carry its service.
#[get("/v1/entries?<path>&<method>")]
async fn entries(
    shared: &State<Arc<Shared>>,
    path: Option<&str>,
    method: Option<&str>,
    target: &Origin<'_>,
    forwarded: Forwarded,
) -> Text {
    let mut reply = EntriesReply {
        entries: shared.entries.load().to_vec(),
        ttl_ms: shared.settings.entries_ttl.as_millis(),
        key_prefix: shared.key_prefix().unwrap_or_default(),
    };
    if let Some(carriers) = path.and_then(|p| carriers(shared, method, p)) {
        let me = shared.settings.entry_name();
        let me = Some(me).filter(|_| carriers.is_local);
        let order = me.into_iter().chain(carriers.entries.iter().copied());
        let mut carrying: Vec<SocketAddr> = order.filter(|e| reply.entries.contains(e)).collect();
        if !carriers.is_local && forwarded != Forwarded::No {
            reply.key_prefix.clear();
        } else if !carriers.is_local {
            // Only a carrier knows the prefix for its keys. Without one, keys of this home are forwarded.
            for place in 0..carrying.len().min(ASKED_CARRIERS) {
                let asked = ask_carrier(shared, carrying[place], &target.to_string()).await;
                if let Some(asked) = asked.filter(|a| !a.key_prefix.is_empty()) {
                    reply.key_prefix = asked.key_prefix;
                    carrying[..=place].rotate_right(1);
                    break;
                }
            }
        }
        if !carrying.is_empty() {
            reply.entries = carrying;
        }
    }
    Text(ContentType::JSON, serde_json::to_string(&reply).unwrap_or_default())
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Forwarded {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        let header = request.headers().get_one(caller::FORWARDED);
        Outcome::Success(Forwarded::from_header(header))
    }
}

/// Returns the carriers of a path's service, or none if the path has no route or all members carry it.
///
/// Without a method it is the route of `POST`, since keys matter to it most, else that of `GET`.
fn carriers(shared: &Shared, method: Option<&str>, path: &str) -> Option<Arc<Carriers>> {
    let active = shared.active.load();
    let find = |method: &str| active.as_ref()?.routes.find(method, path);
    let route = match method {
        Some(method) => find(method)?,
        None => find("POST").or_else(|| find("GET"))?,
    };
    shared.carriers.load().get(&route.service).cloned()
}

/// Asks a carrier what it answers to callers that ask for `target`.
async fn ask_carrier(shared: &Shared, carrier: SocketAddr, target: &str) -> Option<EntriesReply> {
    let request = shared
        .client
        .get(format!("http://{carrier}{target}"))
        .header(caller::FORWARDED, caller::FORWARDED_TO_CARRIER)
        .timeout(ASK_CARRIER);
    let bytes = request.send().await.ok()?.bytes().await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

#[get("/v1/health")]
fn health(shared: &State<Arc<Shared>>) -> (Status, Text) {
    let ready = shared.ready.load(std::sync::atomic::Ordering::SeqCst);
    let status = if ready { Status::Ok } else { Status::ServiceUnavailable };
    let version = shared.active.load().as_ref().map(|a| a.version.0);
    let text = serde_json::json!({
        "node": shared.id.to_string(),
        "region": &*shared.settings.region,
        "version": version,
        "leaving": shared.leaving.load(std::sync::atomic::Ordering::SeqCst),
        "in_flight": shared.in_flight(),
    });
    (status, Text(ContentType::JSON, text.to_string()))
}

#[get("/v1/metrics")]
fn metrics(shared: &State<Arc<Shared>>) -> Text {
    ::metrics::gauge!("redwing_in_flight").set(shared.in_flight() as f64);
    Text(ContentType::new("text", "plain"), telemetry::render())
}

/// Passes requests on to backend servers.
#[derive(Clone)]
struct Proxied(Arc<Shared>);

#[rocket::async_trait]
impl route::Handler for Proxied {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> route::Outcome<'r> {
        let in_flight = self.0.start_request();
        let response = proxy::handle(&self.0, request, data, in_flight).await;
        route::Outcome::Success(response)
    }
}

/// Answers what Rocket could not read as a request.
#[derive(Clone)]
struct Unreadable(Arc<Shared>);

#[rocket::async_trait]
impl catcher::Handler for Unreadable {
    async fn handle<'r>(&self, status: Status, _: &'r Request<'_>) -> catcher::Result<'r> {
        let what = format!("the request cannot be read: {status}");
        let prefix = self.0.key_prefix();
        Ok(reply::refusal(ResultCode::BadRequest, &what, "", prefix, ()))
    }
}

/// Asks callers to close their connections once the node is leaving.
struct CloseWhenLeaving(Arc<Shared>);

#[rocket::async_trait]
impl Fairing for CloseWhenLeaving {
    fn info(&self) -> Info {
        Info { name: "close when leaving", kind: Kind::Response }
    }

    async fn on_response<'r>(&self, _: &'r Request<'_>, response: &mut Response<'r>) {
        if self.0.leaving.load(std::sync::atomic::Ordering::SeqCst) {
            response.set_raw_header("Connection", "close");
        }
    }
}
