//! Permits for requests to cold backend servers: requested from other instances, and granted to them.

use std::{sync::Mutex, time::Duration};

use serde::{Deserialize, Serialize};

use super::Gateway;
use crate::{
    names::{ServiceName, Tag},
    routing::{ColdGranters, ColdGrants, ColdTerms, InstanceInfo, Picked},
    utils::sync::lock,
};

/// Path of permit requests.
pub const PERMIT_PATH: &str = "/cold";

/// Maximum wait for a permit: several round trips between zones plus a scheduling delay on a slow processor. After that
/// the request is better sent to another server, which processes the prompt within that time.
pub const PERMIT_TIMEOUT: Duration = Duration::from_millis(60);

/// A request for a permit to send one more request to a cold server.
#[derive(Debug, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The server.
    pub server: Tag,
    /// Its service.
    pub service: ServiceName,
}

/// The reply to a [`PermitRequest`].
#[derive(Debug, Serialize, Deserialize)]
pub struct PermitReply {
    /// Whether the request may be sent.
    pub granted: bool,
}

/// The result of a permit request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Permit {
    Granted,
    Denied,
    /// No granter is available, or the granter did not reply.
    Unanswered,
    /// This instance has just started and knows no other one, so it could wrongly act as the only granter.
    NoPeersKnown,
}

impl Permit {
    fn from_granted(granted: bool) -> Permit {
        if granted { Permit::Granted } else { Permit::Denied }
    }

    /// Returns the label value in metrics.
    fn label(self) -> &'static str {
        match self {
            Permit::Granted => "granted",
            Permit::Denied => "denied",
            Permit::Unanswered => "unanswered",
            Permit::NoPeersKnown => "nobody-known",
        }
    }
}

/// Permits granted by this instance, and the instances that grant permits to it.
#[derive(Debug, Default)]
pub struct ColdPermits {
    grants: Mutex<ColdGrants>,
    granters: Mutex<ColdGranters>,
}

impl Gateway {
    /// Returns whether a request may be sent to the picked server. Only a cold server of a service with a limit for
    /// cold servers needs a permit.
    pub fn may_send(&self, picked: &Picked) -> bool {
        let service = &picked.server.service;
        if !picked.cold || self.cold_terms(service).is_none() {
            return true;
        }
        let request = PermitRequest { server: picked.server.tag(), service: service.clone() };
        let permit = self.request_permit(&request);
        self.metrics.cold_permit(service, permit.label());
        permit == Permit::Granted
    }

    /// Returns the limit for cold servers of a service, if its servers have one.
    pub(super) fn cold_terms(&self, service: &ServiceName) -> Option<ColdTerms> {
        self.cluster_state.intent()?.services.get(service)?.cold
    }

    fn request_permit(&self, request: &PermitRequest) -> Permit {
        let now = self.clock.now();
        if !self.peers.has_joined(now) {
            return Permit::NoPeersKnown;
        }
        let Some(granter) = self.granter(request.server) else { return Permit::Unanswered };
        if self.peers.is_own(&granter) {
            return Permit::from_granted(self.grant(request));
        }
        match self.peers.request_permit(granter.address, request) {
            Ok(reply) => Permit::from_granted(reply.granted),
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

    /// Grants a permit unless the rate limit of the cold server is exhausted.
    pub fn grant(&self, request: &PermitRequest) -> bool {
        let Some(terms) = self.cold_terms(&request.service) else { return false };
        lock(&self.cold_permits.grants).grant(self.clock.now(), request.server, terms.rate)
    }
}
