//! Gossip between nodes by UDP datagrams: the state of each node, and its observations of backend servers.

mod catch_up;
mod relay_queue;

use self::{catch_up::CatchUp, relay_queue::RelayQueue};
use crate::{
    clock::duration,
    datagram::{
        self, CrashDoc, Datagram, LevelDoc, LimitDoc, OutcomesDoc, Pace, QuotaDoc, ReportDoc,
        RowDoc, StatusTail, MAX_DATAGRAM, MAX_OUTCOMES, MAX_QUOTA_ROWS, MAX_ROWS, MAX_SERVER_ROWS,
    },
    shared::{Fleet, Shared},
};
use rand::Rng;
use redwingtrestle_core::{
    ids::DataCentre,
    process::{
        cpu_share::CpuShare,
        crash_records::CrashReport,
        fan_out,
        peer_table::NodeStatus,
        server_limit::LimitReport,
        service_outcomes::OutcomeCounts,
        slowdown::Slowdown,
        store_contact::ContactReport,
        stream_position::StreamPosition,
        tracked_server::ServerReport,
        workspace_quota::{QuotaLevel, QuotaReport},
    },
    time::{Span, Timestamp},
};
use std::{net::SocketAddr, sync::Arc};
use tokio::net::UdpSocket;

/// How often the gossip task checks which messages are due.
const TICK_INTERVAL: Span = Span::from_millis(100);

/// How long an urgent report waits for further failures to include.
const URGENT_REPORT_DELAY: Span = Span::from_millis(3);

/// After a suspension of the machine for longer than this, all state is read again.
const MAX_SUSPENSION: Span = Span::from_millis(500);

/// The nodes that get a report of each kind.
#[derive(Clone, Copy, Debug)]
enum Audience {
    /// Some nodes of this data centre, and fewer while messages are slowed down.
    Periodic,
    /// Some nodes of this data centre.
    Change,
    /// More nodes of this data centre.
    Failure,
}

/// The number of nodes that send a new one the levels of quotas, on average. Several, as messages may be lost.
const LEVEL_SENDERS: f64 = 4.0;

/// The task that sends and receives the datagrams.
#[derive(Debug)]
pub struct Gossip {
    shared: Arc<Shared>,
    socket: UdpSocket,
    last_report: Timestamp,
    last_relayed: Timestamp,
    suspended: Span,
    live_nodes: usize,
    slowdown: Slowdown,
    catch_up: CatchUp,
    relay_queue: RelayQueue,
}

impl Gossip {
    /// Creates the task on a bound socket, and adds the seeds of the settings as peers.
    pub fn new(shared: Arc<Shared>, socket: UdpSocket) -> Self {
        let now = shared.now();
        for seed in &shared.settings.seeds {
            let addr = SocketAddr::new(seed.ip(), shared.settings.peer.port());
            shared.fleet().peers.add_address(now, addr);
        }
        let suspended = shared.clock.suspended();
        Gossip {
            shared,
            socket,
            last_report: now,
            last_relayed: now,
            suspended,
            live_nodes: 0,
            slowdown: Slowdown::NONE,
            catch_up: CatchUp::default(),
            relay_queue: RelayQueue::default(),
        }
    }

