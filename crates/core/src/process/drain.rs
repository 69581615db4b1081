//! Tracks the backend servers that are leaving and spreads drain notices. See `docs/agreement.md`.

use crate::{
    ids::{NodeId, ServerAddr},
    invariant,
    invariant::Invariant,
    process::rendezvous::rendezvous,
    time::{Span, Timestamp},
    version::spec::Spec,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    net::IpAddr,
};

/// Within this time after a server is known to be leaving, every node stops sending it new work.
pub const LEAVING_BOUND: Span = Span::from_secs(3);

/// How a node learned that a server is leaving. Drains in the configuration need no notices, as every node reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DrainSource {
    /// The list of VMs.
    VmList,
    /// The server's own `Redwing-Draining` header.
    Header,
}

/// A gossiped notice about a server; a notice with a higher counter replaces one with a lower counter.
///
/// A node that confirms or clears a notice increments the counter. The time to live starts at each node when
/// it first receives a counter, so copies that circulate or arrive late do not extend it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainNotice {
    /// The backend server.
    pub server: ServerAddr,
    /// How the node that issued the notice learned the state.
    pub source: DrainSource,
    /// Increases with each confirmation or clearance.
    pub counter: u32,
    /// Whether the server is leaving.
    pub leaving: bool,
}

/// Timing of a [`DrainTracker`].
#[derive(Clone, Copy, Debug)]
pub struct DrainOptions {
    /// Time after which an unconfirmed notice expires.
    pub ttl: Span,
    /// Time for which the counter of an expired notice is kept, so that late copies are recognised.
    pub retention: Span,
    /// A longer gap between two ticks means that the process was paused; notices are extended by the gap.
    pub pause_threshold: Span,
    /// Probe timeout and interval between probes.
    pub probe_interval: Span,
}

impl Default for DrainOptions {
    fn default() -> Self {
        DrainOptions {
            ttl: Span::from_secs(10),
            retention: Span::from_secs(60),
            pause_threshold: Span::from_secs(1),
            probe_interval: Span::from_secs(1),
        }
    }
}

/// An action requested by [`DrainTracker::tick`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainAction {
    /// Probe the server and report through [`DrainTracker::record_probe`] whether it still sends the header.
    Probe(ServerAddr),
}

#[derive(Clone, Copy, Debug)]
struct NoticeState {
    counter: u32,
    leaving: bool,
    expires: Timestamp,
    sent: u32,
    next_probe: Timestamp,
    /// When the outstanding probe was sent.
    probing: Option<Timestamp>,
}

/// The backend servers that are leaving, by configuration, VM list or response header.
#[derive(Clone, Debug)]
pub struct DrainTracker {
    options: DrainOptions,
    local: NodeId,
    declared: BTreeMap<IpAddr, BTreeSet<ServerAddr>>,
    by_config: HashSet<ServerAddr>,
    by_vm_list: BTreeSet<IpAddr>,
    notices: BTreeMap<(DrainSource, ServerAddr), NoticeState>,
    /// When each leaving server was first known to be leaving.
    since: HashMap<ServerAddr, Timestamp>,
    last_tick: Timestamp,
}

