//! The choice of a backend server for one request, by expected loss.

use crate::{
    ids::{DataCentre, ServiceName},
    process::roster::{Member, Roster, ServerId},
    time::Timestamp,
};
use rand::Rng;
use std::net::SocketAddr;

/// `PickerOptions` weighs the reasons for and against a server. A loss of 1 is one failed request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickerOptions {
    /// How strongly a higher loss lowers the share of a server: a loss of 1 / `focus` more divides it by e.
    pub focus: f64,
    /// The loss of one more request at a server all of whose slots are busy. It grows with the square of the load.
    pub full: f64,
    /// The loss of a megabyte between data centres.
    pub zone_mb: f64,
}

impl Default for PickerOptions {
    fn default() -> Self {
        PickerOptions { focus: 16.0, full: 0.25, zone_mb: 0.0 }
    }
}

/// The load, in multiples of the slots, above which more load no longer matters for the choice.
const MAX_LOAD: f64 = 5.0;

/// `Ask` describes the request that needs a server.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The data centre of this node.
    pub zone: &'a DataCentre,
    /// The bytes that the request and its answer usually have.
    pub bytes: f64,
    /// Servers that were tried already.
    pub tried: &'a [ServerId],
    /// The most requests of this node in flight at one server.
    pub limit: u32,
}

/// `Choice` is the chosen server and what decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub id: ServerId,
    /// Its address.
    pub addr: SocketAddr,
    /// The probability that the request fails there.
    pub failure: f64,
    /// The known requests in flight there, of all nodes.
    pub load: u32,
    /// The servers among which it was chosen.
    pub among: usize,
}

/// Returns the loss that is expected of one more request at `member`.
fn loss(options: &PickerOptions, roster: &Roster, now: Timestamp, m: &Member, ask: &Ask<'_>) -> f64 {
    let slots = f64::from(m.entry().slots.max(1)) * m.speed(now);
    let load = f64::from(m.load(roster.options(), now) + 1) / slots;
    let crossing = if m.entry().zone == *ask.zone { 0.0 } else { options.zone_mb * ask.bytes / 1e6 };
    m.failure(&roster.options().belief, now) + options.full * load.min(MAX_LOAD).powi(2) + crossing
}

/// Chooses a server at random, those with a low expected loss far more often than others.
///
/// The choice is random because many nodes choose at once with nearly the same knowledge: all would take the one best
/// server. A server that failed some time ago keeps a small share, which shows when it is sound again.
pub fn pick(
    options: &PickerOptions,
    roster: &Roster,
    now: Timestamp,
    ask: &Ask<'_>,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let usable = roster.usable(now, ask.service);
    let open: Vec<(&Member, f64)> = usable
        .iter()
        .filter(|m| !ask.tried.contains(&m.entry().id) && m.in_flight() < ask.limit)
        .map(|m| (*m, loss(options, roster, now, m, ask)))
        .collect();
    let least = open.iter().map(|(_, loss)| *loss).min_by(f64::total_cmp)?;
    let weights: Vec<f64> =
        open.iter().map(|(_, loss)| (-options.focus * (loss - least)).exp()).collect();
    let mut point = rng.random::<f64>() * weights.iter().sum::<f64>();
    let index = weights.iter().position(|w| {
        point -= w;
        point < 0.0
    });
    let (member, _) = open[index.unwrap_or(open.len() - 1)];
    Some(Choice {
        id: member.entry().id.clone(),
        addr: member.entry().addr,
        failure: member.failure(&roster.options().belief, now),
        load: member.load(roster.options(), now),
        among: open.len(),
    })
}
