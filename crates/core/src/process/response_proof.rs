//! Which responses of a backend server provably belong to the request they arrived for (docs/design.md, section 3.1).

use crate::{
    ids::ServerAddr,
    time::{Span, Timestamp},
};
use std::collections::HashMap;

/// A server whose responses did not prove their request gets new connections only for this long. A server that was
/// replaced by one that echoes ids is thus found within minutes, and one that echoes only at times costs few requests.
pub const DISTRUST_TIME: Span = Span::from_secs(300);

/// The connection on which a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Connection {
    /// One that may have carried earlier requests, so that an earlier response can arrive on it.
    Kept,
    /// One that carries this request only.
    New,
}

/// The request id of a response, compared with that of the send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Echo {
    /// It is the id of the send.
    Own,
    /// It is another id, or there are several.
    Other,
    /// The response has no id.
    Missing,
}

/// What follows from the id of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// Whether the response belongs to the request. Any other one says nothing about it.
    pub is_own: bool,
    /// Whether the server has just lost the node's trust, which is worth a line in the log.
    pub is_new_distrust: bool,
}

#[derive(Clone, Copy, Debug)]
enum Trust {
    Echoes,
    DistrustedSince(Timestamp),
}

/// What this process has seen of the ids in the responses of servers.
///
/// A server that echoes the ids of its requests gets kept connections, where only the id proves anything. Every other
/// server gets a new connection for each request, where nothing of an earlier request can arrive, so that servers that
/// echo nothing stay usable.
#[derive(Clone, Debug, Default)]
pub struct ResponseProof {
    servers: HashMap<ServerAddr, Trust>,
}

impl ResponseProof {
    /// Returns the connection on which a request to `server` is sent.
    pub fn connection(&self, server: ServerAddr) -> Connection {
        match self.servers.get(&server) {
            Some(Trust::Echoes) => Connection::Kept,
            _ => Connection::New,
        }
    }

    /// Records the id of a response and decides whether the response belongs to the request.
    pub fn judge(
        &mut self,
        now: Timestamp,
        server: ServerAddr,
        connection: Connection,
        echo: Echo,
    ) -> Verdict {
        let is_own =
            matches!((connection, echo), (_, Echo::Own) | (Connection::New, Echo::Missing));
        let was_distrusted = matches!(self.servers.get(&server), Some(Trust::DistrustedSince(_)));
        match (echo, self.servers.get(&server)) {
            (Echo::Own, Some(Trust::DistrustedSince(since)))
                if now.since(*since) < DISTRUST_TIME => {}
            (Echo::Own, _) => {
                self.servers.insert(server, Trust::Echoes);
            }
            (Echo::Other | Echo::Missing, _) => {
                self.servers.insert(server, Trust::DistrustedSince(now));
            }
        }
        Verdict { is_own, is_new_distrust: echo != Echo::Own && !was_distrusted }
    }

    /// Records a malformed response. Neither it nor anything that follows on its connection proves anything.
    pub fn distrust(&mut self, now: Timestamp, server: ServerAddr) {
        self.servers.insert(server, Trust::DistrustedSince(now));
    }

    /// Forgets the servers that `is_listed` does not return `true` for.
    pub fn retain(&mut self, is_listed: impl Fn(ServerAddr) -> bool) {
        self.servers.retain(|server, _| is_listed(*server));
    }
}
