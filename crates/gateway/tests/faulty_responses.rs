//! Servers that repeat an earlier refusal, stop in the middle of a response or send more than one: no caller is told
//! that a request did not run while it runs, and no caller gets a part of a response as a whole one.

mod common;

use common::{
    get, post,
    scripted::{refusal, success, ScriptedServer, Step, Turn},
    Backend, Behaviour, Caller, Reply, TestGateway,
};
use redwingtrestle_core::process::registration::{Registration, RegistrationState};
use std::{
    collections::HashSet,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

/// The requests of a test in which the gateway picks the servers.
const REQUESTS: u32 = 40;

/// The cut responses that one gateway gets.
const CUTS_PER_GATEWAY: usize = 6;

/// The statuses that promise that a request did not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// The end of the connection of a cut response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Closed,
    Reset,
}

impl Cut {
    fn step(self) -> Step {
        match self {
            Cut::Closed => Step::Close,
            Cut::Reset => Step::Reset,
        }
    }
}

/// A refusal that a server writes once more.
#[derive(Clone, Copy, Debug)]
struct Repeat {
    status: u16,
    has_id: bool,
    /// How long the next request waits for it, in milliseconds.
    delay_ms: u64,
}

impl Repeat {
    /// Serves the first request of a connection, and writes a refusal with its id before the response to each further
    /// one.
    fn script(self) -> impl Fn(&Turn) -> Vec<Step> + Send + Sync + 'static {
        move |turn| match turn.earlier.first() {
            None => vec![Step::Run, Step::text(success(&turn.id, "ok"))],
            Some(first) => self.run_and_repeat(turn, first),
        }
    }

    fn run_and_repeat(self, turn: &Turn, first: &str) -> Vec<Step> {
        vec![
            Step::Run,
            Step::Pause(self.delay_ms),
            Step::text(self.refusal(first)),
            Step::text(success(&turn.id, "ok")),
        ]
    }

    fn refusal(self, id: &str) -> String {
        refusal(self.status, self.has_id.then_some(id))
    }
}

async fn add(gateway: &TestGateway, server: &ScriptedServer) {
    let other = Backend::start("i-other", Behaviour::Serve).await;
    let ready = other.registration(RegistrationState::Ready, 1);
    gateway.store.register(Registration { id: server.id.clone(), addr: server.addr, ..ready });
    gateway
        .wait_until("the scripted server is known", || {
            gateway.shared.fleet().registry.server(&server.id).is_some()
        })
        .await;
}

async fn start(server: &ScriptedServer, sound: &[&Backend]) -> TestGateway {
    let gateway = TestGateway::with_servers(sound).await;
    add(&gateway, server).await;
    gateway
}

fn is_known(gateway: &TestGateway, server: &ScriptedServer) -> bool {
    gateway.shared.fleet().registry.server(&server.id).is_some()
}

/// Returns how often the attempt `id` arrived at a sound server, which runs each request.
fn sound_runs(sound: &Backend, id: &str) -> u32 {
    let received = sound.received();
    let is_own = |head: &str| common::header(head, "redwing-request-id") == id;
    received.iter().filter(|request| is_own(&request.head)).count() as u32
}

/// Guards against a promise for an order that runs, when no other server is there.
async fn order_that_runs_is_not_refused(repeat: Repeat) {
    let server = ScriptedServer::start("i-1", repeat.script()).await;
    let gateway = start(&server, &[]).await;
    assert_eq!(gateway.call(&post("first")).await.status, 200);
    let reply = gateway.call(&post("r1")).await;
    assert!(server.reused() > 0, "the kept connection was not used");
    assert_eq!(server.runs("r1"), 1, "{repeat:?}");
    assert!(!PROMISES.contains(&reply.status), "{repeat:?}: {}", reply.head);
    assert!(is_known(&gateway, &server), "{repeat:?}: the server was removed");
}

