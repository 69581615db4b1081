//! Servers that write an earlier response once more, or no id, with the node in a process of its own.

mod common;

use common::Fleet;
use redwingtrestle_fakes::backend::{BackendOptions, Fault};
use redwingtrestle_wire::caller;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The message of the log line about a server whose responses carry no id.
const NO_ID_LINE: &str = "responses of a backend server do not prove which request they belong to";

/// The outcome, the code, and the body of a response as its caller saw it.
#[derive(Debug)]
struct Reply {
    status: u16,
    outcome: String,
    code: u16,
    body: String,
}

async fn send(request: reqwest::RequestBuilder) -> Reply {
    let response = request.send().await.expect("the node responds");
    let text = |name| response.headers().get(name).map_or("0", |v| v.to_str().unwrap()).to_string();
    let (outcome, code) = (text(caller::OUTCOME), text(caller::RESULT_CODE).parse().unwrap());
    let status = response.status().as_u16();
    Reply { status, outcome, code, body: response.text().await.unwrap_or_default() }
}

async fn send_order(fleet: &Fleet, key: &str) -> Reply {
    send_order_through(fleet, 0, key).await
}

async fn send_order_through(fleet: &Fleet, node: usize, key: &str) -> Reply {
    let request = fleet.client.post(fleet.nodes[node].url("/orders")).body("20 red maple whips");
    // Callers may use one id for several requests, so the id of the caller proves nothing.
    let request = request.header(caller::REQUEST_ID, "order-desk");
    send(request.header(caller::IDEMPOTENCY_KEY, key).header(caller::ATTEMPT, 1)).await
}

async fn get_stock(fleet: &Fleet, number: usize) -> Reply {
    let url = fleet.nodes[0].url(&format!("/stock/{number}"));
    send(fleet.client.get(url).header(caller::REQUEST_ID, "crew")).await
}

async fn start_fleet(servers: usize, echoes_id: bool) -> Fleet {
    let service_time = Duration::from_millis(2);
    let options = BackendOptions { service_time, echoes_id, ..BackendOptions::default() };
    Fleet::start(1, servers, options).await
}

/// Sends orders one after another and checks that what their callers are told is true. Returns how many are told each
/// outcome: `ran`, `not_run`, `unknown`.
async fn send_orders(fleet: &Fleet, count: usize) -> [usize; 3] {
    let mut counts = [0; 3];
    for i in 0..count {
        let key = format!("{}.{i}", fleet.entries(0).await.key_prefix);
        let reply = send_order(fleet, &key).await;
        let runs = fleet.runs(&key);
        assert!(runs <= 1, "order {i} ran {runs} times: {reply:?}");
        let outcome = ["ran", "not_run", "unknown"].iter().position(|o| *o == reply.outcome);
        assert!(reply.outcome != "ran" || runs == 1, "order {i}: {runs} runs, {reply:?}");
        assert!(reply.outcome != "not_run" || runs == 0, "order {i}: {runs} runs, {reply:?}");
        counts[outcome.expect("an outcome")] += 1;
    }
    counts
}

/// Guards against an order that runs twice because its server wrote an earlier refusal once more.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_refusal_leads_to_no_second_run() {
    let fleet = start_fleet(2, true).await;
    fleet.servers[0].set_fault(Fault::RepeatShed);
    let counts = send_orders(&fleet, 30).await;
    let repeated = fleet.servers[0].counters().ran;
    println!("ran, not run, unknown: {counts:?}; {repeated} refusals were repeated");
    assert!(repeated > 0, "no refusal was repeated");
    assert!(counts[0] > 0 && counts[2] > 0, "{counts:?}");
}

/// Guards against `not_run`, and a second run at the same server, after the refusal of the send before.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_refusal_of_the_send_before_is_not_believed() {
    let fleet = start_fleet(1, true).await;
    fleet.servers[0].set_fault(Fault::RepeatShed);
    let counts = send_orders(&fleet, 6).await;
    println!("ran, not run, unknown: {counts:?}");
    assert!(fleet.servers[0].counters().ran > 0, "no refusal was repeated");
}

