//! Transfer of a leaving node's idempotency store to its successor, by JSON-RPC on the peer port.
//!
//! A store of 200,000 keys and 96 MB of responses exceeds the size limit of one call, so it is sent in parts. Each
//! call carries the keys as postcard in base64, because responses as JSON arrays of numbers would take four times
//! their size.

use crate::error::{Error, Result};
use base64::{engine::general_purpose::STANDARD, Engine};
use redwingtrestle_core::{
    codes::{Outcome, ResultCode},
    ids::{NodeId, StartId},
    request::{
        handover::{Handover, KeyOutcome, SavedGeneration, SavedKey, SavedSeal},
        idempotency_store::StoredResponse,
        key::{KeyPrefix, RequestKey},
    },
    time::Span,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// The JSON-RPC method with which a leaving node sends its idempotency store to its successor.
pub const METHOD: &str = "ledger.handover";

/// One part of a handover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverCall {
    /// The leaving node.
    pub node: NodeId,
    /// The successor's entry address.
    #[serde(rename = "heir")]
    pub successor: SocketAddr,
    /// The successor's start id.
    #[serde(rename = "heir_start")]
    pub successor_start: StartId,
    /// Number of the part, from 0. Part 0 contains no keys and asks whether the successor accepts the handover.
    pub part: u32,
    /// Whether this is the last part.
    pub last: bool,
    /// The generations, encoded in postcard and then base64.
    pub body: String,
}

impl HandoverCall {
    /// Encodes one part.
    pub fn new(node: NodeId, part: u32, last: bool, handover: &Handover) -> Result<Self> {
        let generations: Vec<_> = handover.generations.iter().map(Generation::from).collect();
        let bytes = postcard::to_stdvec(&generations).map_err(|e| handover_error(e.to_string()))?;
        Ok(HandoverCall {
            node,
            successor: handover.successor,
            successor_start: handover.successor_start,
            part,
            last,
            body: STANDARD.encode(bytes),
        })
    }
}

impl TryFrom<&HandoverCall> for Handover {
    type Error = Error;

    fn try_from(call: &HandoverCall) -> Result<Self> {
        let bytes = STANDARD.decode(&call.body).map_err(|e| handover_error(e.to_string()))?;
        let generations: Vec<Generation> =
            postcard::from_bytes(&bytes).map_err(|e| handover_error(e.to_string()))?;
        let generations = generations.into_iter().map(SavedGeneration::try_from);
        Ok(Handover {
            successor: call.successor,
            successor_start: call.successor_start,
            generations: generations.collect::<Result<_>>()?,
        })
    }
}

/// The wire form of `handover::SavedGeneration`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Generation {
    home: SocketAddr,
    start: StartId,
    number: u64,
    remaining_ms: u64,
    keys: Vec<Key>,
    /// Hash, fingerprint and attempt of each sealed key.
    seals: Vec<(u64, u32, u32)>,
    seals_void: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Key {
    caller: Arc<str>,
    fingerprint: u64,
    outcome: KeyOutcomeDoc,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum KeyOutcomeDoc {
    Response { status: u16, headers: Vec<(String, Vec<u8>)>, body: Option<Vec<u8>> },
    Unknown(u16),
}

impl From<&SavedGeneration> for Generation {
    fn from(g: &SavedGeneration) -> Self {
        Generation {
            home: g.prefix.home(),
            start: g.prefix.start(),
            number: g.prefix.generation(),
            remaining_ms: g.remaining.as_millis(),
            keys: g.keys.iter().map(Key::from).collect(),
            seals: g.seals.iter().map(|s| (s.hash, s.fingerprint, s.attempt)).collect(),
            seals_void: g.seals_void,
        }
    }
}

impl TryFrom<Generation> for SavedGeneration {
    type Error = Error;

    fn try_from(g: Generation) -> Result<Self> {
        let prefix = KeyPrefix::new(g.home, g.start, g.number);
        let seal = |(hash, fingerprint, attempt)| SavedSeal { hash, fingerprint, attempt };
        let mut keys = Vec::with_capacity(g.keys.len());
        for key in g.keys {
            // Rejects keys that no caller can send, since no request would ever look them up.
            RequestKey::new(prefix, &key.caller).map_err(|e| handover_error(e.to_string()))?;
            keys.push(SavedKey::try_from(key)?);
        }
        Ok(SavedGeneration {
            prefix,
            remaining: Span::from_millis(g.remaining_ms),
            keys,
            seals: g.seals.into_iter().map(seal).collect(),
            seals_void: g.seals_void,
        })
    }
}

impl From<&SavedKey> for Key {
    fn from(k: &SavedKey) -> Self {
        let outcome = match &k.outcome {
            KeyOutcome::Response(response) => KeyOutcomeDoc::Response {
                status: response.status,
                headers: response.headers.clone(),
                body: response.body.clone(),
            },
            KeyOutcome::Unknown(code) => KeyOutcomeDoc::Unknown(code.number()),
        };
        Key { caller: k.caller.clone(), fingerprint: k.fingerprint, outcome }
    }
}

impl TryFrom<Key> for SavedKey {
    type Error = Error;

    fn try_from(k: Key) -> Result<Self> {
        let outcome = match k.outcome {
            KeyOutcomeDoc::Response { status, headers, body } => {
                KeyOutcome::Response(Arc::new(StoredResponse { status, headers, body }))
            }
            KeyOutcomeDoc::Unknown(number) => match ResultCode::from_number(number) {
                Some(code) if code.outcome() == Outcome::Unknown => KeyOutcome::Unknown(code),
                _ => {
                    return Err(handover_error(format!(
                        "code {number} does not leave a key unknown"
                    )))
                }
            },
        };
        Ok(SavedKey { caller: k.caller, fingerprint: k.fingerprint, outcome })
    }
}

fn handover_error(what: impl Into<String>) -> Error {
    Error::handover(what)
}
