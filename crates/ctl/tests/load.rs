//! The load generator against stand-ins for the entries of a fleet.

use redwingtrestle_core::codes::{Outcome, ResultCode};
use redwingtrestle_ctl::load::{run, run_with, LoadPlan, LoadReport, LoadStream, RequestRecord};
use redwingtrestle_wire::caller::RefusalBody;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, OnceLock},
    time::Duration,
};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

/// A request received by a stand-in entry.
#[derive(Clone, Debug)]
struct Request {
    entry: usize,
    method: String,
    path: String,
    headers: HashMap<String, String>,
    body: usize,
}

impl Request {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// The scripted reaction to a request.
enum Reply {
    Ok,
    Code(ResultCode),
    Status(u16, &'static str),
    Wait(Duration),
    Close,
    Truncated,
    WrongId,
}

type Script = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Two stand-in entries that respond by a script and record all requests except `GET /v1/entries`.
struct Fleet {
    entries: Vec<SocketAddr>,
    received: Arc<Mutex<Vec<Request>>>,
    entries_requests: Arc<Mutex<u64>>,
}

impl Fleet {
    async fn start(script: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> Fleet {
        Fleet::with_extra(&[], script).await
    }

    /// Starts a fleet whose responses to `GET /v1/entries` also list `extra`.
    async fn with_extra(
        extra: &[SocketAddr],
        script: impl Fn(&Request) -> Reply + Send + Sync + 'static,
    ) -> Fleet {
        let script: Script = Arc::new(script);
        let (received, entries_requests) =
            (Arc::new(Mutex::new(Vec::new())), Arc::new(Mutex::new(0)));
        let mut listeners = Vec::new();
        for _ in 0..2 {
            listeners.push(TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let entries: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
        let listed = [&entries, extra].concat();
        for (entry, listener) in listeners.into_iter().enumerate() {
            let (script, received, entries_requests) =
                (script.clone(), received.clone(), entries_requests.clone());
            let listed = listed.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let (script, received, entries_requests) =
                        (script.clone(), received.clone(), entries_requests.clone());
                    let listed = listed.clone();
                    tokio::spawn(async move {
                        serve(stream, entry, &listed, &script, &received, &entries_requests).await;
                    });
                }
            });
        }
        Fleet { entries, received, entries_requests }
    }

    fn plan(&self) -> LoadPlan {
        LoadPlan {
            entries: self.entries.clone(),
            rate: 200.0,
            duration_ms: 500,
            ..LoadPlan::default()
        }
    }

    fn keyed_plan(&self) -> LoadPlan {
        LoadPlan { streams: vec![invoice_stream()], ..self.plan() }
    }

    fn received(&self) -> Vec<Request> {
        self.received.lock().unwrap().clone()
    }

    /// Returns the recorded requests by request id, in the order of arrival.
    fn by_id(&self) -> BTreeMap<String, Vec<Request>> {
        let mut groups: BTreeMap<String, Vec<Request>> = BTreeMap::new();
        for request in self.received() {
            groups.entry(request.header("redwing-request-id").into()).or_default().push(request);
        }
        groups
    }
}

fn invoice_stream() -> LoadStream {
    LoadStream {
        name: "issue".into(),
        method: "POST".into(),
        path: "/invoices".into(),
        idempotent: false,
        body_bytes: 100,
        ..LoadStream::default()
    }
}

async fn read(reader: &mut BufReader<TcpStream>, entry: usize) -> Option<Request> {
    let mut line = String::new();
    reader.read_line(&mut line).await.ok().filter(|n| *n > 0)?;
    let mut words = line.split_whitespace();
    let (method, path) = (words.next()?.to_string(), words.next()?.to_string());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).await.ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        headers.insert(name.to_lowercase(), value.to_string());
    }
    let body = headers.get("content-length").map_or(0, |l| l.parse().unwrap());
    reader.read_exact(&mut vec![0; body]).await.ok()?;
    Some(Request { entry, method, path, headers, body })
}