/// Guards against an order that runs at two servers, and against a promise for one that runs.
async fn order_runs_at_most_once(repeat: Repeat) {
    let server = ScriptedServer::start("i-1", repeat.script()).await;
    let sound = Backend::start("i-2", Behaviour::Serve).await;
    let gateway = start(&server, &[&sound]).await;
    for i in 0..REQUESTS {
        let id = format!("r{i}");
        let reply = gateway.call(&post(&id)).await;
        let runs = server.runs(&id) + sound_runs(&sound, &id);
        assert!(runs <= 1, "{repeat:?}: {id} ran {runs} times");
        assert!(runs == 0 || !PROMISES.contains(&reply.status), "{repeat:?}: {}", reply.head);
    }
    assert!(server.reused() > 0, "no kept connection was used");
}

/// Guards against a repeatable request that fails although another server would serve it.
async fn repeatable_request_is_served_elsewhere(repeat: Repeat) {
    let server = ScriptedServer::start("i-1", repeat.script()).await;
    let sound = Backend::start("i-2", Behaviour::Serve).await;
    let gateway = start(&server, &[&sound]).await;
    for i in 0..REQUESTS {
        let reply = gateway.call(&get("/free/1", &format!("r{i}"))).await;
        assert_eq!((reply.status, reply.body.as_slice()), (200, b"ok".as_slice()), "{repeat:?}");
    }
    assert!(server.reused() > 0, "no kept connection was used");
}

macro_rules! repeat_cases {
    ($($module:ident: $status:expr, $has_id:expr, $delay_ms:expr;)+) => {
        $(
            mod $module {
                use super::*;
                const REPEAT: Repeat =
                    Repeat { status: $status, has_id: $has_id, delay_ms: $delay_ms };
                #[tokio::test]
                async fn order_that_runs_is_not_refused() {
                    super::order_that_runs_is_not_refused(REPEAT).await;
                }
                #[tokio::test]
                async fn order_runs_at_most_once() {
                    super::order_runs_at_most_once(REPEAT).await;
                }
                #[tokio::test]
                async fn repeatable_request_is_served_elsewhere() {
                    super::repeatable_request_is_served_elsewhere(REPEAT).await;
                }
            }
        )+
    };
}

repeat_cases! {
    repeated_503_with_id: 503, true, 0;
    repeated_503_without_id: 503, false, 0;
    late_503_with_id: 503, true, 60;
    late_503_without_id: 503, false, 60;
    repeated_429_with_id: 429, true, 0;
    repeated_400_without_id: 400, false, 0;
    repeated_421_with_id: 421, true, 0;
    repeated_421_without_id: 421, false, 0;
}

/// Guards against a promise because of the refusal of an earlier send of the same attempt, which carries its id.
#[tokio::test]
async fn refusal_of_an_earlier_send_is_not_taken_for_that_of_the_second() {
    let repeat = Repeat { status: 503, has_id: true, delay_ms: 0 };
    let server = ScriptedServer::start("i-1", move |turn| match turn.earlier.first() {
        None => vec![Step::text(repeat.refusal(&turn.id))],
        Some(first) => repeat.run_and_repeat(turn, first),
    })
    .await;
    let gateway = start(&server, &[]).await;
    let reply = gateway.call(&post("r1")).await;
    assert_eq!(server.received("r1"), 2, "the order was not sent again");
    assert!(server.runs("r1") == 0 || !PROMISES.contains(&reply.status), "{}", reply.head);
}

/// Guards against removing a healthy server because of an older 421 that states nothing of the request.
#[tokio::test]
async fn unmarked_421_of_an_earlier_request_removes_no_server() {
    let server = ScriptedServer::start("i-1", |turn| match turn.earlier.first() {
        None => vec![Step::Run, Step::text(success(&turn.id, "ok"))],
        Some(_) => {
            vec![Step::Run, Step::text("HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n")]
        }
    })
    .await;
    let gateway = start(&server, &[]).await;
    assert_eq!(gateway.call(&post("first")).await.status, 200);
    let reply = gateway.call(&post("r1")).await;
    assert!(server.reused() > 0, "the kept connection was not used");
    assert_eq!(server.runs("r1"), 1);
    assert!(!PROMISES.contains(&reply.status), "{}", reply.head);
    assert!(is_known(&gateway, &server));
}

