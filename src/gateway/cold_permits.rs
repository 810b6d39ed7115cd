//! Asks other instances for permits of requests to cold backend servers, and grants them.

use std::{sync::Mutex, time::Duration};

use serde::{Deserialize, Serialize};

use super::Gateway;
use crate::{
    names::{ServiceName, Tag},
    routing::{ColdGranters, ColdGrants, ColdTerms, InstanceInfo, Picked},
    utils::sync::lock,
};

/// Path of the question.
pub const PERMIT_PATH: &str = "/cold";

/// Longest wait for a permit: several round trips between zones and a turn of a slow processor. Whoever waits longer
/// is better off with another server, which reads the prompt in that time.
pub const PERMIT_TIME: Duration = Duration::from_millis(60);

/// Asks whether one more request may go to a cold server.
#[derive(Debug, Serialize, Deserialize)]
pub struct PermitAsk {
    /// The server.
    pub server: Tag,
    /// Its service.
    pub service: ServiceName,
}

/// The answer.
#[derive(Debug, Serialize, Deserialize)]
pub struct PermitReply {
    /// Whether it may.
    pub granted: bool,
}

/// What came of a question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Permit {
    Granted,
    Denied,
    /// Those that could grant it do not answer.
    Unanswered,
    /// This instance has just started, and may take itself for the only one.
    NobodyKnown,
}

impl Permit {
    fn of(granted: bool) -> Permit {
        if granted { Permit::Granted } else { Permit::Denied }
    }

    /// Returns its name in metrics.
    fn name(self) -> &'static str {
        match self {
            Permit::Granted => "granted",
            Permit::Denied => "denied",
            Permit::Unanswered => "unanswered",
            Permit::NobodyKnown => "nobody-known",
        }
    }
}

/// What an instance knows of permits.
#[derive(Debug, Default)]
pub struct ColdPermits {
    grants: Mutex<ColdGrants>,
    granters: Mutex<ColdGranters>,
}

impl Gateway {
    /// Returns whether a request may go to the server that was picked for it: always, unless that is cold.
    pub fn may_send(&self, picked: &Picked) -> bool {
        let service = &picked.server.service;
        if !picked.cold || self.cold_terms(service).is_none() {
            return true;
        }
        let ask = PermitAsk { server: picked.server.tag(), service: service.clone() };
        let permit = self.request_permit(&ask);
        self.metrics.cold_permit(service, permit.name());
        permit == Permit::Granted
    }

    /// Returns what the servers of a service bear while they are cold, if that is little.
    pub(super) fn cold_terms(&self, service: &ServiceName) -> Option<ColdTerms> {
        self.cluster_state.intent()?.services.get(service)?.cold
    }

    fn request_permit(&self, ask: &PermitAsk) -> Permit {
        let now = self.clock.now();
        if !self.peers.has_joined(now) {
            return Permit::NobodyKnown;
        }
        let Some(granter) = self.granter(ask.server) else { return Permit::Unanswered };
        if self.peers.is_own(&granter) {
            return Permit::of(self.grant(ask));
        }
        match self.peers.request_permit(granter.address, ask) {
            Ok(reply) => Permit::of(reply.granted),
            Err(fault) => {
                log::info!("event=permit_unanswered peer={} reason={fault:?}", granter.node);
                let now = self.clock.now();
                lock(&self.cold_permits.granters).note_unresponsive(now, &granter.node);
                Permit::Unanswered
            }
        }
    }

    fn granter(&self, server: Tag) -> Option<InstanceInfo> {
        let candidates = lock(&self.peers.candidates);
        let granters = lock(&self.cold_permits.granters);
        granters.granter_of(self.clock.now(), server, &candidates).cloned()
    }

    /// Grants a permit if the server's rate leaves one.
    pub fn grant(&self, ask: &PermitAsk) -> bool {
        let Some(terms) = self.cold_terms(&ask.service) else { return false };
        lock(&self.cold_permits.grants).grant(self.clock.now(), ask.server, terms.rate)
    }
}
