//! An idempotency store on its way to its successor.

use redwingtrestle_core::{
    codes::ResultCode,
    ids::{NodeId, StartId},
    request::{
        handover::{Handover, KeyOutcome, SavedGeneration, SavedKey, SavedSeal},
        idempotency_store::StoredAnswer,
        key::KeyPrefix,
    },
    time::Span,
};
use redwingtrestle_wire::handover::HandoverCall;
use std::{net::SocketAddr, sync::Arc};

const NODE: NodeId = NodeId {
    addr: SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 7),
    start: StartId(9),
};

fn handover(code: ResultCode) -> Handover {
    let generation = |number| SavedGeneration {
        prefix: KeyPrefix::new(NODE.addr, NODE.start, number),
        remaining: Span::from_secs(500),
        keys: (0..40)
            .map(|i: u64| SavedKey {
                caller: Arc::from(format!("k{i}")),
                fingerprint: u64::MAX - i,
                outcome: match i % 2 {
                    0 => KeyOutcome::Unknown(code),
                    _ => KeyOutcome::Answered(Arc::new(StoredAnswer {
                        status: 201,
                        headers: vec![("etag".into(), vec![0xff, 0])],
                        body: (i > 10).then(|| vec![7; i as usize * 10]),
                    })),
                },
            })
            .collect(),
        seals: (0..90).map(|i| SavedSeal { hash: i, fingerprint: 5, attempt: 3 }).collect(),
        seals_void: number == 1,
    };
    let generations = (0..3).map(generation).collect();
    Handover { successor: NODE.addr, successor_start: StartId(u64::MAX), generations }
}

/// Guards against a key, a seal or the mark of void seals that is lost between two parts.
#[test]
fn split_store_arrives_whole() {
    let whole = handover(ResultCode::ServerLost);
    for bytes in [1, 700, 1 << 20] {
        let parts = whole.clone().split(bytes);
        assert!(bytes > 700 || parts.len() > 20, "{} parts of {bytes} bytes", parts.len());
        let mut joined = Handover { generations: vec![], ..whole.clone() };
        for (part, number) in parts.iter().zip(1..) {
            let call = HandoverCall::new(NODE, number, false, part).unwrap();
            let text = serde_json::to_string(&call).unwrap();
            let heard: HandoverCall = serde_json::from_str(&text).unwrap();
            joined.join(Handover::try_from(&heard).unwrap());
        }
        assert!(joined == whole, "parts of {bytes} bytes differ from the whole");
    }
}

/// Guards against a part that would make the successor tell `not_run` for a key that may have run, and against a
/// panic by arbitrary text.
#[test]
fn part_that_promises_too_much_is_refused() {
    let call = HandoverCall::new(NODE, 1, true, &handover(ResultCode::KeySealed)).unwrap();
    assert!(Handover::try_from(&call).is_err());
    for body in ["", "!", "AAAA", "/////w8="] {
        let _ = Handover::try_from(&HandoverCall { body: body.into(), ..call.clone() });
    }
}
