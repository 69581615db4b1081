//! Backend servers that are leaving. See `docs/agreement.md`.

use crate::{
    ids::{NodeId, ServerAddr},
    invariant,
    invariant::Invariant,
    process::membership::rendezvous,
    time::{Span, Timestamp},
    version::spec::Spec,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::IpAddr,
};

/// After this time a server that is known as leaving must get no new work on any node.
pub const LEAVING_BOUND: Span = Span::from_secs(3);

/// `DrainSource` is how a node learned that a server is leaving, apart from the configuration.
///
/// The configuration reaches every node by itself, so it needs no notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DrainSource {
    /// The list of VMs.
    VmList,
    /// The server's own `Redwing-Draining` header.
    Header,
}

/// `DrainNotice` tells peers about a server; a higher counter replaces a lower one.
///
/// A node that confirms or clears a notice uses the next counter. The time to live runs at each
/// node from the first receipt of a counter, so copies that circulate or arrive late renew nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainNotice {
    /// The backend server.
    pub server: ServerAddr,
    /// How its state was learned.
    pub source: DrainSource,
    /// The number of the confirmation.
    pub counter: u32,
    /// Whether the server is leaving.
    pub leaving: bool,
}

/// `DrainOptions` holds the times of a [`Drain`].
#[derive(Clone, Copy, Debug)]
pub struct DrainOptions {
    /// How long a notice holds without confirmation.
    pub ttl: Span,
    /// How long the counter of an expired or cleared notice is kept against late copies.
    pub keep: Span,
    /// A longer time between two ticks means that the process was paused, and extends notices by it.
    pub pause: Span,
    /// The wait for the answer to a probe before the next one.
    pub probe: Span,
}

impl Default for DrainOptions {
    fn default() -> Self {
        DrainOptions {
            ttl: Span::from_secs(10),
            keep: Span::from_secs(60),
            pause: Span::from_secs(1),
            probe: Span::from_secs(1),
        }
    }
}

/// `DrainAction` is what [`Drain::tick`] wants done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Probe the server, and report with [`Drain::probed`] whether the header is still there.
    Probe(ServerAddr),
}

#[derive(Clone, Copy, Debug)]
struct NoticeState {
    counter: u32,
    leaving: bool,
    expires: Timestamp,
    sent: u32,
    next_probe: Timestamp,
    /// When the probe that awaits its answer was sent.
    probing: Option<Timestamp>,
}

/// `Drain` knows which backend servers are leaving.
#[derive(Clone, Debug)]
pub struct Drain {
    options: DrainOptions,
    local: NodeId,
    declared: BTreeMap<IpAddr, BTreeSet<ServerAddr>>,
    by_config: HashSet<ServerAddr>,
    by_vm_list: BTreeSet<IpAddr>,
    notices: BTreeMap<(DrainSource, ServerAddr), NoticeState>,
    since: HashMap<ServerAddr, Timestamp>,
    last_tick: Timestamp,
}

impl Drain {
    /// Returns an empty view of node `me`.
    pub fn new(now: Timestamp, options: DrainOptions, local: NodeId) -> Self {
        Drain {
            options,
            local,
            declared: BTreeMap::new(),
            by_config: HashSet::new(),
            by_vm_list: BTreeSet::new(),
            notices: BTreeMap::new(),
            since: HashMap::new(),
            last_tick: now,
        }
    }

    /// Takes the configuration in force; servers that it no longer declares are forgotten.
    pub fn configure(&mut self, now: Timestamp, spec: &Spec) {
        self.declared.clear();
        self.by_config.clear();
        for server in spec.services.values().flat_map(|s| &s.servers) {
            self.declared.entry(server.addr.vm()).or_default().insert(server.addr);
            if spec.drains.covers(server) {
                self.by_config.insert(server.addr);
            }
        }
        let declared = &self.declared;
        let known = |s: &ServerAddr| declared.get(&s.vm()).is_some_and(|d| d.contains(s));
        self.notices.retain(|(_, s), _| known(s));
        self.update(now);
    }

    /// Takes the IP addresses that the VM list reports as leaving.
    ///
    /// A VM that is no longer reported is not cleared at once, because lists lag differently: its
    /// notice expires when no node's list confirms it.
    pub fn vm_list(&mut self, now: Timestamp, leaving: impl IntoIterator<Item = IpAddr>) {
        self.by_vm_list = leaving.into_iter().collect();
        self.confirm_vm_list(now);
        self.update(now);
    }

    /// Notes a response of `server` with the `Redwing-Draining` header.
    pub fn header(&mut self, now: Timestamp, server: ServerAddr) {
        let fresh = now + Span::from_micros(self.options.ttl.as_micros() * 9 / 10);
        let known = self.notices.get_mut(&(DrainSource::Header, server));
        // One confirmation a second is enough, however many responses carry the header.
        match known.filter(|e| e.leaving && e.expires >= fresh) {
            Some(e) => e.probing = None,
            None => {
                self.confirm(now, DrainSource::Header, server, true);
                self.update(now);
            }
        }
    }

    /// Takes the result of a probe: whether the header was there, or `None` without a response.
    ///
    /// A result is dropped when it took longer than the probe's time or when the notice was renewed
    /// since: a process that was paused would otherwise clear a notice with an answer from before it.
    pub fn probed(&mut self, now: Timestamp, server: ServerAddr, draining: Option<bool>) {
        let probe = self.options.probe;
        let Some(e) = self.notices.get_mut(&(DrainSource::Header, server)) else { return };
        if e.probing.take().is_none_or(|at| now.since(at) > probe) {
            return;
        }
        match draining {
            Some(leaving) => self.confirm(now, DrainSource::Header, server, leaving),
            // A server that does not answer gets no work either way; its notice stays.
            None => e.expires = e.expires.max(now + probe.times(3)),
        }
        self.update(now);
    }

