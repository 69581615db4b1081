//! Selection of a backend server for one request.

use crate::{ids::ServerAddr, time::Span};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;

/// The weight, in thousandths, of a server in full use.
pub const FULL_WEIGHT: u32 = 1_000;

/// The weight, in thousandths, at the beginning of slow start.
pub const SLOW_START_WEIGHT: u32 = 100;

/// The maximum number of redraws when a server is passed over because of its weight.
const MAX_DRAWS: u32 = 8;

/// The kinds of work that a backend server may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerMode {
    /// The server gets all kinds of work.
    Serving,
    /// The server was ejected and gets idempotent requests of the lowest rank that has any, one at a time.
    Probation,
    /// The server is leaving and gets no new work.
    Leaving,
}

/// The slots of one backend server that a node may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSlots {
    /// The server.
    pub server: ServerAddr,
    /// The slots that the node holds: the smaller of its lease and its connection budget.
    pub slots: u32,
    /// The weight in thousandths. It scales the chance of being picked and the usable slots.
    pub weight: u32,
    /// The kinds of work that the server may get.
    pub mode: ServerMode,
}

impl ServerSlots {
    /// Returns how many requests may be in flight: the weighted slots, rounded up.
    ///
    /// If the weight only scaled the chance of being picked, a long queue would still fill a cold or
    /// suspect server.
    pub fn usable(&self) -> u32 {
        match self.mode {
            ServerMode::Leaving => 0,
            ServerMode::Probation => self.slots.min(1),
            ServerMode::Serving => {
                let weight = u64::from(self.weight.min(FULL_WEIGHT));
                (u64::from(self.slots) * weight).div_ceil(u64::from(FULL_WEIGHT)) as u32
            }
        }
    }
}

/// Returns the weight, in thousandths, of a server `elapsed` after its re-admission.
///
/// It rises linearly from 100 to 1,000 during `duration`.
pub fn slow_start(elapsed: Span, duration: Span) -> u32 {
    if elapsed >= duration {
        return FULL_WEIGHT;
    }
    let rise = u128::from(FULL_WEIGHT - SLOW_START_WEIGHT) * u128::from(elapsed.as_micros());
    SLOW_START_WEIGHT + (rise / u128::from(duration.as_micros())) as u32
}

#[derive(Clone, Debug)]
struct BalancedServer {
    slots: ServerSlots,
    in_flight: u32,
    position: Option<usize>,
}

impl BalancedServer {
    fn has_room(&self) -> bool {
        self.in_flight < self.slots.usable()
    }

    /// Returns whether, with one more request each, `self` would have fewer requests per slot than `other`.
    fn is_lighter(&self, other: &BalancedServer) -> bool {
        let room = |e: &BalancedServer| u64::from(e.slots.slots);
        u64::from(self.in_flight + 1) * room(other) < u64::from(other.in_flight + 1) * room(self)
    }
}

/// Picks a server by power of two choices among those with a free slot. The weight of a server scales the
/// chance that it is drawn.
///
/// The weight must not scale the compared load as well: a server with a weight of a twentieth was then never
/// picked while the others had few requests in flight. A server that failed before the service had a leader gave
/// no more evidence, so it was neither ejected nor used again.
///
/// Servers with a free slot are in a dense list, so the cost of a choice does not depend on the fleet size.
#[derive(Clone, Debug)]
pub struct Balancer {
    rng: ChaCha8Rng,
    servers: Vec<BalancedServer>,
    index: HashMap<ServerAddr, usize>,
    free: Vec<usize>,
    probation: Vec<usize>,
}

impl Balancer {
    /// Creates a balancer without servers. `seed` seeds the random choice.
    pub fn new(seed: u64) -> Self {
        Balancer {
            rng: ChaCha8Rng::seed_from_u64(seed),
            servers: Vec::new(),
            index: HashMap::new(),
            free: Vec::new(),
            probation: Vec::new(),
        }
    }