/// Guards against a caller that gets the response to another request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeated_response_reaches_no_other_caller() {
    let fleet = start_fleet(1, true).await;
    fleet.servers[0].set_fault(Fault::RepeatAnswer);
    for i in 0..8 {
        let reply = get_stock(&fleet, i).await;
        let path = format!("{{\"path\":\"/stock/{i}\",");
        assert!(reply.status == 200 && reply.body.starts_with(&path), "{i}: {reply:?}");
    }
    let fleet = start_fleet(1, true).await;
    fleet.servers[0].set_fault(Fault::RepeatAnswer);
    let counts = send_orders(&fleet, 8).await;
    println!("ran, not run, unknown: {counts:?}");
    assert!(counts[0] > 0 && counts[2] > 0, "{counts:?}");
}

/// Guards against a server of an older version, which writes no id, that gets no work or whose refusals are not believed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_without_ids_is_used_and_its_refusals_are_believed() {
    let fleet = start_fleet(2, false).await;
    fleet.servers[0].set_fault(Fault::ShedAll);
    // The retry budget allows 3 retries.
    assert_eq!(send_orders(&fleet, 3).await, [3, 0, 0]);
    fleet.servers[0].set_fault(Fault::None);
    for i in 0..20 {
        assert_eq!(get_stock(&fleet, i).await.status, 200);
    }
    assert!(fleet.servers.iter().all(|s| s.counters().ran > 0), "a server gets no work");
    let lines = fleet.nodes[0].log_lines(NO_ID_LINE);
    assert_eq!(lines.len(), 2, "one line for each server: {lines:?}");
    fleet.servers.iter().for_each(|s| s.set_fault(Fault::ShedAll));
    let key = format!("{}.refused", fleet.entries(0).await.key_prefix);
    let refused = send_order(&fleet, &key).await;
    assert_eq!((refused.outcome.as_str(), refused.code), ("not_run", 2005), "{refused:?}");
    assert_eq!(fleet.runs(&key), 0);
}

/// Guards against a repeated refusal or response of a server that writes no id.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_without_ids_repeats_nothing_for_another_request() {
    let fleet = start_fleet(2, false).await;
    fleet.servers[0].set_fault(Fault::RepeatShed);
    fleet.servers[1].set_fault(Fault::RepeatAnswer);
    send_orders(&fleet, 12).await;
    for i in 0..12 {
        let reply = get_stock(&fleet, i).await;
        let path = format!("{{\"path\":\"/stock/{i}\",");
        assert!(reply.status != 200 || reply.body.starts_with(&path), "{i}: {reply:?}");
    }
}

/// Guards against an outcome told by another program at the address of a node that is gone, such as a refusal of an
/// earlier request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_of_a_program_in_place_of_the_home_is_not_believed() {
    let mut fleet = Fleet::start(2, 1, BackendOptions::default()).await;
    let key = format!("{}.a", fleet.entries(0).await.key_prefix);
    fleet.nodes[0].signal("KILL");
    fleet.nodes[0].wait_for_exit().await;
    let listener =
        tokio::net::TcpListener::bind(fleet.nodes[0].entry).await.expect("the address is free");
    let program = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a connection");
        let mut request = [0; 4096];
        let count = socket.read(&mut request).await.expect("a request");
        let (id, outcome, code) = (caller::REQUEST_ID, caller::OUTCOME, caller::RESULT_CODE);
        let refusal = format!(
            "HTTP/1.1 503 X\r\n{id}: earlier\r\n{outcome}: not_run\r\n{code}: 2005\r\ncontent-length: 2\r\n\r\n{{}}"
        );
        socket.write_all(refusal.as_bytes()).await.expect("the refusal is written");
        count
    });
    let reply = send_order_through(&fleet, 1, &key).await;
    assert!(program.await.expect("the program ends") > 0, "no request was forwarded");
    assert_eq!((reply.outcome.as_str(), reply.code), ("unknown", 3004), "{reply:?}");
}