    /// Merges the notices of a peer's heartbeat.
    pub fn heard(&mut self, now: Timestamp, notices: &[DrainNotice]) {
        for n in notices {
            let declared = self.declared.get(&n.server.vm());
            if !declared.is_some_and(|d| d.contains(&n.server)) {
                continue;
            }
            let old = self.notices.get(&(n.source, n.server));
            // Of two notices with one counter, the one that withholds work wins until the next probe.
            let newer = old.is_none_or(|e| (n.counter, n.leaving) > (e.counter, e.leaving));
            if newer {
                self.put(now, n.source, n.server, n.counter, n.leaving, false);
            }
        }
        self.update(now);
    }

    /// Expires notices and returns the servers to probe.
    pub fn tick(&mut self, now: Timestamp) -> Vec<DrainAction> {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > self.options.pause {
            // No renewal could be heard during a pause, so the time does not count.
            for e in self.notices.values_mut() {
                e.expires = e.expires + gap;
            }
        }
        self.confirm_vm_list(now);
        let mut actions = Vec::new();
        for ((source, server), e) in &mut self.notices {
            if *source == DrainSource::Header && e.leaving && now >= e.next_probe {
                e.next_probe = now + self.options.probe;
                e.probing = Some(now);
                actions.push(DrainAction::Probe(*server));
            }
        }
        let keep = self.options.keep;
        self.notices.retain(|_, e| now.since(e.expires) < keep);
        self.update(now);
        actions
    }

    /// Returns whether `server` is leaving and must not be offered to new work.
    pub fn is_leaving(&self, server: ServerAddr) -> bool {
        self.since.contains_key(&server)
    }

    /// Returns the servers that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = ServerAddr> + '_ {
        self.since.keys().copied()
    }

    /// Returns from where each leaving server's state was learned, the configuration aside.
    pub fn sources(&self, now: Timestamp) -> impl Iterator<Item = (ServerAddr, DrainSource)> + '_ {
        let live = self.notices.iter().filter(move |(_, e)| e.leaving && e.expires > now);
        live.map(|((source, server), _)| (*server, *source))
    }

    /// Checks that `server`, which new work is offered to now, is not leaving for longer than the bound.
    pub fn check_offer(&self, now: Timestamp, server: ServerAddr) {
        let since = self.since.get(&server);
        invariant!(
            Invariant::Leaving,
            since.is_none_or(|t| now.since(*t) <= LEAVING_BOUND),
            "{server} is offered {} ms after it was known as leaving",
            since.map_or(0, |t| now.since(*t).as_millis())
        );
    }

    /// Returns up to `max` notices for a heartbeat, those sent least often first.
    pub fn notices(&mut self, now: Timestamp, max: usize) -> Vec<DrainNotice> {
        let mut live: Vec<_> = self.notices.iter_mut().filter(|(_, e)| e.expires > now).collect();
        live.sort_by_key(|(k, e)| (e.sent, **k));
        live.truncate(max);
        live.into_iter()
            .map(|((source, server), e)| {
                e.sent = e.sent.saturating_add(1);
                let (counter, leaving) = (e.counter, e.leaving);
                DrainNotice { server: *server, source: *source, counter, leaving }
            })
            .collect()
    }

    fn confirm_vm_list(&mut self, now: Timestamp) {
        let half = Span::from_micros(self.options.ttl.as_micros() / 2);
        let servers: Vec<_> = self
            .by_vm_list
            .iter()
            .filter_map(|vm| self.declared.get(vm))
            .flatten()
            .copied()
            .collect();
        for server in servers {
            let known = self.notices.get(&(DrainSource::VmList, server));
            if !known.is_some_and(|e| e.leaving && e.expires > now + half) {
                self.confirm(now, DrainSource::VmList, server, true);
            }
        }
    }

    fn confirm(&mut self, now: Timestamp, source: DrainSource, server: ServerAddr, leaving: bool) {
        let counter =
            self.notices.get(&(source, server)).map_or(0, |e| e.counter).saturating_add(1);
        self.put(now, source, server, counter, leaving, true);
    }

    fn put(
        &mut self,
        now: Timestamp,
        source: DrainSource,
        server: ServerAddr,
        counter: u32,
        leaving: bool,
        own: bool,
    ) {
        let ttl = self.options.ttl.as_micros();
        // The node that saw the header probes at half of the time to live. Any other probes only in its
        // last third, each at its own moment, in case the first one is gone.
        let spread = rendezvous(server.to_string().as_bytes(), self.local) % (ttl / 3).max(1);
        let wait = if own { ttl / 2 } else { ttl * 2 / 3 + spread };
        let state = NoticeState {
            counter,
            leaving,
            expires: now + self.options.ttl,
            sent: 0,
            next_probe: now + Span::from_micros(wait),
            probing: None,
        };
        self.notices.insert((source, server), state);
    }

    /// Recomputes since when each server is known as leaving.
    fn update(&mut self, now: Timestamp) {
        let live = self.notices.iter().filter(|(_, e)| e.leaving && e.expires > now);
        let leaving: HashSet<ServerAddr> =
            live.map(|((_, s), _)| *s).chain(self.by_config.iter().copied()).collect();
        self.since.retain(|s, _| leaving.contains(s));
        for server in leaving {
            self.since.entry(server).or_insert(now);
        }
    }
}