    /// Sets the servers. Requests in flight at a removed server are counted until they end.
    pub fn set_servers(&mut self, servers: &[ServerSlots]) {
        let old = std::mem::take(&mut self.servers);
        self.index.clear();
        self.free.clear();
        self.probation.clear();
        for &slots in servers {
            if !self.index.contains_key(&slots.server) {
                self.index.insert(slots.server, self.servers.len());
                self.servers.push(BalancedServer { slots, in_flight: 0, position: None });
            }
        }
        for mut server in old.into_iter().filter(|e| e.in_flight > 0) {
            if let Some(&i) = self.index.get(&server.slots.server) {
                self.servers[i].in_flight = server.in_flight;
            } else {
                server.slots.mode = ServerMode::Leaving;
                server.position = None;
                self.index.insert(server.slots.server, self.servers.len());
                self.servers.push(server);
            }
        }
        for i in 0..self.servers.len() {
            self.update_lists(i);
        }
    }

    /// Returns the sum of the usable slots of all serving servers.
    pub fn total(&self) -> u32 {
        let serving = self.servers.iter().filter(|e| e.slots.mode == ServerMode::Serving);
        serving.map(|e| e.slots.usable()).sum()
    }

    /// Returns whether no server has any usable slot, free or taken.
    pub fn is_empty(&self) -> bool {
        self.servers.iter().all(|e| e.slots.usable() == 0)
    }

    /// Returns whether a serving server has a free slot.
    pub fn has_free(&self) -> bool {
        !self.free.is_empty()
    }

    /// Returns a server with a free slot, and `avoid` only if no other server has one.
    pub fn pick(&mut self, avoid: Option<ServerAddr>) -> Option<ServerAddr> {
        let count = self.free.len();
        if count == 0 {
            return None;
        }
        let mut first = self.rng.random_range(0..count);
        for _ in 0..MAX_DRAWS {
            if self.passes_weight(first) {
                break;
            }
            first = self.rng.random_range(0..count);
        }
        // Draws a different place, so that two servers are compared whenever two have a free slot.
        let second =
            if count > 1 { (first + self.rng.random_range(1..count)) % count } else { first };
        let passes = self.passes_weight(second);
        let (a, b) = (&self.servers[self.free[first]], &self.servers[self.free[second]]);
        let (a_addr, b_addr) = (a.slots.server, b.slots.server);
        let is_better = Some(b_addr) != avoid && passes && b.is_lighter(a);
        Some(if Some(a_addr) == avoid || is_better { b_addr } else { a_addr })
    }

    /// Returns at random whether a drawn server is used, with a probability equal to its weight.
    fn passes_weight(&mut self, position: usize) -> bool {
        let weight = self.servers[self.free[position]].slots.weight;
        weight >= FULL_WEIGHT || self.rng.random_range(0..FULL_WEIGHT) < weight
    }

    /// Returns a server in probation without a request in flight.
    pub fn pick_probation(&self) -> Option<ServerAddr> {
        self.probation.first().map(|&i| self.servers[i].slots.server)
    }

    /// Adds one to the requests in flight at `server`. Returns whether they fit into the usable slots.
    pub fn acquire(&mut self, server: ServerAddr) -> bool {
        let Some(&i) = self.index.get(&server) else { return false };
        self.servers[i].in_flight += 1;
        self.update_lists(i);
        self.servers[i].in_flight <= self.servers[i].slots.usable()
    }

    /// Subtracts one from the requests in flight at `server`.
    pub fn release(&mut self, server: ServerAddr) {
        if let Some(&i) = self.index.get(&server) {
            self.servers[i].in_flight = self.servers[i].in_flight.saturating_sub(1);
            self.update_lists(i);
        }
    }

    /// Returns whether all usable slots of `server` are taken. This is also true of an unknown server.
    pub fn is_full(&self, server: ServerAddr) -> bool {
        self.index.get(&server).is_none_or(|&i| !self.servers[i].has_room())
    }

    /// Returns the number of requests in flight at `server`.
    pub fn in_flight(&self, server: ServerAddr) -> u32 {
        self.index.get(&server).map_or(0, |&i| self.servers[i].in_flight)
    }

    /// Adds server `i` to the list of free servers of its kind, or removes it when it has no free slot.
    fn update_lists(&mut self, i: usize) {
        let probation = self.servers[i].slots.mode == ServerMode::Probation;
        let list = if probation { &mut self.probation } else { &mut self.free };
        match (self.servers[i].has_room(), self.servers[i].position) {
            (true, None) => {
                self.servers[i].position = Some(list.len());
                list.push(i);
            }
            (false, Some(at)) => {
                self.servers[i].position = None;
                list.swap_remove(at);
                if let Some(&moved) = list.get(at) {
                    self.servers[moved].position = Some(at);
                }
            }
            _ => {}
        }
    }
}
