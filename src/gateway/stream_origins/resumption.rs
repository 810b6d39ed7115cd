//! Binds a request that resumes a stream of an earlier attempt to the software version that began the stream.

use std::time::Duration;

use super::{
    SILENCE_DURATION,
    messages::{OriginQuery, OriginReply},
};
use crate::{
    gateway::{Gateway, attempts::Refusal, forward::Forwarding, request::Request},
    names::{NodeName, SoftwareVersion},
    routing::{HOLDERS, InstanceInfo, RegisteredVersions, RouteShares, StreamKey, VersionRule},
    utils::sync::lock,
};

/// `Retry-After` if an instance that may know the version did not reply, or the store: another one will be asked by then.
const RETRY_AFTER_UNANSWERED: Duration = Duration::from_millis(100);

/// `Retry-After` if nobody knows the version. The caller had better begin its stream anew.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_secs(1);

/// Questions without a reply after which no further instance is asked: each may take up the timeout of a call.
const UNANSWERED_MAX: usize = 3;

/// The software version that began a stream, `None` if its service has no versions, and how it was found out.
type StreamVersion = (Option<SoftwareVersion>, Source);

/// How the version of a stream was found out.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Source {
    /// This instance holds the record.
    OwnRecord,
    /// One version of the service is registered.
    Registry,
    /// Another instance holds the record.
    Peer(String),
    /// One version of the service is registered, as another instance has read.
    PeerRegistry(String),
    /// The store has a checkpoint of the stream.
    Checkpoint,
}

impl Source {
    /// Returns the label value in metrics.
    fn label(&self) -> &'static str {
        match self {
            Source::OwnRecord => "own-record",
            Source::Registry => "registry",
            Source::Peer(_) => "peer",
            Source::PeerRegistry(_) => "peer-registry",
            Source::Checkpoint => "checkpoint",
        }
    }

    /// Returns the text for logs.
    fn text(&self) -> String {
        match self {
            Source::Peer(node) | Source::PeerRegistry(node) => format!("{}:{node}", self.label()),
            _ => self.label().to_owned(),
        }
    }
}

/// Why the version of a stream is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NotKnown {
    /// The caller does not name the attempt that brought the first event, and several versions or services may have.
    NotNamed,
    /// No instance knows the attempt that the caller names.
    NoRecord,
    /// An instance that may know it did not reply.
    Unanswered,
    /// No instance knows the attempt, and whether there are other versions could not be read.
    RegistryUnread,
    /// The stream began at another service.
    OtherService,
}

impl NotKnown {
    /// Returns the label value in metrics and logs.
    fn label(self) -> &'static str {
        match self {
            NotKnown::NotNamed => "not-named",
            NotKnown::NoRecord => "no-record",
            NotKnown::Unanswered => "unanswered",
            NotKnown::RegistryUnread => "registry-unread",
            NotKnown::OtherService => "other-service",
        }
    }

    fn refusal(self) -> Refusal {
        match self {
            NotKnown::Unanswered | NotKnown::RegistryUnread => {
                Refusal::unknown_version(RETRY_AFTER_UNANSWERED)
            }
            _ => Refusal::unknown_version(RETRY_AFTER_UNKNOWN),
        }
    }
}

impl Forwarding<'_> {
    /// Binds a request that resumes a stream to the version that began it; returns whether it may be sent. The
    /// refusal is recorded otherwise.
    pub(in crate::gateway) fn bind_resumption(&mut self) -> bool {
        if !self.request.is_resumption() {
            return true;
        }
        let found = self.gateway.version_of_stream(self.request);
        let (gateway, request) = (self.gateway, self.request);
        let label = match &found {
            Ok((_, source)) => source.label(),
            Err(reason) => reason.label(),
        };
        gateway.metrics.stream_resumption(&request.service, label);
        match found {
            Ok((version, source)) => {
                self.version = VersionRule::sole(version);
                log_resumption(
                    request,
                    &format!("software={} source={}", self.version, source.text()),
                );
                true
            }
            Err(reason) => {
                self.refusal = Some(reason.refusal());
                log_resumption(request, &format!("refused={}", reason.label()));
                false
            }
        }
    }
}

