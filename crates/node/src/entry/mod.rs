//! The HTTP server for callers, built on Rocket.

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

/// All methods that Rocket supports. The proxy needs a route for each.
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

/// The Rocket rank of the proxy's routes, with which the node's own routes take precedence.
const PROXY_RANK: isize = 10;

/// The maximum number of carriers that are asked for a key prefix, and the timeout for each.
const MAX_CARRIER_CALLS: usize = 2;
const CARRIER_CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The time that Rocket gets to stop accepting connections after the shutdown notice.
const STOP_ACCEPTING_TIMEOUT: Duration = Duration::from_millis(100);

/// Builds the entry server. Its address is bound by [`serve`].
pub async fn ignite(shared: Arc<Shared>) -> Result<Entry> {
    let config = Config {
        address: shared.settings.entry.ip(),
        port: shared.settings.entry.port(),
        workers: shared.settings.workers,
        log_level: LogLevel::Off,
        cli_colors: false,
        ident: rocket::config::Ident::none(),
        // When the grace period ends, Rocket cuts all connections, even one to which it has not yet written
        // the last bytes of a response. The planned stop has its own time limits instead.
        shutdown: Shutdown {
            ctrlc: false,
            signals: Default::default(),
            grace: u32::MAX,
            ..Shutdown::default()
        },
        ..Config::release_default()
    };
    let proxy_routes: Vec<Route> = METHODS
        .iter()
        .map(|m| Route::ranked(PROXY_RANK, *m, "/<path..>", ProxyHandler(shared.clone())))
        .collect();
    let (guard, closed) = watch::channel(());
    let rocket = rocket::custom(config)
        .manage(shared.clone())
        .manage(ConnectionGuard(guard))
        // Responses come from the backend servers, so no security headers are added to them.
        .attach(Shield::new())
        .attach(CloseWhenLeaving(shared.clone()))
        .mount("/", routes![entries, health, metrics])
        .mount("/", proxy_routes)
        .register("/", [Catcher::new(None, BadRequestCatcher(shared))])
        .ignite()
        .await
        .map_err(|e| Error::start("entry", e.to_string()))?;
    Ok(Entry { rocket, closed })
}

/// Part of the server's state, which the server and each of its connections keep alive. When the last of them
/// ends, the sender is dropped and the channel closes.
struct ConnectionGuard(
    #[allow(dead_code, reason = "only its drop has an effect")] watch::Sender<()>,
);

/// The entry server before its launch.
#[derive(Debug)]
pub struct Entry {
    /// The Rocket instance, from which the caller gets the shutdown handle.
    pub rocket: Rocket<Ignite>,
    closed: watch::Receiver<()>,
}

