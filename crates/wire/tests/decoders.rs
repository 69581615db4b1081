//! Feeds random input with fixed seeds to the decoders of everything received from a network.

use quickcheck::{Arbitrary, Gen};
use redwingtrestle_core::{
    ids::{NodeId, StartId},
    process::{burn::Report, ejections, heartbeat},
    version::config_state::{ConfigState, Record},
};
use redwingtrestle_wire::{
    burn::BurnReport,
    caller::EntriesReply,
    config::ConfigDoc,
    log::{ReadReply, RecordDoc, StateDoc, VmDoc},
    peer::Datagram,
    query::{CommandRequest, CommandResponse, QueryRequest, QueryResponse},
};
use serde_json::{json, Value};

/// Decodes a datagram and converts it like a node. Returns whether the bytes were a valid datagram.
fn decode_datagram(bytes: &[u8]) -> bool {
    let Ok(datagram) = Datagram::decode(bytes) else { return false };
    let node = NodeId { addr: ([127, 0, 0, 1], 7070).into(), start: StartId(1) };
    match datagram {
        Datagram::Heartbeat(h) => drop(heartbeat::Heartbeat::try_from(*h)),
        Datagram::Announcement(a) => drop(ejections::Announcement::try_from(a)),
        Datagram::SlotLease(g) => drop(g.to_lease(node, &[])),
        Datagram::Evidence(evidence) => {
            for e in &evidence.services {
                let interval = e.to_evidence(evidence.node, evidence.sent, Some(&[]));
                let report = e.to_demand_report(evidence.node, evidence.sent, &[]);
                drop((interval, report));
            }
        }
    }
    true
}

/// Guards against a malformed datagram that panics the receiving thread.
#[test]
fn random_datagrams_never_panic() {
    let mut gen = Gen::from_size_and_seed(300, 0xda7a);
    let mut decoded = 0;
    for _ in 0..50_000 {
        let mut bytes = Vec::<u8>::arbitrary(&mut gen);
        decode_datagram(&bytes);
        // With the right protocol version and only small numbers, the first lengths and tags are often valid.
        bytes.iter_mut().for_each(|b| *b %= 4);
        bytes.insert(0, 1);
        decoded += u32::from(decode_datagram(&bytes));
    }
    assert!(decoded > 0, "no random datagram was decoded, so no conversion was tried");
}

fn config() -> Value {
    json!({
        "services": { "orders": {
            "servers": [{ "addr": "10.0.0.7:8080", "data_centre": "a", "slots": 6, "connections": 9 }],
            "floor": 6, "cold_start_ms": 1,
            "ranks": [{ "name": "urgent", "share": 50, "target_ms": 250, "objective": 990 }]
        }},
        "routes": [{ "path": "/a", "service": "orders", "rank": "urgent", "deadline_ms": 5 }],
        "drains": { "servers": [], "vms": ["10.0.0.7"], "data_centres": ["a"] }
    })
}

/// Replaces a random part of a document by a random value.
fn replace_random_part(value: &mut Value, gen: &mut Gen) {
    let children: Vec<&mut Value> = match value {
        Value::Object(members) => members.values_mut().collect(),
        Value::Array(elements) => elements.iter_mut().collect(),
        _ => Vec::new(),
    };
    let i = usize::arbitrary(gen) % (children.len() + 1);
    if let Some(child) = children.into_iter().nth(i) {
        return replace_random_part(child, gen);
    }
    let number = *gen.choose(&[0, 1, u64::from(u32::MAX), u64::MAX]).expect("a number");
    let text = String::arbitrary(gen);
    let choices = [json!(number), json!(text), json!([]), json!({}), json!(null), json!(-1.5)];
    *value = gen.choose(&choices).expect("a value").clone();
}

fn check_config(doc: &ConfigDoc) {
    let _ = doc.faults();
    let _ = doc.clone().into_checked();
}

/// Decodes a document as each type that a node or `redwingctl` receives.
fn decode_json(bytes: &[u8]) {
    let _ = serde_json::from_slice::<ConfigDoc>(bytes).map(|doc| check_config(&doc));
    let _ = serde_json::from_slice::<RecordDoc>(bytes).map(|doc| drop(Record::try_from(doc)));
    let _ = serde_json::from_slice::<StateDoc>(bytes).map(|doc| drop(ConfigState::try_from(doc)));
    let _ = serde_json::from_slice::<BurnReport>(bytes).map(|r| drop(Report::try_from(&r)));
    let _ = serde_json::from_slice::<ReadReply>(bytes)
        .map(|r| r.records.iter().for_each(|record| drop(record.to_record())));
    let _ = serde_json::from_slice::<Vec<VmDoc>>(bytes);
    let _ = serde_json::from_slice::<EntriesReply>(bytes);
    let _ = serde_json::from_slice::<QueryRequest>(bytes);
    let _ = serde_json::from_slice::<CommandRequest>(bytes);
    let _ = serde_json::from_slice::<CommandResponse>(bytes);
    let _ = serde_json::from_slice::<QueryResponse>(bytes);
}

/// Guards against a document from the log, a node or an operator that panics a thread, for example because the sum
/// of its numbers overflows.
#[test]
fn random_documents_never_panic() {
    let mut gen = Gen::from_size_and_seed(60, 0x150);
    let id = "0".repeat(32);
    let documents = [
        config(),
        json!({ "type": "config_proposed", "request_id": id, "base": 1, "config": config() }),
        json!({ "first": 1, "next": 2, "records": [{ "offset": 1, "record": { "config": config() } }] }),
        json!({ "command": { "change": "publish", "doc": config() }, "base": 1,
            "request_id": id, "dry_run": false }),
        json!({ "version": 1, "rows": [{ "service": "a", "rank": "b", "target_us": 1,
            "objective": 990, "budget_left": 1.0, "windows": [], "alerts": [] }] }),
    ];
    for _ in 0..20_000 {
        decode_json(&Vec::<u8>::arbitrary(&mut gen));
        let mut document = gen.choose(&documents).expect("a document").clone();
        for _ in 0..=u8::arbitrary(&mut gen) % 3 {
            replace_random_part(&mut document, &mut gen);
        }
        decode_json(document.to_string().as_bytes());
    }
    let mut large = config();
    let servers = &mut large["services"]["orders"]["servers"];
    *servers = json!((1..3)
        .map(|i| json!({ "addr": format!("10.0.0.{i}:1"), "data_centre": "a",
            "slots": u32::MAX, "connections": 9 }))
        .collect::<Vec<_>>());
    large["services"]["orders"]["ranks"][0]["target_ms"] = json!(u64::MAX);
    let doc: ConfigDoc = serde_json::from_value(large).expect("a document");
    assert!(doc.faults().iter().any(|f| f.contains("32 bits")), "{:?}", doc.faults());
}
