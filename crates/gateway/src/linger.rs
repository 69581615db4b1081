//! The end of a caller's connection. A socket that is closed while bytes of the caller are unread resets the connection,
//! and the reset destroys what the caller has not received yet of its last reply.

use crate::clock::duration;
use redwingtrestle_core::time::Span;
use tokio::{
    io::{AsyncWriteExt, Interest},
    net::TcpStream,
};

/// A connection is closed without its caller this long after its last reply was written.
const LINGER_TIME: Span = Span::from_millis(1_000);

/// How often a connection with unread bytes is checked for its caller's close.
const CHECK_INTERVAL: Span = Span::from_millis(20);

/// Ends the sending direction, and waits for the caller to close the connection. `idle` is the time since the last reply
/// was written.
///
/// Nothing more is read: a caller may send a request again if it was not read.
pub(crate) async fn linger(mut socket: TcpStream, idle: Span) {
    if socket.shutdown().await.is_ok() {
        let wait = duration(LINGER_TIME - idle);
        // Without the caller's close, the connection is closed after the wait.
        let _ = tokio::time::timeout(wait, wait_for_caller(&socket)).await;
    }
}

/// Returns when the caller has closed or reset the connection.
async fn wait_for_caller(socket: &TcpStream) {
    while socket.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        tokio::time::sleep(duration(CHECK_INTERVAL)).await;
    }
}