impl Gateway {
    /// Finds out which version began the stream that a request resumes; `None` if its service has no versions.
    fn version_of_stream(&self, request: &Request) -> Result<StreamVersion, NotKnown> {
        let now = self.clock.now();
        let key = request
            .metadata
            .resumes
            .as_deref()
            .map(|attempt| StreamKey::of(request.team_name(), attempt));
        if let Some(key) = key
            && let Some(origin) = lock(&self.stream_versions.origins).origin(now, key)
        {
            let version = origin.version_at(&request.service).ok_or(NotKnown::OtherService)?;
            return Ok((Some(version.clone()), Source::OwnRecord));
        }
        if !request.has_service_of_stream() {
            return Err(NotKnown::NotNamed);
        }
        // The list and the intent of this instance may be older than the stream, so that they do not decide.
        let shares = RouteShares::of(&request.route);
        let mut not_known = NotKnown::NoRecord;
        if !self.has_several_origins(now, &request.service, shares.route) {
            match self.registered_versions(&request.service, shares, request.received_at) {
                Ok(RegisteredVersions::One(version)) => return Ok((version, Source::Registry)),
                Ok(RegisteredVersions::Several) => {}
                Err(error) => {
                    log::info!("event=registry_unread reason={:?}", error.to_string());
                    not_known = NotKnown::RegistryUnread;
                }
            }
        }
        let key = key.ok_or(NotKnown::NotNamed)?;
        self.ask_holders(request, key, shares, not_known)
    }

    /// Asks the instances that should hold the record, and further ones in place of those that do not reply. `not_known`
    /// is the reason so far why the version is not known.
    fn ask_holders(
        &self,
        request: &Request,
        key: StreamKey,
        shares: RouteShares,
        mut not_known: NotKnown,
    ) -> Result<StreamVersion, NotKnown> {
        let query = OriginQuery {
            key,
            service: request.service.clone(),
            shares,
            reads_registry: not_known == NotKnown::RegistryUnread,
        };
        // The record may be held where nobody replied.
        if !self.peers.has_joined(self.clock.now()) {
            not_known = NotKnown::Unanswered;
        }
        let (mut replies, mut unanswered) = (0, 0);
        for instance in self.instances_by_rank(key) {
            if replies == HOLDERS || unanswered == UNANSWERED_MAX {
                break;
            }
            let now = self.clock.now();
            if now >= request.deadline || self.stream_versions.is_silent(now, &instance.node) {
                not_known = NotKnown::Unanswered;
                continue;
            }
            match self.peers.ask_origin(instance.address, &query) {
                Ok(OriginReply::Began(origin)) => {
                    let version =
                        origin.version_at(&request.service).ok_or(NotKnown::OtherService)?;
                    return Ok((Some(version.clone()), Source::Peer(instance.node.to_string())));
                }
                Ok(OriginReply::SoleRegistered(version)) => {
                    return Ok((version, Source::PeerRegistry(instance.node.to_string())));
                }
                Ok(OriginReply::Unknown) => replies += 1,
                Err(reason) => {
                    log::info!("event=origin_unanswered peer={} reason={reason:?}", instance.node);
                    self.note_silent(&instance.node);
                    not_known = NotKnown::Unanswered;
                    unanswered += 1;
                }
            }
        }
        // A store that does not answer for the registry is not asked for another table.
        if query.reads_registry {
            return Err(not_known);
        }
        let origin = self.checkpointed_origin(key).ok_or(not_known)?;
        let version = origin.version_at(&request.service).ok_or(NotKnown::OtherService)?;
        Ok((Some(version.clone()), Source::Checkpoint))
    }

    /// Returns the other instances, in the order in which they hold the record of a stream.
    fn instances_by_rank(&self, key: StreamKey) -> Vec<InstanceInfo> {
        let candidates = lock(&self.peers.candidates);
        key.others_by_rank(&candidates).into_iter().cloned().collect()
    }

    fn note_silent(&self, node: &NodeName) {
        let now = self.clock.now();
        let mut silent = lock(&self.stream_versions.silent);
        silent.retain(|_, until| now < *until);
        silent.insert(node.clone(), now + SILENCE_DURATION);
    }
}

/// Logs a request that resumes a stream, and the result.
fn log_resumption(request: &Request, result: &str) {
    let metadata = &request.metadata;
    log::info!(
        "event=stream_resume_requested request={} resumes={} after_event={} {result}",
        metadata.id,
        metadata.resumes.as_deref().unwrap_or("none"),
        metadata.last_event_id.as_deref().unwrap_or("none")
    );
}