async fn serve(
    stream: TcpStream,
    entry: usize,
    listed: &[SocketAddr],
    script: &Script,
    received: &Mutex<Vec<Request>>,
    entries_requests: &Mutex<u64>,
) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read(&mut reader, entry).await {
        let own = request.header("redwing-request-id").to_string();
        let (mut status, mut headers, mut body) = (200, String::new(), "hello".to_string());
        let mut id = own.clone();
        if request.path == "/v1/entries" {
            *entries_requests.lock().unwrap() += 1;
            let entries = serde_json::to_string(listed).unwrap();
            body = format!(
                r#"{{"entries":{entries},"ttl_ms":60000,"key_prefix":"home{entry}-1-1-1"}}"#
            );
        } else {
            received.lock().unwrap().push(request.clone());
            match script(&request) {
                Reply::Ok => headers = "redwing-outcome: ran\r\n".into(),
                Reply::Status(code, more) => (status, headers) = (code, more.into()),
                Reply::Wait(span) => tokio::time::sleep(span).await,
                Reply::Close => return,
                Reply::WrongId => id = "another".into(),
                Reply::Truncated => {
                    let text = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort";
                    let _ = reader.write_all(text.as_bytes()).await;
                    return;
                }
                Reply::Code(code) => {
                    status = code.status();
                    headers = format!(
                        "redwing-outcome: {}\r\nredwing-code: {}\r\n",
                        code.outcome(),
                        code.number(),
                    );
                    let mut refusal = RefusalBody::new(code, "the script says so");
                    refusal.key_prefix = Some("fresh-1-1-2".into());
                    refusal.retry_after_ms = Some(1);
                    body = serde_json::to_string(&refusal).unwrap();
                }
            }
        }
        let text = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nredwing-request-id: {id}\r\n{headers}\r\n{body}",
            body.len(),
        );
        if reader.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Returns a script that replies with `first` to the first attempt of a request and with success to later ones.
fn on_first_attempt(first: impl Fn() -> Reply) -> impl Fn(&Request) -> Reply {
    move |r| if r.header("redwing-attempt") == "1" { first() } else { Reply::Ok }
}

fn total(report: &LoadReport) -> u64 {
    report.streams.iter().map(|s| s.requests).sum()
}

/// Guards against requests without the headers, keys and distribution of a real caller, and against results that are
/// not counted.
#[tokio::test(flavor = "multi_thread")]
async fn requests_follow_the_plan_and_are_all_counted() {
    let fleet = Fleet::start(|_| Reply::Ok).await;
    let read = LoadStream { weight: 3.0, ..LoadStream::default() };
    let plan = LoadPlan { streams: vec![read, invoice_stream()], callers: 4, ..fleet.plan() };
    let report = run(&plan).await.unwrap();
    let received = fleet.received();
    assert_eq!(total(&report), received.len() as u64);
    assert!(*fleet.entries_requests.lock().unwrap() <= 4, "each caller asks once within the ttl");
    for entry in 0..2 {
        let part = received.iter().filter(|r| r.entry == entry).count();
        assert!(part * 4 > received.len(), "entry {entry} got {part} of {}", received.len());
    }
    let posts: Vec<_> = received.iter().filter(|r| r.method == "POST").collect();
    let keys: BTreeSet<_> = posts.iter().map(|r| r.header("idempotency-key")).collect();
    assert_eq!(keys.len(), posts.len(), "each request has a key of its own");
    assert!(keys.iter().all(|k| k.starts_with("home") && k.contains("-1-1-1.")), "{keys:?}");
    assert!(posts.iter().all(|r| r.body == 100));
    let reads: Vec<_> = received.iter().filter(|r| r.method == "GET").collect();
    assert!(reads.len() > posts.len(), "weights are ignored");
    assert!(reads.iter().all(|r| r.header("idempotency-key").is_empty()));
    let workspaces: BTreeSet<_> = received.iter().map(|r| r.header("redwing-workspace")).collect();
    assert_eq!(workspaces.into_iter().collect::<Vec<_>>(), ["w0", "w1", "w2", "w3"]);
    assert!(received
        .iter()
        .all(|r| r.header("redwing-deadline-ms").parse::<u64>().unwrap() <= 2_000));
    for stream in &report.streams {
        assert_eq!((stream.ran, stream.resends, stream.mismatched), (stream.requests, 0, 0));
        assert_eq!(stream.good + stream.late, stream.requests);
        assert!(
            stream.served.count == stream.ran && stream.served.max_us <= stream.answered.max_us
        );
        let seconds: u64 = stream.seconds.iter().map(|s| s.good + s.other).sum();
        assert_eq!(seconds, stream.requests);
    }
}

/// Guards against a report that changes when it is written as JSON and read back.
#[tokio::test(flavor = "multi_thread")]
async fn report_is_unchanged_by_json() {
    let fleet = Fleet::start(|_| Reply::Code(ResultCode::NoRoute)).await;
    let report = run(&fleet.plan()).await.unwrap();
    assert_eq!(report.streams[0].codes, [(1001, total(&report))].into());
    let text = serde_json::to_string(&report).unwrap();
    assert_eq!(serde_json::from_str::<LoadReport>(&text).unwrap(), report);
}

