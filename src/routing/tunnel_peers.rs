//! Chooses the instance through which this one connects to a backend server that it does not reach itself.
//!
//! Each request chooses by its own hash, so that the other instances share the load, with a preference for the own
//! availability zone. Instances that have declined are skipped for a while: if most instances are partitioned, each is
//! asked once in that time, not by every request.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::{BackendServer, Candidates, Incarnation, InstanceInfo};
use crate::{
    names::{NodeName, ServiceName, Tag},
    zone::rendezvous,
};

/// How long an instance that has declined is skipped: about as long as it takes until it probes its own paths again.
const SKIP_DECLINED: Duration = Duration::from_millis(400);

/// How long an instance that did not reply is skipped: each question costs a request the whole timeout.
const SKIP_SILENT: Duration = Duration::from_secs(2);

/// Weight of an instance of another availability zone: traffic between zones costs money and takes longer.
const OTHER_ZONE_WEIGHT: f64 = 0.1;

/// Number of replies in a row that were of no help, from which only one request in [`ASK_PERIOD`] asks another instance.
const USELESS_MAX: u32 = 16;

/// Time between two questions while no instance helps. In a fleet of a thousand instances that are all partitioned, each
/// is asked twenty times a second.
const ASK_PERIOD: Duration = Duration::from_millis(50);

/// What became of a question to another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelReply {
    /// It has connected to the server.
    Opened,
    /// It could not connect to the server either, although it reaches others of the service.
    ServerUnreachable,
    /// It has no path to the server, and does not know whether the server is up.
    NoPath,
    /// It opens no tunnels to the service: it is partitioned itself, draining or full.
    Declined,
    /// It knows that the server accepts no requests: it is leaving, or wants a pause.
    Forbidden,
    /// It did not reply in time.
    Silent,
}

/// What is skipped at an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Skipped {
    Server(NodeName, Incarnation),
    Service(NodeName, ServiceName),
    Instance(NodeName),
}

/// What is known about the other instances as the way to backend servers.
#[derive(Debug, Default)]
pub struct TunnelPeers {
    skipped: IndexMap<Skipped, Instant>,
    useless_in_a_row: u32,
    asked_at: Option<Instant>,
}

impl TunnelPeers {
    /// Returns the instance to ask for a tunnel to `server` for a request with the hash `spread`; `None` if none may be
    /// asked now.
    pub fn choose(
        &mut self,
        now: Instant,
        candidates: &Candidates,
        server: &BackendServer,
        spread: u64,
    ) -> Option<InstanceInfo> {
        let asked_recently =
            self.asked_at.is_some_and(|at| now.saturating_duration_since(at) < ASK_PERIOD);
        if self.useless_in_a_row >= USELESS_MAX && asked_recently {
            return None;
        }
        self.skipped.retain(|_, until| now < *until);
        let zone = &candidates.own().zone;
        let score = |peer: &&InstanceInfo| {
            let weight = if peer.zone == *zone { 1.0 } else { OTHER_ZONE_WEIGHT };
            rendezvous::score(spread, Tag::of(peer.node.as_str()), weight)
        };
        let usable = candidates.responsive(now).filter(|peer| !self.is_skipped(peer, server));
        let chosen = usable.max_by(|a, b| score(a).total_cmp(&score(b)))?;
        self.asked_at = Some(now);
        Some(chosen.clone())
    }

    fn is_skipped(&self, peer: &InstanceInfo, server: &BackendServer) -> bool {
        // Most of the time nothing is skipped.
        let node = || peer.node.clone();
        !self.skipped.is_empty()
            && [
                Skipped::Server(node(), server.id.clone()),
                Skipped::Service(node(), server.service.clone()),
                Skipped::Instance(node()),
            ]
            .iter()
            .any(|skipped| self.skipped.contains_key(skipped))
    }

    /// Records the reply of an instance to a question for a tunnel to `server`.
    pub fn note_reply(
        &mut self,
        now: Instant,
        peer: &NodeName,
        server: &BackendServer,
        reply: TunnelReply,
    ) {
        let node = peer.clone();
        let (skipped, time) = match reply {
            TunnelReply::Opened | TunnelReply::Forbidden => {
                self.useless_in_a_row = 0;
                return;
            }
            TunnelReply::ServerUnreachable | TunnelReply::NoPath => {
                (Skipped::Server(node, server.id.clone()), SKIP_DECLINED)
            }
            TunnelReply::Declined => {
                (Skipped::Service(node, server.service.clone()), SKIP_DECLINED)
            }
            TunnelReply::Silent => (Skipped::Instance(node), SKIP_SILENT),
        };
        self.useless_in_a_row = self.useless_in_a_row.saturating_add(1);
        self.skipped.insert(skipped, now + time);
    }
}
