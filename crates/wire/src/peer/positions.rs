//! The numbers by which datagrams identify servers.

use redwingtrestle_core::ids::ServerAddr;

/// Returns the position by which datagrams identify a server within its service.
pub(super) fn position(servers: &[ServerAddr], server: ServerAddr) -> Option<u16> {
    servers.iter().position(|s| *s == server).and_then(|i| u16::try_from(i).ok())
}

/// Returns the server at a position, if the service has that many.
pub(super) fn server_at(servers: &[ServerAddr], position: u16) -> Option<ServerAddr> {
    servers.get(usize::from(position)).copied()
}