/// Guards against a resend after `key_sealed` with a new key or with the sealed attempt number.
#[tokio::test(flavor = "multi_thread")]
async fn sealed_attempt_is_resent_with_a_higher_number() {
    let fleet = Fleet::start(on_first_attempt(|| Reply::Code(ResultCode::KeySealed))).await;
    let report = run(&fleet.keyed_plan()).await.unwrap();
    for sends in fleet.by_id().values() {
        let [first, second] = &sends[..] else { panic!("two sends expected: {sends:?}") };
        assert_eq!(first.header("idempotency-key"), second.header("idempotency-key"));
        assert_eq!(second.header("redwing-attempt"), "2");
    }
    assert_eq!(report.streams[0].resends, total(&report));
    assert_eq!(report.streams[0].ran, total(&report));
}

/// Guards against a resend after a broken connection to the same entry or with another key.
#[tokio::test(flavor = "multi_thread")]
async fn broken_connection_is_resent_to_another_entry() {
    // The first entry closes every connection without a response.
    let fleet = Fleet::start(|r| if r.entry == 0 { Reply::Close } else { Reply::Ok }).await;
    let plan = LoadPlan { callers: 100, ..fleet.keyed_plan() };
    let report = run(&plan).await.unwrap();
    let mut resent = 0;
    for sends in fleet.by_id().values().filter(|s| s.len() > 1) {
        let [first, second] = &sends[..] else { panic!("two sends expected: {sends:?}") };
        assert_eq!((first.entry, second.entry), (0, 1));
        assert_eq!(first.header("idempotency-key"), second.header("idempotency-key"));
        assert_eq!((first.header("redwing-attempt"), second.header("redwing-attempt")), ("1", "2"));
        resent += 1;
    }
    assert!(resent > 5, "only {resent} requests met the broken entry");
    assert_eq!((report.streams[0].ran, report.streams[0].broken), (total(&report), 0));
}

/// Guards against a caller that keeps using an entry whose connections break.
#[tokio::test(flavor = "multi_thread")]
async fn entry_with_broken_connections_is_avoided() {
    let fleet = Fleet::start(|r| if r.entry == 0 { Reply::Close } else { Reply::Ok }).await;
    let report = run(&LoadPlan { callers: 1, ..fleet.plan() }).await.unwrap();
    let used = fleet.received().iter().filter(|r| r.entry == 0).count() as u64;
    // Besides the first request, only those already in flight when its connection broke may use the entry.
    assert!(used * 5 < total(&report), "{used} of {} requests used the entry", total(&report));
}

/// Guards against sending keyed requests to another entry than their home although the plan asks for the home.
#[tokio::test(flavor = "multi_thread")]
async fn keyed_requests_go_to_their_home() {
    let fleet = Fleet::start(|_| Reply::Ok).await;
    run(&LoadPlan { keyed_to_home: true, ..fleet.keyed_plan() }).await.unwrap();
    for request in fleet.received() {
        let home = format!("home{}-", request.entry);
        assert!(request.header("idempotency-key").starts_with(&home), "{request:?}");
    }
}

/// Guards against counting a truncated response as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_does_not_count_as_complete() {
    let fleet = Fleet::start(|_| Reply::Truncated).await;
    let plan = LoadPlan { max_sends: 1, ..fleet.keyed_plan() };
    let report = run(&plan).await.unwrap();
    let stream = &report.streams[0];
    assert_eq!((stream.ran, stream.unknown, stream.good), (0, total(&report), 0));
    assert_eq!(stream.broken, stream.unknown);
}

/// Guards against resending a closed key, which its home no longer accepts, and against an attempt number other than
/// 1 for the new key.
#[tokio::test(flavor = "multi_thread")]
async fn closed_key_is_replaced_under_the_new_prefix() {
    let script = |r: &Request| match r.header("idempotency-key").starts_with("fresh") {
        true => Reply::Ok,
        false => Reply::Code(ResultCode::KeyClosed),
    };
    let fleet = Fleet::start(script).await;
    let report = run(&fleet.keyed_plan()).await.unwrap();
    assert_eq!(report.streams[0].ran, total(&report));
    for sends in fleet.by_id().values() {
        let last = sends.last().unwrap();
        assert!(last.header("idempotency-key").starts_with("fresh-1-1-2."));
        assert_eq!(last.header("redwing-attempt"), "1");
        assert!(sends.len() <= 2);
    }
}

