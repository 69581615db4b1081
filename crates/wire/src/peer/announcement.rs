//! The wire form of a leader's ejections.

use crate::error::{Error, Result};
use redwingtrestle_core::{
    ids::{ServerAddr, ServiceName},
    process::ejections::{self, EjectionStage, Term},
    time::{Span, Timestamp},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// The wire form of `ejections::Announcement`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    service: Arc<str>,
    term: u64,
    sequence: u64,
    ttl_ms: u64,
    /// Send time of the recipient's latest report, in microseconds of the recipient's clock.
    echo: u64,
    servers: Vec<(SocketAddr, Stage)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum Stage {
    Ejected,
    Probation,
    SlowStart(u8),
}

impl From<&ejections::Announcement> for Announcement {
    fn from(a: &ejections::Announcement) -> Self {
        let encode_stage = |stage| match stage {
            EjectionStage::Ejected => Stage::Ejected,
            EjectionStage::Probation => Stage::Probation,
            EjectionStage::SlowStart(weight) => Stage::SlowStart(weight),
        };
        Announcement {
            service: a.service.0.clone(),
            term: a.term.0,
            sequence: a.sequence,
            ttl_ms: a.ttl.as_millis(),
            echo: a.echo.as_micros(),
            servers: a.servers.iter().map(|e| (e.server.0, encode_stage(e.stage))).collect(),
        }
    }
}

impl TryFrom<Announcement> for ejections::Announcement {
    type Error = Error;

    fn try_from(a: Announcement) -> Result<Self> {
        if a.servers.len() > ejections::MAX_ANNOUNCED_SERVERS {
            return Err(Error::datagram("announcement with too many servers"));
        }
        let announced_server = |(server, stage)| ejections::AnnouncedServer {
            server: ServerAddr(server),
            stage: match stage {
                Stage::Ejected => EjectionStage::Ejected,
                Stage::Probation => EjectionStage::Probation,
                Stage::SlowStart(weight) => EjectionStage::SlowStart(weight.min(100)),
            },
        };
        Ok(ejections::Announcement {
            service: ServiceName(a.service),
            term: Term(a.term),
            sequence: a.sequence,
            ttl: Span::from_millis(a.ttl_ms),
            echo: Timestamp::from_micros(a.echo),
            servers: a.servers.into_iter().map(announced_server).collect(),
        })
    }
}