/// Guards against believing a refusal with the id of another attempt on a new connection.
#[tokio::test]
async fn foreign_refusal_on_a_new_connection_is_no_promise() {
    for status in [503, 421] {
        let server = ScriptedServer::start("i-1", move |_| {
            vec![Step::Run, Step::text(refusal(status, Some("another")))]
        })
        .await;
        let gateway = start(&server, &[]).await;
        let reply = gateway.call(&post("r1")).await;
        assert_eq!(server.runs("r1"), 1);
        assert!(!PROMISES.contains(&reply.status), "{}", reply.head);
        assert!(is_known(&gateway, &server));
    }
}

/// Guards against giving up requests whose own refusal arrives, with the id on any connection and without one on a new
/// connection.
#[tokio::test]
async fn own_refusal_is_believed() {
    for has_id in [true, false] {
        let served = Arc::new(AtomicUsize::new(0));
        let server = ScriptedServer::start("i-1", move |turn| {
            if has_id && served.fetch_add(1, Ordering::SeqCst) == 0 {
                return vec![Step::text(success(&turn.id, "ok"))];
            }
            let close = if has_id { vec![] } else { vec![Step::Close] };
            let text = Step::text(refusal(503, has_id.then_some(&*turn.id)));
            [vec![text], close].concat()
        })
        .await;
        let gateway = start(&server, &[]).await;
        if has_id {
            assert_eq!(gateway.call(&post("first")).await.status, 200);
        }
        let reply = gateway.call(&post("r1")).await;
        assert_eq!(reply.status, 503, "with an id: {has_id}");
        assert!(!common::header(&reply.head, "retry-after").is_empty());
    }
}

/// Guards against reusing a connection on which more bytes came than the refusal, at once or while it was idle.
#[tokio::test]
async fn bytes_behind_a_refusal_reach_no_request() {
    for delay_ms in [0, 20] {
        let server = ScriptedServer::start("i-1", move |turn| {
            if !turn.earlier.is_empty() {
                return vec![Step::Run, Step::text(success(&turn.id, "reused"))];
            }
            let refusal = refusal(503, Some(&turn.id));
            if delay_ms == 0 {
                return vec![Step::text(format!("{refusal}{refusal}"))];
            }
            vec![Step::text(refusal.clone()), Step::Pause(delay_ms), Step::text(refusal)]
        })
        .await;
        let sound = Backend::start("i-2", Behaviour::Serve).await;
        let gateway = start(&server, &[&sound]).await;
        for i in 0..20 {
            let reply = gateway.call(&post(&format!("r{i}"))).await;
            assert_eq!((reply.status, reply.body.as_slice()), (200, b"ok".as_slice()));
            tokio::time::sleep(Duration::from_millis(2 * delay_ms)).await;
        }
        assert_eq!(server.all_runs(), 0, "the connection was used again");
    }
}

/// Guards against an informational response that is taken for the response, or that hides an older refusal.
#[tokio::test]
async fn informational_responses_decide_nothing() {
    let interim = "HTTP/1.1 103 Early Hints\r\nredwing-shed: 1\r\n\r\n";
    let server = ScriptedServer::start("i-1", move |turn| match turn.earlier.first() {
        None => vec![Step::Run, Step::text(format!("{interim}{}", success(&turn.id, "ok")))],
        Some(first) => {
            vec![Step::Run, Step::text(format!("{interim}{}", refusal(503, Some(first))))]
        }
    })
    .await;
    let gateway = start(&server, &[]).await;
    assert_eq!(gateway.call(&post("r1")).await.status, 200);
    let reply = gateway.call(&post("r2")).await;
    assert_eq!(server.runs("r2"), 1);
    assert!(!PROMISES.contains(&reply.status), "{}", reply.head);
}

/// Guards against passing on a change of the protocol that nobody asked for.
#[tokio::test]
async fn switching_protocols_is_no_response() {
    let server = ScriptedServer::start("i-1", |turn| {
        let head = format!("HTTP/1.1 101 X\r\nredwing-request-id: {}\r\n", turn.id);
        vec![
            Step::Run,
            Step::text(head + "redwing-signature: s\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n"),
        ]
    })
    .await;
    let gateway = start(&server, &[]).await;
    let reply = gateway.call(&post("r1")).await;
    assert_eq!(reply.status, 502, "{}", reply.head);
}