    /// Runs until the process ends.
    pub async fn run(mut self) {
        let mut tick = tokio::time::interval(duration(TICK_INTERVAL));
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut buffer = [0u8; MAX_DATAGRAM + 1];
        let shared = self.shared.clone();
        let mut phase = shared.phase.subscribe();
        loop {
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => {
                    // An error only reports that an earlier datagram of this node was refused (ICMP).
                    if let Ok((count, from)) = received {
                        self.receive(&buffer[..count], from).await;
                    }
                }
                _ = tick.tick() => self.tick().await,
                () = shared.report_now.notified() => {
                    tokio::time::sleep(duration(URGENT_REPORT_DELAY)).await;
                    self.send_report(true).await;
                    self.send_crashes().await;
                }
                Ok(()) = phase.changed() => self.send_status_to_all().await,
                () = shared.store_updates.notified() => self.send_status_nearby().await,
            }
        }
    }

    async fn receive(&mut self, bytes: &[u8], from: SocketAddr) {
        count_datagram("in", bytes.len());
        let now = self.shared.now();
        let (datagram, tail) = match datagram::decode(bytes) {
            Ok(decoded) => decoded,
            Err(e) => {
                metrics::counter!("redwing_dropped_messages_total", "reason" => "malformed")
                    .increment(1);
                log::debug!(target: "peers", peer:% = from; "ignored a malformed datagram: {e}");
                return;
            }
        };
        match datagram {
            Datagram::Status {
                start,
                entry,
                data_centre,
                state,
                config_version,
                registry_position,
                store_reachable,
            } => {
                let zone = DataCentre::from(data_centre.as_str());
                let status = NodeStatus {
                    start,
                    entry,
                    zone,
                    state: state.into(),
                    config_version,
                    registry_position: StreamPosition::new(tail.era, registry_position),
                    store_reachable,
                    cpu_share: tail.pace.and_then(|pace| pace.share),
                    slowdown: tail.pace.map(|pace| pace.slowdown),
                };
                self.record_status(now, from, status, tail.contact).await;
            }
            Datagram::Nodes(addrs) => {
                let mut fleet = self.shared.fleet();
                for addr in addrs {
                    fleet.peers.add_address(now, addr);
                }
            }
            Datagram::Report { from, relay, rows, outcomes } => {
                let report = ReportDoc { from, rows, outcomes };
                self.apply_report(now, &report);
                if relay {
                    self.relay(now, report).await;
                }
            }
            Datagram::Relayed(reports) => {
                for report in &reports {
                    self.apply_report(now, report);
                }
            }
            Datagram::Limits { relay, rows } => {
                self.apply_limits(now, from, &rows);
                if relay {
                    let near = self.shared.fleet().nearby_peers(now);
                    self.send(&Datagram::Limits { relay: false, rows }, &near).await;
                }
            }
            Datagram::Crashes { relay, rows } => {
                self.apply_crashes(now, from, &rows);
                if relay {
                    let (near, _) = self.report_targets(now, Audience::Failure);
                    self.send(&Datagram::Crashes { relay: false, rows }, &near).await;
                }
            }
            Datagram::Quotas { relay, number, scale, rows } => {
                self.record_quotas(now, from, number, scale.into(), relay, rows);
            }
            Datagram::QuotaLevels(rows) => self.adopt_levels(now, rows),
        }
    }

    async fn record_status(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        status: NodeStatus,
        contact: Option<ContactReport>,
    ) {
        let (start, version) = (status.start, status.config_version);
        let cpu_thousandths = status.cpu_share.map(CpuShare::thousandths);
        let is_new = {
            let mut fleet = self.shared.fleet();
            if let Some(contact) = contact {
                fleet.store_contacts.record_peer(now, &contact);
            }
            fleet.peers.record_status(now, from, status)
        };
        if is_new {
            log::info!(target: "peers", peer:% = from, start, version, cpu_thousandths:?;
                "received the first datagram of a node that was unknown, silent or restarted");
            self.send_status_and_nodes(from).await;
        }
        self.catch_up.fetch_newer_state(now, &self.shared);
    }

    fn apply_report(&self, now: Timestamp, report: &ReportDoc) {
        let mut fleet = self.shared.fleet();
        for row in &report.rows {
            fleet.registry.add_peer_report(now, report.from, &ServerReport::from(*row));
        }
        for (tag, counts) in report.outcomes.iter().copied().map(<(u32, OutcomeCounts)>::from) {
            fleet.registry.add_peer_outcomes(now, tag, counts);
        }
    }

    fn apply_limits(&self, now: Timestamp, peer: SocketAddr, rows: &[LimitDoc]) {
        for row in rows {
            let report = LimitReport::from(*row);
            let change = {
                let mut fleet = self.shared.fleet();
                let draw = fleet.rng.random();
                fleet.registry.add_limit_report(now, &report, draw)
            };
            let Some((id, change)) = change else { continue };
            log::info!(target: "servers", server = id.as_str(), limit:? = report.limit, age_ms = report.age.as_millis(),
                source:% = peer; "limit of a server on requests per second: {change}");
        }
    }

    fn apply_crashes(&self, now: Timestamp, peer: SocketAddr, rows: &[CrashDoc]) {
        for report in rows.iter().copied().map(CrashReport::from) {
            let blocked = self.shared.fleet().crash_records.record(now, &report, false);
            if let Some(blocked) = blocked {
                log::info!(target: "servers", fingerprint:% = report.fingerprint, blocked_ms = blocked.as_millis(),
                    source:% = peer; "a request that ends servers is blocked");
            }
        }
    }

    /// Relays a report of another data centre: failures at once, all else together each
    /// [`report_interval`](fan_out::report_interval).
    async fn relay(&mut self, now: Timestamp, report: ReportDoc) {
        if !report.has_failure() {
            self.relay_queue.push(report);
            return;
        }
        let (near, _) = self.report_targets(now, Audience::Failure);
        let ReportDoc { from, rows, outcomes } = report;
        self.send(&Datagram::Report { from, relay: false, rows, outcomes }, &near).await;
    }

    /// Returns the nodes of this data centre, and the relays of the others, that get a report.
    fn report_targets(
        &self,
        now: Timestamp,
        audience: Audience,
    ) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let mut fleet = self.shared.fleet();
        let Fleet { peers, rng, .. } = &mut *fleet;
        match audience {
            Audience::Periodic => peers.report_targets(now, rng),
            Audience::Change => peers.change_targets(now, rng),
            Audience::Failure => peers.failure_targets(now, rng),
        }
    }

    /// Sends a new node what it may have missed: this node's status, the addresses of known nodes, the limits of servers,
    /// and the servers that ended while they ran a request.
    async fn send_status_and_nodes(&self, to: SocketAddr) {
        let mut known = self.shared.fleet().peers.addresses();
        known.retain(|addr| *addr != to);
        known.truncate(MAX_ROWS);
        self.send_status(&[to]).await;
        if !known.is_empty() {
            self.send(&Datagram::Nodes(known), &[to]).await;
        }
        let now = self.shared.now();
        let (limit_reports, crash_reports) = {
            let fleet = self.shared.fleet();
            (fleet.registry.limit_reports(now), fleet.crash_records.reports(now))
        };
        let rows: Vec<LimitDoc> = limit_reports.into_iter().map(LimitDoc::from).collect();
        self.send_rows(&rows, MAX_SERVER_ROWS, &[to], |rows| Datagram::Limits {
            relay: false,
            rows,
        })
        .await;
        let rows: Vec<CrashDoc> = crash_reports.into_iter().map(CrashDoc::from).collect();
        self.send_rows(&rows, MAX_SERVER_ROWS, &[to], |rows| Datagram::Crashes {
            relay: false,
            rows,
        })
        .await;
        self.send_levels(now, to).await;
    }

    /// Sends a new node the levels of quotas, those near their limits first, if this node is drawn to do so.
    async fn send_levels(&self, now: Timestamp, to: SocketAddr) {
        let is_sender = {
            let mut fleet = self.shared.fleet();
            let nodes = fleet.peers.live_count(now) as f64;
            fleet.rng.random::<f64>() * nodes < LEVEL_SENDERS
        };
        if !is_sender {
            return;
        }
        let levels = self.shared.quotas().levels(now);
        let rows: Vec<LevelDoc> = levels.into_iter().map(LevelDoc::from).collect();
        self.send_rows(&rows, MAX_QUOTA_ROWS, &[to], Datagram::QuotaLevels).await;
    }

    /// Records the requests of workspaces at another node, see [`Datagram::Quotas`].
    fn record_quotas(
        &self,
        now: Timestamp,
        from: SocketAddr,
        number: u32,
        scale: f64,
        relay: bool,
        rows: Vec<QuotaDoc>,
    ) {
        let mut quotas = self.shared.quotas();
        if !relay {
            quotas.record_number(now, from, number, scale);
        }
        for report in rows.into_iter().map(QuotaReport::from) {
            quotas.record_report(now, &report, scale, relay);
        }
    }

    /// Takes over what another node says of the quotas, if this one has just started.
    fn adopt_levels(&self, now: Timestamp, rows: Vec<LevelDoc>) {
        let mut quotas = self.shared.quotas();
        for level in rows.into_iter().map(QuotaLevel::from) {
            quotas.adopt_level(now, &level);
        }
    }

    /// Tells other nodes the requests of workspaces since the last report.
    ///
    /// A node of a large data centre tells only a part of its nodes each time, so the report also stands for those that
    /// each of them misses.
    async fn send_quotas(&self, now: Timestamp) {
        let due = self.shared.quotas().take_reports(now);
        if due.near.is_empty() {
            return;
        }
        let number = due.number;
        let (near, relays) = self.report_targets(now, Audience::Change);
        let all = self.shared.fleet().peers.nearby_count(now);
        let scale = (all as f32 / near.len().max(1) as f32).max(1.0);
        for (rows, relay, scale, to) in
            [(due.near, false, scale, near), (due.far, true, 1.0, relays)]
        {
            let rows: Vec<QuotaDoc> = rows.into_iter().map(QuotaDoc::from).collect();
            let datagram = |rows| Datagram::Quotas { relay, number, scale, rows };
            self.send_rows(&rows, MAX_QUOTA_ROWS, &to, datagram).await;
        }
    }

    /// Returns this node's status, with what follows it in its datagram.
    fn status(&self) -> (Datagram, StatusTail) {
        let state = self.shared.node_state().into();
        let config_version = self.shared.config_version();
        let (position, store_reachable, contact, slowdown) = {
            let fleet = self.shared.fleet();
            let is_failing = fleet.server_watch.is_failing() || fleet.config_watch.is_failing();
            let contact = fleet.store_contacts.newest(self.shared.now());
            let position = fleet.server_watch.position().unwrap_or_default();
            (position, !is_failing, contact, fleet.peers.slowdown())
        };
        let data_centre = self.shared.data_centre.as_str().to_string();
        let entry = self.shared.settings.entry;
        let status = Datagram::Status {
            start: self.shared.start_id,
            entry,
            data_centre,
            state,
            config_version,
            registry_position: position.offset,
            store_reachable,
        };
        let share = Some(CpuShare::from_cores(self.shared.settings.cpu_share));
        let pace = Some(Pace { share, slowdown });
        (status, StatusTail { era: position.era, contact, pace })
    }

    /// Tells other nodes the limits that this node's responses have named since the last call.
    async fn send_limits(&self) {
        let reports = self.shared.fleet().registry.take_limit_reports(self.shared.now());
        let rows: Vec<LimitDoc> = reports.into_iter().map(LimitDoc::from).collect();
        self.tell_fleet(&rows, Audience::Change, |relay, rows| Datagram::Limits { relay, rows })
            .await;
    }

    /// Tells other nodes the servers that have ended while they ran a request since the last call.
    async fn send_crashes(&self) {
        let reports = self.shared.fleet().crash_records.take_reports(self.shared.now());
        let rows: Vec<CrashDoc> = reports.into_iter().map(CrashDoc::from).collect();
        self.tell_fleet(&rows, Audience::Failure, |relay, rows| Datagram::Crashes { relay, rows })
            .await;
    }

    /// Sends rows to the nodes that get a report, see [`report_targets`](Self::report_targets). `datagram` gets whether
    /// the receiver relays the rows in its own data centre.
    async fn tell_fleet<T: Copy>(
        &self,
        rows: &[T],
        audience: Audience,
        datagram: impl Fn(bool, Vec<T>) -> Datagram,
    ) {
        if rows.is_empty() {
            return;
        }
        let (near, relays) = self.report_targets(self.shared.now(), audience);
        self.send_rows(rows, MAX_SERVER_ROWS, &near, |rows| datagram(false, rows)).await;
        self.send_rows(rows, MAX_SERVER_ROWS, &relays, |rows| datagram(true, rows)).await;
    }

    /// Sends rows in as many datagrams as they need, with at most `most` in each.
    async fn send_rows<T: Copy>(
        &self,
        rows: &[T],
        most: usize,
        to: &[SocketAddr],
        datagram: impl Fn(Vec<T>) -> Datagram,
    ) {
        for chunk in rows.chunks(most) {
            self.send(&datagram(chunk.to_vec()), to).await;
        }
    }

    async fn send_status(&self, to: &[SocketAddr]) {
        let (status, tail) = self.status();
        self.send_encoded(datagram::encode(&status, tail), to).await;
    }

    async fn tick(&mut self) {
        let now = self.shared.now();
        self.check_suspension();
        let (due, live_nodes, counts) = {
            let mut fleet = self.shared.fleet();
            let Fleet { peers, rng, registry, crash_records, .. } = &mut *fleet;
            registry.tick(now);
            crash_records.tick(now);
            let counts = peers.node_counts(now);
            registry.set_nodes(now, counts);
            (peers.take_due(now, rng), peers.live_count(now), counts)
        };
        {
            let mut quotas = self.shared.quotas();
            quotas.set_nodes(now, counts);
            quotas.tick(now);
        }
        if live_nodes != self.live_nodes {
            log::info!(target: "peers", nodes = live_nodes, before = self.live_nodes;
                "the number of live nodes changed");
            metrics::gauge!("redwing_gateway_peers").set((live_nodes - 1) as f64);
            self.live_nodes = live_nodes;
        }
        self.log_slowdown();
        if !due.is_empty() {
            self.send_status(&due).await;
        }
        let report_interval = fan_out::report_interval(self.shared.fleet().peers.slowdown());
        if now.since(self.last_report) >= report_interval {
            self.send_report(false).await;
        }
        self.send_limits().await;
        self.send_crashes().await;
        self.send_quotas(now).await;
        if now.since(self.last_relayed) >= report_interval {
            self.send_relayed().await;
        }
        self.shared.pool.close_expired(now);
        self.catch_up.fetch_newer_state(now, &self.shared);
    }

    /// Logs a change of the slowdown that suits the fleet. The one in force follows it slowly.
    fn log_slowdown(&mut self) {
        let target = self.shared.fleet().peers.target_slowdown();
        if target != self.slowdown {
            let typical = self.shared.fleet().peers.typical_share();
            log::info!(target: "peers", percent = target.percent(), before = self.slowdown.percent(),
                typical_thousandths = typical.thousandths();
                "the intervals of messages to other nodes change with the processors of the fleet");
            self.slowdown = target;
        }
    }

    /// Reads all state again after the machine was suspended, as the known state may be out of date.
    fn check_suspension(&mut self) {
        let suspended = self.shared.clock.suspended();
        if suspended.as_micros() > (self.suspended + MAX_SUSPENSION).as_micros() {
            let pause = suspended - self.suspended;
            log::warn!(target: "clock", ms = pause.as_millis();
                "the machine was suspended, reading all state again");
            self.shared.restart_calls.notify_waiters();
            self.shared.pool.close_all_idle();
        }
        self.suspended = suspended;
    }

    /// Sends the observations since the last report. One with a failure goes to more nodes.
    async fn send_report(&mut self, has_failure: bool) {
        let now = self.shared.now();
        self.last_report = now;
        let (mut rows, mut outcomes) = {
            let mut fleet = self.shared.fleet();
            let registry = &mut fleet.registry;
            let rows: Vec<RowDoc> = registry.take_reports().into_iter().map(RowDoc::from).collect();
            if rows.is_empty() {
                return;
            }
            let counts = registry.take_outcome_counts().into_iter();
            (rows, counts.map(OutcomesDoc::from).collect::<Vec<_>>())
        };
        let audience = if has_failure { Audience::Failure } else { Audience::Periodic };
        let (near, relays) = self.report_targets(now, audience);
        let from = self.shared.start_id;
        while !rows.is_empty() || !outcomes.is_empty() {
            let rows = rows.split_off(rows.len().saturating_sub(MAX_ROWS));
            let outcomes = outcomes.split_off(outcomes.len().saturating_sub(MAX_OUTCOMES));
            let report = |relay| Datagram::Report {
                from,
                relay,
                rows: rows.clone(),
                outcomes: outcomes.clone(),
            };
            self.send(&report(false), &near).await;
            self.send(&report(true), &relays).await;
        }
    }

    /// Sends the queued reports of other data centres to nodes of this one, as many in a datagram as fit.
    async fn send_relayed(&mut self) {
        if self.relay_queue.is_empty() {
            return;
        }
        let now = self.shared.now();
        self.last_relayed = now;
        let (near, _) = self.report_targets(now, Audience::Periodic);
        for batch in self.relay_queue.take_batches() {
            self.send(&Datagram::Relayed(batch), &near).await;
        }
    }

    /// Sends this node's status to nodes of its own data centre, after new records from the store.
    async fn send_status_nearby(&self) {
        let now = self.shared.now();
        let near = self.shared.fleet().nearby_peers(now);
        self.send_status(&near).await;
    }

    /// Sends this node's status to every known node, after a change of its phase.
    async fn send_status_to_all(&self) {
        let all = self.shared.fleet().peers.addresses();
        self.send_status(&all).await;
    }

    async fn send(&self, datagram: &Datagram, to: &[SocketAddr]) {
        self.send_encoded(datagram::encode(datagram, StatusTail::default()), to).await;
    }

    async fn send_encoded(&self, encoded: postcard::Result<Vec<u8>>, to: &[SocketAddr]) {
        let bytes = match encoded {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!(target: "peers", "cannot encode a datagram, it is not sent: {e}");
                return;
            }
        };
        for addr in to {
            // A failed send is treated like a datagram that the network drops.
            if self.socket.send_to(&bytes, addr).await.is_ok() {
                count_datagram("out", bytes.len());
            }
        }
    }
}

/// Counts a datagram that was sent or received in the metrics.
fn count_datagram(direction: &'static str, bytes: usize) {
    metrics::counter!("redwing_peer_bytes_total", "direction" => direction).increment(bytes as u64);
    metrics::counter!("redwing_peer_datagrams_total", "direction" => direction).increment(1);
}
