//! Which responses prove that they belong to their request, and the connections that servers get.

use redwingtrestle_core::{
    cases,
    ids::ServerAddr,
    process::response_proof::{Connection, Echo, ResponseProof, Verdict, DISTRUST_TIME},
    time::{Span, Timestamp},
};

const NOW: Timestamp = Timestamp::ZERO;

fn server(port: u16) -> ServerAddr {
    ServerAddr(([10, 0, 0, 1], port).into())
}

/// Returns whether a response is taken for the request's own.
fn is_own((connection, echo): (Connection, Echo)) -> bool {
    ResponseProof::default().judge(NOW, server(1), connection, echo).is_own
}

cases! {
    is_own;
    own_id_on_kept_connection: (Connection::Kept, Echo::Own) => true,
    /// Guards against an earlier response that is written once more.
    other_id_on_kept_connection: (Connection::Kept, Echo::Other) => false,
    /// Guards against an earlier response without an id.
    missing_id_on_kept_connection: (Connection::Kept, Echo::Missing) => false,
    own_id_on_new_connection: (Connection::New, Echo::Own) => true,
    other_id_on_new_connection: (Connection::New, Echo::Other) => false,
    /// Guards against servers of an older version that get no work.
    missing_id_on_new_connection: (Connection::New, Echo::Missing) => true,
}

/// Returns the connection for the next request after responses with these ids, each so many milliseconds after the start.
fn next_connection(echoes: &[(u64, Echo)]) -> Connection {
    let mut proof = ResponseProof::default();
    for (millis, echo) in echoes {
        let connection = proof.connection(server(1));
        proof.judge(NOW + Span::from_millis(*millis), server(1), connection, *echo);
    }
    assert_eq!(proof.connection(server(2)), Connection::New, "another server");
    proof.connection(server(1))
}

cases! {
    next_connection;
    /// Guards against a kept connection to a server that may not echo ids.
    first_request: &[] => Connection::New,
    server_that_echoes: &[(0, Echo::Own)] => Connection::Kept,
    /// Guards against more requests on a connection on which an earlier response arrived.
    earlier_response: &[(0, Echo::Own), (1, Echo::Other)] => Connection::New,
    server_that_echoes_no_more: &[(0, Echo::Own), (1, Echo::Missing)] => Connection::New,
    /// Guards against trust in a server that echoes ids only in some responses.
    server_that_echoes_at_times: &[(0, Echo::Missing), (299_999, Echo::Own)] => Connection::New,
    /// Guards against new connections for good after a server was replaced by one that echoes ids.
    server_that_echoes_again: &[(0, Echo::Missing), (300_000, Echo::Own)] => Connection::Kept,
    last_missing_id_counts: &[(0, Echo::Missing), (1_000, Echo::Missing), (300_000, Echo::Own)] => Connection::New,
}

/// Guards against more requests on a connection on which a malformed response arrived.
#[test]
fn server_with_a_malformed_response_gets_new_connections() {
    let mut proof = ResponseProof::default();
    proof.judge(NOW, server(1), Connection::New, Echo::Own);
    proof.distrust(NOW, server(1));
    proof.judge(NOW + Span::from_millis(1), server(1), Connection::New, Echo::Own);
    assert_eq!(proof.connection(server(1)), Connection::New);
}

/// Guards against a log line for each response of a server that echoes nothing, and against servers that are never
/// forgotten.
#[test]
fn distrust_is_reported_once_and_forgotten_with_the_server() {
    let mut proof = ResponseProof::default();
    let mut judge = |echo| {
        let Verdict { is_new_distrust, .. } = proof.judge(NOW, server(1), Connection::New, echo);
        is_new_distrust
    };
    let reported = [Echo::Missing, Echo::Missing, Echo::Own, Echo::Other].map(&mut judge);
    assert_eq!(reported, [true, false, false, false]);
    proof.judge(NOW + DISTRUST_TIME, server(1), Connection::New, Echo::Own);
    proof.retain(|s| s != server(1));
    assert_eq!(proof.connection(server(1)), Connection::New);
}