/// The status lines of responses whose status is none of a final response, or that cannot be read.
const INVALID_STATUSES: [&str; 13] = [
    "HTTP/1.1 000 X",
    "HTTP/1.1 099 X",
    "HTTP/1.1 101 X",
    "HTTP/1.1 199 X\r\n\r\nHTTP/1.1 600 X",
    "HTTP/1.1 600 X",
    "HTTP/1.1 799 X",
    "HTTP/1.1 999 X",
    "HTTP/1.1 20 X",
    "HTTP/1.1 2000 X",
    "HTTP/1.1 +20 X",
    "HTTP/1.1 -20 X",
    "HTTP/1.1 2 0 X",
    "HTTP/1.1 20x X",
];

/// The further header lines of a response with an invalid status: none, a promise, the end of the server's work, and a
/// pause.
const FURTHER_LINES: [&str; 4] =
    ["", "redwing-shed: 1\r\n", "redwing-leaving: 1\r\n", "retry-after: 9\r\n"];

/// Returns the bytes of a response that has the id and the signature of a success.
fn with_status_line(line: &str, further: &str, id: &str) -> String {
    format!("{line}\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\n{further}content-length: 2\r\n\r\nok")
}

fn is_suspect(gateway: &TestGateway, server: &ScriptedServer) -> bool {
    let suspects = gateway.shared.fleet().registry.suspects(gateway.shared.now());
    suspects.iter().any(|(id, _)| *id == server.id)
}

/// Guards against a caller that gets a status that is none of HTTP's, against a promise for an order that ran, against a
/// server that counts as sound or as leaving by such a response, and against another request on its connection.
#[tokio::test]
async fn invalid_status_is_no_response() {
    let mut failed = Vec::new();
    for line in INVALID_STATUSES {
        for further in FURTHER_LINES {
            let server = ScriptedServer::start("i-1", move |turn| match turn.earlier.len() {
                0 if turn.id == "first" => vec![Step::text(success(&turn.id, "ok"))],
                _ => vec![Step::Run, Step::text(with_status_line(line, further, &turn.id))],
            })
            .await;
            let gateway = start(&server, &[]).await;
            assert_eq!(gateway.call(&post("first")).await.status, 200);
            let reply = gateway.call(&post("r1")).await;
            let now = gateway.shared.now();
            let usable = gateway.shared.fleet().registry.usable(now, &"orders".into()).len();
            let is_bad = is_suspect(&gateway, &server);
            let reused = server.reused();
            gateway.call(&post("r2")).await;
            let seen = (reply.status, server.runs("r1"), is_bad, usable, reused, server.reused());
            if seen != (502, 1, true, 1, 1, 1) {
                failed.push((line, further, seen));
            }
        }
    }
    assert!(failed.is_empty(), "{} cases: {failed:#?}", failed.len());
}

/// Guards against a repeatable request that ends with an invalid status although another server would serve it.
#[tokio::test]
async fn repeatable_request_with_invalid_status_is_served_elsewhere() {
    for line in INVALID_STATUSES {
        let server = ScriptedServer::start("i-1", move |turn| {
            vec![Step::text(with_status_line(line, "", &turn.id))]
        })
        .await;
        let sound = Backend::start("i-2", Behaviour::Serve).await;
        let gateway = start(&server, &[&sound]).await;
        for i in 0..REQUESTS {
            let reply = gateway.call(&get("/free/1", &format!("r{i}"))).await;
            assert_eq!((reply.status, reply.body.as_slice()), (200, b"ok".as_slice()), "{line}");
        }
    }
}

