//! Encoding of an idempotency store that is handed over to a successor.

use redwingtrestle_core::{
    codes::ResultCode,
    ids::{NodeId, StartId},
    request::{
        handover::{Handover, KeyOutcome, SavedGeneration, SavedKey, SavedSeal},
        idempotency_store::StoredResponse,
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
                    _ => KeyOutcome::Response(Arc::new(StoredResponse {
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

/// Guards against losing a key, a seal or the flag for void seals when a store is split into parts.
#[test]
fn split_store_is_joined_without_loss() {
    let whole = handover(ResultCode::ServerLost);
    for bytes in [1, 700, 1 << 20] {
        let parts = whole.clone().split(bytes);
        assert!(bytes > 700 || parts.len() > 20, "{} parts of {bytes} bytes", parts.len());
        let mut joined = Handover { generations: vec![], ..whole.clone() };
        for (part, number) in parts.iter().zip(1..) {
            let call = HandoverCall::new(NODE, number, false, part).unwrap();
            let text = serde_json::to_string(&call).unwrap();
            let received: HandoverCall = serde_json::from_str(&text).unwrap();
            joined.join(Handover::try_from(&received).unwrap());
        }
        assert!(joined == whole, "parts of {bytes} bytes differ from the whole");
    }
}

/// Guards against a part with which the successor would report `not_run` for a key that may have run, and against a
/// panic on a malformed body.
#[test]
fn part_with_a_not_run_code_is_rejected() {
    let call = HandoverCall::new(NODE, 1, true, &handover(ResultCode::KeySealed)).unwrap();
    assert!(Handover::try_from(&call).is_err());
    for body in ["", "!", "AAAA", "/////w8="] {
        let _ = Handover::try_from(&HandoverCall { body: body.into(), ..call.clone() });
    }
}