/// Guards against running a request twice by resending it under a new key, since a forgotten key may have run.
#[tokio::test(flavor = "multi_thread")]
async fn forgotten_key_is_never_replaced() {
    let fleet = Fleet::start(|_| Reply::Code(ResultCode::KeyForgotten)).await;
    let report = run(&fleet.keyed_plan()).await.unwrap();
    assert!(fleet.by_id().values().all(|sends| sends.len() == 1));
    assert_eq!(report.streams[0].unknown, total(&report));
}

/// Guards against creating a new key while an earlier send may have run.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome_is_resent_with_the_same_key() {
    let fleet = Fleet::start(|_| Reply::Code(ResultCode::HomeSilent)).await;
    let report = run(&fleet.keyed_plan()).await.unwrap();
    for sends in fleet.by_id().values() {
        let keys: BTreeSet<_> = sends.iter().map(|r| r.header("idempotency-key")).collect();
        let attempts: Vec<_> = sends.iter().map(|r| r.header("redwing-attempt")).collect();
        assert_eq!((keys.len(), attempts), (1, vec!["1", "2", "3", "4"]));
    }
    assert_eq!(report.streams[0].unknown, total(&report));
}

/// Guards against callers whose resends make an overload worse.
#[tokio::test(flavor = "multi_thread")]
async fn overload_resends_are_bounded() {
    let fleet = Fleet::start(|_| Reply::Code(ResultCode::QueueFull)).await;
    let mut plan = LoadPlan { rate: 1_000.0, ..fleet.plan() };
    // A send that times out may have run, so no deadline may pass on a slow machine.
    plan.streams[0].deadline_ms = 60_000;
    let report = run(&plan).await.unwrap();
    let stream = &report.streams[0];
    assert!(stream.requests > 300, "only {} requests", stream.requests);
    assert!(stream.resends >= 10 && stream.resends <= 10 + stream.requests / 10, "{stream:?}");
    assert_eq!(stream.not_run, stream.requests);
}

/// Guards against counting a refused connection as an attempt that may have run.
#[tokio::test(flavor = "multi_thread")]
async fn refused_connection_keeps_the_attempt_number() {
    // A free port could be assigned to another test at any time, but this address and port are never assigned.
    let closed = SocketAddr::from(([127, 0, 0, 99], 9));
    let fleet = Fleet::with_extra(&[closed], |_| Reply::Ok).await;
    let plan = LoadPlan { callers: 50, ..fleet.keyed_plan() };
    let report = run(&plan).await.unwrap();
    let stream = &report.streams[0];
    assert!(stream.resends > 0, "no request met the closed entry");
    assert_eq!(stream.ran, stream.requests);
    for request in fleet.received() {
        assert_eq!(request.header("redwing-attempt"), "1", "{report:?}");
    }
    let alone = LoadPlan { entries: vec![closed], ..fleet.keyed_plan() };
    let report = run(&alone).await.unwrap();
    assert_eq!(
        (report.streams[0].not_run, report.streams[0].broken),
        (total(&report), total(&report))
    );
}

/// Guards against coordinated omission: a stall must not delay later arrivals or be missing from the latencies.
#[tokio::test(flavor = "multi_thread")]
async fn stall_of_the_fleet_shows_in_all_latencies() {
    let begin: Arc<OnceLock<std::time::Instant>> = Arc::default();
    let script = move |_: &Request| {
        let at = begin.get_or_init(std::time::Instant::now).elapsed();
        // Requests from 200 ms to 600 ms after the first one get a response only at 600 ms.
        match Duration::from_millis(600).checked_sub(at) {
            Some(left) if at >= Duration::from_millis(200) => Reply::Wait(left),
            _ => Reply::Ok,
        }
    };
    let fleet = Fleet::start(script).await;
    let plan = LoadPlan { rate: 500.0, duration_ms: 1_000, ..fleet.plan() };
    let mut stalled = 0;
    let report =
        run_with(&plan, |r: &RequestRecord| stalled += u64::from(r.latency_us > 100_000)).await;
    let report = report.unwrap();
    assert!(total(&report) > 400 && total(&report) < 600, "{} requests", total(&report));
    // Arrivals in the first 300 ms of the stall wait longer than 100 ms: about 150 of 500.
    assert!(stalled > 100, "only {stalled} requests show the stall");
    assert!(report.streams[0].answered.max_us > 300_000, "{:?}", report.streams[0].answered);
}