impl DrainTracker {
    /// Creates the tracker of node `local` without leaving servers.
    pub fn new(now: Timestamp, options: DrainOptions, local: NodeId) -> Self {
        DrainTracker {
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

    /// Applies the configuration in force and removes notices about servers that it no longer declares.
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

    /// Applies the IP addresses of the leaving VMs from the VM list.
    ///
    /// A VM that disappears from the list is not cleared at once, because the nodes' lists lag differently.
    /// Its notice expires when no node's list confirms it.
    pub fn apply_vm_list(&mut self, now: Timestamp, leaving: impl IntoIterator<Item = IpAddr>) {
        self.by_vm_list = leaving.into_iter().collect();
        self.confirm_vm_list(now);
        self.update(now);
    }

    /// Records a response of `server` that carries the `Redwing-Draining` header.
    pub fn record_header(&mut self, now: Timestamp, server: ServerAddr) {
        let fresh = now + Span::from_micros(self.options.ttl.as_micros() * 9 / 10);
        let known = self.notices.get_mut(&(DrainSource::Header, server));
        // One confirmation per tenth of the time to live (1 s by default) is enough, however many responses carry
        // the header.
        match known.filter(|e| e.leaving && e.expires >= fresh) {
            Some(e) => e.probing = None,
            None => {
                self.confirm(now, DrainSource::Header, server, true);
                self.update(now);
            }
        }
    }

    /// Applies the result of a probe: whether the response carried the header, or `None` without a response.
    ///
    /// A result is dropped if it arrives after the probe timeout or if the notice was renewed since the probe.
    /// A process resumed from a pause would otherwise clear a notice with a response that predates it.
    pub fn record_probe(&mut self, now: Timestamp, server: ServerAddr, draining: Option<bool>) {
        let probe = self.options.probe_interval;
        let Some(e) = self.notices.get_mut(&(DrainSource::Header, server)) else { return };
        if e.probing.take().is_none_or(|at| now.since(at) > probe) {
            return;
        }
        match draining {
            Some(leaving) => self.confirm(now, DrainSource::Header, server, leaving),
            // A server that does not respond should get no work in any case, so its notice is kept.
            None => e.expires = e.expires.max(now + probe.times(3)),
        }
        self.update(now);
    }

    /// Merges the notices from a peer's heartbeat.
    pub fn merge_notices(&mut self, now: Timestamp, notices: &[DrainNotice]) {
        for n in notices {
            let declared = self.declared.get(&n.server.vm());
            if !declared.is_some_and(|d| d.contains(&n.server)) {
                continue;
            }
            let old = self.notices.get(&(n.source, n.server));
            // Of two notices with the same counter, the one that withholds work wins until the next probe.
            let newer = old.is_none_or(|e| (n.counter, n.leaving) > (e.counter, e.leaving));
            if newer {
                self.set_notice(now, n.source, n.server, n.counter, n.leaving, false);
            }
        }
        self.update(now);
    }

    /// Expires notices and returns the servers to probe.
    pub fn tick(&mut self, now: Timestamp) -> Vec<DrainAction> {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap > self.options.pause_threshold {
            // A paused process receives no renewals, so the pause does not count towards expiry.
            for e in self.notices.values_mut() {
                e.expires = e.expires + gap;
            }
        }
        self.confirm_vm_list(now);
        let mut actions = Vec::new();
        for ((source, server), e) in &mut self.notices {
            if *source == DrainSource::Header && e.leaving && now >= e.next_probe {
                e.next_probe = now + self.options.probe_interval;
                e.probing = Some(now);
                actions.push(DrainAction::Probe(*server));
            }
        }
        let retention = self.options.retention;
        self.notices.retain(|_, e| now.since(e.expires) < retention);
        self.update(now);
        actions
    }

    /// Returns whether `server` is leaving and must not get new work.
    pub fn is_leaving(&self, server: ServerAddr) -> bool {
        self.since.contains_key(&server)
    }

    /// Returns all leaving servers.
    pub fn leaving(&self) -> impl Iterator<Item = ServerAddr> + '_ {
        self.since.keys().copied()
    }

    /// Returns the leaving servers with the sources of their live notices. Drains by configuration are not included.
    pub fn sources(&self, now: Timestamp) -> impl Iterator<Item = (ServerAddr, DrainSource)> + '_ {
        let live = self.notices.iter().filter(move |(_, e)| e.leaving && e.expires > now);
        live.map(|((source, server), _)| (*server, *source))
    }

    /// Checks that `server`, which may get new work, was not known to be leaving for longer than
    /// [`LEAVING_BOUND`].
    pub fn check_new_work(&self, now: Timestamp, server: ServerAddr) {
        let since = self.since.get(&server);
        invariant!(
            Invariant::Leaving,
            since.is_none_or(|t| now.since(*t) <= LEAVING_BOUND),
            "{server} may get new work {} ms after it was known to be leaving",
            since.map_or(0, |t| now.since(*t).as_millis())
        );
    }

    /// Returns up to `max` notices for a heartbeat, the least often sent first.
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
        self.set_notice(now, source, server, counter, leaving, true);
    }

    fn set_notice(
        &mut self,
        now: Timestamp,
        source: DrainSource,
        server: ServerAddr,
        counter: u32,
        leaving: bool,
        own: bool,
    ) {
        let ttl = self.options.ttl.as_micros();
        // The node that saw the header probes at half of the time to live. The other nodes probe at different
        // moments in the last third, in case the first node is gone.
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

    /// Recomputes which servers are leaving and keeps the time at which each was first known to be.
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