/// Serves until shutdown is notified and the last connection has closed.
///
/// If a connection is open at the notice, Rocket's launch future would wait for the whole grace period. It
/// is therefore dropped. The server's state is dropped with the last connection, after its last byte was
/// written to the socket, and that ends the wait.
pub async fn serve(shared: Arc<Shared>, entry: Entry) -> Result<()> {
    let Entry { rocket, mut closed } = entry;
    let shutdown = rocket.shutdown();
    let mut launch = Box::pin(rocket.launch());
    let launched = tokio::select! {
        biased;
        launched = &mut launch => launched,
        () = shutdown => match tokio::time::timeout(STOP_ACCEPTING_TIMEOUT, &mut launch).await {
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
        // Rocket panics if a launch error is dropped without being inspected, so its kind is always read.
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

/// A text response with its content type.
struct TextResponse(ContentType, String);

impl<'r> Responder<'r, 'static> for TextResponse {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let body = std::io::Cursor::new(self.1.into_bytes());
        Response::build().header(self.0).sized_body(None, body).ok()
    }
}

/// Returns the entries to use. For a `path`, these are the listed carriers of its service, if there are any.
#[get("/v1/entries?<path>&<method>")]
async fn entries(
    shared: &State<Arc<Shared>>,
    path: Option<&str>,
    method: Option<&str>,
    target: &Origin<'_>,
    forwarded: Forwarded,
) -> TextResponse {
    let mut reply = EntriesReply {
        entries: shared.entries.load().to_vec(),
        ttl_ms: shared.settings.entries_ttl.as_millis(),
        key_prefix: shared.key_prefix().unwrap_or_default(),
    };
    if let Some(carriers) = path.and_then(|p| find_carriers(shared, method, p)) {
        let own = shared.settings.entry_address();
        let own = Some(own).filter(|_| carriers.is_local);
        let order = own.into_iter().chain(carriers.entries.iter().copied());
        let mut carrying: Vec<SocketAddr> = order.filter(|e| reply.entries.contains(e)).collect();
        if !carriers.is_local && forwarded != Forwarded::No {
            reply.key_prefix.clear();
        } else if !carriers.is_local {
            // Only a carrier can mint a prefix for keys whose home it is. If none responds, the reply keeps this
            // node's prefix, and this node forwards the keyed requests.
            for position in 0..carrying.len().min(MAX_CARRIER_CALLS) {
                let response = fetch_entries(shared, carrying[position], &target.to_string()).await;
                if let Some(response) = response.filter(|r| !r.key_prefix.is_empty()) {
                    reply.key_prefix = response.key_prefix;
                    carrying[..=position].rotate_right(1);
                    break;
                }
            }
        }
        if !carrying.is_empty() {
            reply.entries = carrying;
        }
    }
    TextResponse(ContentType::JSON, serde_json::to_string(&reply).unwrap_or_default())
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Forwarded {
    type Error = Infallible;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Infallible> {
        let header = request.headers().get_one(caller::FORWARDED);
        Outcome::Success(Forwarded::from_header(header))
    }
}

/// Returns the carriers of a path's service, or `None` if the path has no route or all members carry it.
///
/// Without a method, the `POST` route is used, because keys matter most for it, or else the `GET` route.
fn find_carriers(shared: &Shared, method: Option<&str>, path: &str) -> Option<Arc<Carriers>> {
    let active = shared.active.load();
    let find = |method: &str| active.as_ref()?.routes.find(method, path);
    let route = match method {
        Some(method) => find(method)?,
        None => find("POST").or_else(|| find("GET"))?,
    };
    shared.carriers.load().get(&route.service).cloned()
}

/// Requests `target` from a carrier and returns its response, or `None` if that fails.
async fn fetch_entries(shared: &Shared, carrier: SocketAddr, target: &str) -> Option<EntriesReply> {
    let request = shared
        .client
        .get(format!("http://{carrier}{target}"))
        .header(caller::FORWARDED, caller::FORWARDED_TO_CARRIER)
        .timeout(CARRIER_CALL_TIMEOUT);
    let bytes = request.send().await.ok()?.bytes().await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

#[get("/v1/health")]
fn health(shared: &State<Arc<Shared>>) -> (Status, TextResponse) {
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
    (status, TextResponse(ContentType::JSON, text.to_string()))
}

#[get("/v1/metrics")]
fn metrics(shared: &State<Arc<Shared>>) -> TextResponse {
    ::metrics::gauge!("redwing_in_flight").set(shared.in_flight() as f64);
    TextResponse(ContentType::new("text", "plain"), telemetry::render())
}

/// The route handler that passes requests on to backend servers.
#[derive(Clone)]
struct ProxyHandler(Arc<Shared>);

#[rocket::async_trait]
impl route::Handler for ProxyHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> route::Outcome<'r> {
        let in_flight = self.0.start_request();
        let response = proxy::handle(&self.0, request, data, in_flight).await;
        route::Outcome::Success(response)
    }
}

/// Refuses requests that Rocket could not parse.
#[derive(Clone)]
struct BadRequestCatcher(Arc<Shared>);

#[rocket::async_trait]
impl catcher::Handler for BadRequestCatcher {
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