/// Guards against an informational response that counts as the response when no other follows, and against a promise
/// because of its headers.
#[tokio::test]
async fn informational_response_alone_is_no_response() {
    let interim = "HTTP/1.1 100 Continue\r\nredwing-shed: 1\r\n\r\n";
    for (end, expected) in [(Step::Close, 502), (Step::Reset, 502), (Step::Pause(1_000), 504)] {
        let last = end.clone();
        let server = ScriptedServer::start("i-1", move |_| {
            vec![Step::Run, Step::text(interim), Step::Pause(5), last.clone()]
        })
        .await;
        let gateway = start(&server, &[]).await;
        let reply = gateway.call(&post("r1").replace("/once/", "/short/")).await;
        assert_eq!((reply.status, server.runs("r1")), (expected, 1), "{end:?}");
    }
}

/// Guards against a connection that is used again after an informational response behind the response.
#[tokio::test]
async fn informational_response_after_the_last_closes_the_connection() {
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let server = ScriptedServer::start("i-1", move |turn| {
        vec![Step::Run, Step::text(success(&turn.id, "ok") + interim)]
    })
    .await;
    let gateway = start(&server, &[]).await;
    for i in 0..5 {
        assert_eq!(gateway.call(&post(&format!("r{i}"))).await.status, 200);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(server.reused(), 0);
}

/// The framings of a response with the body `ok`, as head and body.
fn framed(id: &str) -> [(String, &'static str); 3] {
    let head = format!("HTTP/1.1 200 OK\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\n");
    [
        (format!("{head}content-length: 2\r\n\r\n"), "ok"),
        (format!("{head}transfer-encoding: chunked\r\n\r\n"), "2\r\nok\r\n0\r\n\r\n"),
        (format!("{head}connection: close\r\n\r\n"), "ok"),
    ]
}

fn is_failure_without_promise(reply: &Reply) -> bool {
    reply.status >= 500 && !PROMISES.contains(&reply.status)
}

/// Guards against an order that is reported as served, or as not run, because of a part of a response's head.
async fn cut_head_of_an_order_is_a_failure(framing: usize, cut: Cut) {
    let length = Arc::new(AtomicUsize::new(0));
    let current = length.clone();
    let server = ScriptedServer::start("i-1", move |turn| {
        let head = framed(&turn.id)[framing].0.clone().into_bytes();
        let part = head[..current.load(Ordering::SeqCst)].to_vec();
        vec![Step::Run, Step::Write(part), Step::Pause(1), cut.step()]
    })
    .await;
    let gateway = start(&server, &[]).await;
    for part in 0..framed("r000")[framing].0.len() {
        length.store(part, Ordering::SeqCst);
        let id = format!("r{part:03}");
        let reply = gateway.call(&post(&id)).await;
        assert_eq!(server.received(&id), 1, "{part} bytes: {}", reply.head);
        assert!(is_failure_without_promise(&reply), "{part} bytes: {}", reply.head);
    }
}

/// Guards against a repeatable request that fails, or gets a part of a response, because a head was cut.
async fn cut_head_is_served_elsewhere(framing: usize, cut: Cut) {
    let length = Arc::new(AtomicUsize::new(0));
    let seen: Arc<Mutex<HashSet<String>>> = Arc::default();
    let mut servers = Vec::new();
    for name in ["i-1", "i-2"] {
        let (length, seen) = (length.clone(), seen.clone());
        let script = move |turn: &Turn| {
            if !seen.lock().unwrap().insert(turn.id.clone()) {
                return vec![Step::text(success(&turn.id, "ok"))];
            }
            let head = framed(&turn.id)[framing].0.clone().into_bytes();
            let part = head[..length.load(Ordering::SeqCst)].to_vec();
            vec![Step::Write(part), Step::Pause(1), cut.step()]
        };
        servers.push(ScriptedServer::start(name, script).await);
    }
    let parts: Vec<usize> = (0..framed("r000")[framing].0.len()).collect();
    // Each gateway gets few requests, as it gives up servers that fail all of them.
    for parts in parts.chunks(CUTS_PER_GATEWAY) {
        let gateway = TestGateway::with_servers(&[]).await;
        for server in &servers {
            add(&gateway, server).await;
        }
        for part in parts {
            length.store(*part, Ordering::SeqCst);
            let id = format!("r{part:03}");
            let reply = gateway.call(&get("/free/1", &id)).await;
            let arrivals: u32 = servers.iter().map(|server| server.received(&id)).sum();
            let answer = (reply.status, reply.body.as_slice());
            assert_eq!(answer, (200, b"ok".as_slice()), "{part} bytes");
            assert_eq!(arrivals, 2, "{part} bytes");
        }
    }
}

/// Guards against a body that looks whole because the connection broke in the middle of it.
async fn cut_body_is_a_failure(framing: usize, cut: Cut) {
    // The end of a body without a length is the end of the connection, so only a reset shows that it was cut.
    if framing == 2 && cut == Cut::Closed {
        return;
    }
    let length = Arc::new(AtomicUsize::new(0));
    let current = length.clone();
    let server = ScriptedServer::start("i-1", move |turn| {
        let (head, body) = framed(&turn.id)[framing].clone();
        let part = [head.as_bytes(), &body.as_bytes()[..current.load(Ordering::SeqCst)]].concat();
        vec![Step::Run, Step::Write(part), Step::Pause(5), cut.step()]
    })
    .await;
    let gateway = start(&server, &[]).await;
    let parts = framed("r000")[framing].1.len() + usize::from(framing == 2);
    for part in 0..parts {
        length.store(part, Ordering::SeqCst);
        let id = format!("r{part:03}");
        let reply = gateway.call(&post(&id)).await;
        assert_eq!(server.received(&id), 1, "{part} bytes: {}", reply.head);
        assert!(is_failure_without_promise(&reply), "{part} bytes: {}", reply.head);
    }
}

macro_rules! cut_cases {
    ($($module:ident: $framing:expr, $cut:expr;)+) => {
        $(
            mod $module {
                use super::*;
                #[tokio::test]
                async fn cut_head_of_an_order_is_a_failure() {
                    super::cut_head_of_an_order_is_a_failure($framing, $cut).await;
                }
                #[tokio::test]
                async fn cut_head_is_served_elsewhere() {
                    super::cut_head_is_served_elsewhere($framing, $cut).await;
                }
                #[tokio::test]
                async fn cut_body_is_a_failure() {
                    super::cut_body_is_a_failure($framing, $cut).await;
                }
            }
        )+
    };
}

cut_cases! {
    with_a_length_closed: 0, Cut::Closed;
    with_a_length_reset: 0, Cut::Reset;
    chunked_closed: 1, Cut::Closed;
    chunked_reset: 1, Cut::Reset;
    without_a_length_closed: 2, Cut::Closed;
    without_a_length_reset: 2, Cut::Reset;
}

/// Guards against bytes beyond the stated length that reach this caller or the next.
#[tokio::test]
async fn bytes_beyond_the_stated_length_reach_no_caller() {
    let server = ScriptedServer::start("i-1", |turn| {
        vec![Step::Run, Step::text(success(&turn.id, "ok") + "more than stated")]
    })
    .await;
    let gateway = start(&server, &[]).await;
    for i in 0..5 {
        let reply = gateway.call(&post(&format!("r{i}"))).await;
        assert_eq!((reply.status, reply.body.as_slice()), (200, b"ok".as_slice()));
    }
}

/// Guards against a server that is out of use for good because a late response from its former address removes it.
#[tokio::test]
async fn late_misdirected_response_does_not_remove_new_start() {
    let misdirected = "HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n";
    let former =
        ScriptedServer::start("i-1", move |_| vec![Step::Pause(300), Step::text(misdirected)])
            .await;
    let gateway = start(&former, &[]).await;
    let mut caller = Caller::connect(gateway.entry).await;
    caller.send(&post("r1")).await;
    gateway.wait_until("the address has the request", || former.received("r1") == 1).await;
    let server = Backend::start("i-1", Behaviour::Serve).await;
    let ready = server.registration(RegistrationState::Ready, 1);
    gateway.store.register(Registration { started: 2, ..ready });
    let is_known = || {
        let fleet = gateway.shared.fleet();
        fleet.registry.server(&server.id).is_some_and(|s| s.registration().addr == server.addr)
    };
    gateway.wait_until("the new start is known", is_known).await;
    caller.reply().await.expect("a response");
    assert!(is_known(), "the new start was removed");
    assert_eq!(gateway.call(&post("r2")).await.status, 200);
}