/// Guards against latencies that omit the generator's own delay.
#[tokio::test(flavor = "current_thread")]
async fn delay_of_the_generator_counts_as_latency() {
    let blocked = std::sync::Once::new();
    let script = move |_: &Request| {
        // The stand-in runs on the same thread as the generator, so this also blocks the generator.
        blocked.call_once(|| std::thread::sleep(Duration::from_millis(300)));
        Reply::Ok
    };
    let fleet = Fleet::start(script).await;
    let mut late = 0;
    run_with(&fleet.plan(), |r: &RequestRecord| {
        assert!(r.latency_us >= r.lag_us, "{r:?}");
        late += u64::from(r.lag_us > 100_000);
    })
    .await
    .unwrap();
    assert!(late > 10, "only {late} requests were delayed");
}

/// Guards against a request that continues after its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_ends_a_request() {
    let fleet = Fleet::start(|_| Reply::Wait(Duration::from_secs(30))).await;
    let stream = LoadStream { deadline_ms: 1_000, ..invoice_stream() };
    let plan = LoadPlan { streams: vec![stream], duration_ms: 200, ..fleet.plan() };
    let report = run(&plan).await.unwrap();
    let stream = &report.streams[0];
    assert_eq!((stream.unknown, stream.timeouts), (stream.requests, stream.requests));
    assert!(report.elapsed_ms < 3_000, "{} ms", report.elapsed_ms);
}

/// Guards against following a redirect away from the fleet.
#[tokio::test(flavor = "multi_thread")]
async fn redirect_is_not_followed() {
    let script = |_: &Request| Reply::Status(302, "location: http://127.0.0.1:1/\r\n");
    let fleet = Fleet::start(script).await;
    let report = run(&fleet.plan()).await.unwrap();
    assert_eq!(report.streams[0].statuses, [(302, total(&report))].into());
}

/// Guards against overlooking a response that belongs to another request.
#[tokio::test(flavor = "multi_thread")]
async fn response_with_another_request_id_is_counted() {
    let fleet = Fleet::start(|_| Reply::WrongId).await;
    let report = run(&fleet.plan()).await.unwrap();
    assert_eq!(report.streams[0].mismatched, total(&report));
}

/// Guards against ignoring the limits on requests in flight and on the total number of requests.
#[tokio::test(flavor = "multi_thread")]
async fn limits_of_requests_are_kept() {
    let fleet = Fleet::start(|_| Reply::Wait(Duration::from_millis(300))).await;
    let plan = LoadPlan { max_in_flight: 5, max_requests: 20, rate: 1_000.0, ..fleet.plan() };
    let report = run(&plan).await.unwrap();
    assert_eq!((total(&report), report.skipped), (5, 15));
}

/// Guards against runs of the same seed with different arrivals, and against keys that collide between runs.
#[tokio::test(flavor = "multi_thread")]
async fn same_seed_gives_same_arrivals_but_new_keys() {
    let fleet = Fleet::start(|_| Reply::Ok).await;
    let mut runs = Vec::new();
    let mut keys = BTreeSet::new();
    for seed in [5, 5, 6] {
        let plan = LoadPlan { seed, ..fleet.keyed_plan() };
        let mut arrivals = Vec::new();
        run_with(&plan, |r: &RequestRecord| {
            assert_eq!(r.outcome, Outcome::Ran);
            assert!(keys.insert(r.key.clone()), "a key was used twice");
            arrivals.push((r.number, r.intended_us));
        })
        .await
        .unwrap();
        arrivals.sort_unstable();
        runs.push(arrivals);
    }
    assert_eq!(runs[0], runs[1]);
    assert_ne!(runs[0], runs[2]);
}

/// Guards against accepting a plan that would never end or whose requests could not be sent.
#[tokio::test]
async fn invalid_plan_is_rejected() {
    let good = LoadPlan { entries: vec![([127, 0, 0, 1], 1).into()], ..LoadPlan::default() };
    good.check().unwrap();
    let stream = |s: LoadStream| LoadPlan { streams: vec![s], ..good.clone() };
    let bad = [
        LoadPlan { entries: Vec::new(), ..good.clone() },
        LoadPlan { rate: 0.0, ..good.clone() },
        LoadPlan { rate: f64::NAN, ..good.clone() },
        LoadPlan { streams: Vec::new(), ..good.clone() },
        LoadPlan { max_sends: 0, ..good.clone() },
        stream(LoadStream { weight: 0.0, ..LoadStream::default() }),
        stream(LoadStream { path: "no-slash".into(), ..LoadStream::default() }),
        stream(LoadStream { deadline_ms: 0, ..LoadStream::default() }),
        stream(LoadStream { method: "GE T".into(), ..LoadStream::default() }),
    ];
    for plan in bad {
        assert!(run(&plan).await.is_err(), "{plan:?}");
    }
}
