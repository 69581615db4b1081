//! Which servers of a service may get new work.

use super::ServerRegistry;
use crate::{
    ids::ServiceName,
    process::{
        registration::{RegistrationState, ServerId},
        start_marks::ServerStart,
        tracked_server::{Presence, TrackedServer},
    },
    time::{Span, Timestamp},
};

impl ServerRegistry {
    /// Marks a start of a server as leaving, because a response of it says so, and returns whether that is new. No
    /// record of the same start undoes it, as the store may be behind.
    pub fn mark_leaving(&mut self, now: Timestamp, start: &ServerStart) -> bool {
        self.leaving.mark(now, start)
    }

    /// Returns whether a response of the server's current start said that it leaves.
    pub fn is_leaving(&self, id: &ServerId) -> bool {
        self.leaving_since(id).is_some()
    }

    /// Returns whether a start of a server is registered and has not said that it leaves.
    pub fn is_in_service(&self, start: &ServerStart) -> bool {
        let is_same = |s: &&TrackedServer| ServerStart::from(&s.registration) == *start;
        let server = self.servers.get(&start.id).filter(is_same);
        server.is_some_and(|s| s.presence == Presence::Ready) && !self.is_leaving(&start.id)
    }

    /// Returns whether a server left too long ago to get even a request for which it was already chosen.
    pub fn has_left(&self, now: Timestamp, id: &ServerId) -> bool {
        let since = self.leaving_since(id);
        since.is_some_and(|since| now.since(since) > self.options.outage_grace)
    }

    fn leaving_since(&self, id: &ServerId) -> Option<Timestamp> {
        self.leaving.since(&self.servers.get(id)?.registration)
    }

    /// Records that a start of a server turned a request away and asked for a pause, and returns its end. `draw`, from
    /// 0 to 1, spreads the ends over the nodes.
    pub fn record_pause(
        &mut self,
        now: Timestamp,
        start: &ServerStart,
        pause: Span,
        draw: f64,
    ) -> Timestamp {
        self.pauses.record(now, start, pause, draw)
    }

    /// Returns how long it takes until the first server of a service accepts work again, or `None` unless all of them
    /// pause.
    pub fn pause_left(&self, now: Timestamp, service: &ServiceName) -> Option<Span> {
        let mut first: Option<Timestamp> = None;
        for server in self.in_service(now, service) {
            let end = self.pauses.end(now, &server.registration)?;
            first = Some(first.map_or(end, |known| known.min(end)));
        }
        first.map(|end| end.since(now))
    }

    /// Returns the servers of a service that may get new work: those in service that do not pause. A service whose
    /// servers all pause has none.
    pub fn usable(&self, now: Timestamp, service: &ServiceName) -> Vec<&TrackedServer> {
        let mut servers = self.in_service(now, service);
        servers.retain(|s| self.pauses.end(now, &s.registration).is_none());
        servers
    }

    /// Returns the servers of a service that are in service, also those that pause.
    ///
    /// A server whose registration ended recently around an outage of the store is still used, because the
    /// registration may only have lapsed. If the service has no other server, the same applies to every server that
    /// stopped accepting work recently, or said recently in a response that it leaves.
    fn in_service(&self, now: Timestamp, service: &ServiceName) -> Vec<&TrackedServer> {
        let ids = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        let servers = || ids.iter().filter_map(|id| self.servers.get(id));
        let grace = self.options.outage_grace;
        let recent = |s: &TrackedServer| now.since(s.presence_since) <= grace;
        let lapsed = |s: &TrackedServer| {
            s.presence == Presence::Ended
                && recent(s)
                && s.registration.state == RegistrationState::Ready
                && self.last_store_outage.is_some_and(|outage| {
                    s.presence_since.since(outage) <= self.options.outage_grace
                })
        };
        let stays = |s: &TrackedServer| self.leaving.since(&s.registration).is_none();
        let preferred: Vec<&TrackedServer> = servers()
            .filter(|s| (s.presence == Presence::Ready || lapsed(s)) && stays(s))
            .collect();
        if !preferred.is_empty() {
            return preferred;
        }
        // A record of the store that comes after the response does not extend the time.
        let may_still_serve = |s: &TrackedServer| match self.leaving.since(&s.registration) {
            Some(since) => now.since(since) <= grace,
            None => recent(s),
        };
        servers().filter(|s| may_still_serve(s)).collect()
    }
}
