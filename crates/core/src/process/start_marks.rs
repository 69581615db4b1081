//! Times that a node keeps for single starts of servers.

use crate::{
    ids::ServiceName,
    process::registration::{Registration, ServerId},
    time::Timestamp,
};
use std::{collections::HashMap, net::SocketAddr};

/// One start of a server. A server that returns under the same id with a later start, another address or another
/// service is a new one, which what its predecessor said does not bind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerStart {
    /// The id of the registration.
    pub id: ServerId,
    addr: SocketAddr,
    service: ServiceName,
    started: u64,
}

impl From<&Registration> for ServerStart {
    fn from(registration: &Registration) -> Self {
        ServerStart {
            id: registration.id.clone(),
            addr: registration.addr,
            service: registration.service.clone(),
            started: registration.started,
        }
    }
}

impl ServerStart {
    /// Returns the address that the server listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the start time in Unix milliseconds, 0 if unknown.
    pub fn started(&self) -> u64 {
        self.started
    }

    fn matches(&self, registration: &Registration) -> bool {
        self.started == registration.started
            && self.addr == registration.addr
            && self.service == registration.service
    }
}

/// A time for each marked start. The marks outlive the registry's entries, so that a server which is removed and
/// inserted again keeps its mark.
#[derive(Clone, Debug, Default)]
pub(super) struct StartMarks {
    times: HashMap<ServerId, (ServerStart, Timestamp)>,
}

impl StartMarks {
    /// Returns the time of the mark of this start.
    pub(super) fn time(&self, registration: &Registration) -> Option<Timestamp> {
        let (start, time) = self.times.get(&registration.id)?;
        start.matches(registration).then_some(*time)
    }

    /// Returns the time of the mark of this start.
    pub(super) fn time_of(&self, start: &ServerStart) -> Option<Timestamp> {
        let (marked, time) = self.times.get(&start.id)?;
        (marked == start).then_some(*time)
    }

    /// Sets the mark of a start, and returns whether this start was not marked before. A mark of an earlier start of
    /// the same server is replaced, and one of a later start is kept.
    pub(super) fn set(&mut self, start: &ServerStart, time: Timestamp) -> bool {
        let old = self.times.get(&start.id);
        if old.is_some_and(|(old, _)| old.started > start.started) {
            return false;
        }
        let is_new = old.is_none_or(|(old, _)| old != start);
        self.times.insert(start.id.clone(), (start.clone(), time));
        is_new
    }

    /// Removes the marks for which `keep` returns false.
    pub(super) fn retain(&mut self, keep: impl Fn(&ServerStart, Timestamp) -> bool) {
        self.times.retain(|_, (start, time)| keep(start, *time));
    }
}
