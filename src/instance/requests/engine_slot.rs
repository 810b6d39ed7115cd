//! Acquires a slot at an engine for a request, by a permit of a home or by a baseline.

use std::time::Duration;

use crate::{
    configs::fleet::{Service, service::Placement},
    contract::{
        outcome::Refusal,
        permit::{PermitRequest, RefuseReason, ReleaseKind, Reply},
    },
    instance::{
        cluster_state::snapshot::ServiceView,
        requests::{
            permit_client::{Permit, PermitError},
            placement_hint,
            request::Request,
        },
        shared::Shared,
    },
    names::Tag,
    utils::sync::lock,
    zone::{rendezvous::ChatKey, shard::Shard},
};

/// Most times that a request for a permit is sent again because a home was lost.
const LOST_HOMES_MAX: u32 = 6;

/// `Retry-After` of a rejection that has no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A slot at an engine.
#[derive(Debug)]
pub enum EngineSlot {
    /// Granted by a home.
    Permit(Permit),
    /// Chosen by this entry alone, without a permit.
    Baseline(Tag),
}

impl EngineSlot {
    /// Returns the engine.
    pub fn engine(&self) -> Tag {
        match self {
            EngineSlot::Permit(permit) => permit.engine,
            EngineSlot::Baseline(engine) => *engine,
        }
    }
}

/// Why no slot was acquired.
#[derive(Debug)]
pub enum SlotError {
    /// The request is rejected with this response.
    Rejected(Refusal),
    /// The caller disconnected.
    CallerGone,
}

/// Acquires a slot for a request at an engine that is not in `avoid`.
///
/// # Errors
///
/// The request is rejected and has not run, or its caller disconnected.
pub fn acquire(
    shared: &Shared,
    view: &ServiceView,
    team: Tag,
    request: &Request,
    avoid: &[Tag],
    keep_waiting: &mut dyn FnMut() -> bool,
) -> Result<EngineSlot, SlotError> {
    // Requests that belong to no chat get a random key, which spreads them evenly.
    let chat = request.chat.unwrap_or_else(|| ChatKey(fastrand::u64(..)));
    if view.service.placement != Placement::Permit {
        return choose_by_baseline(shared, view, chat, avoid);
    }
    let key = &shared.settings.credentials.placement;
    let hint = request.hint.as_deref().and_then(|hint| placement_hint::decode(key, chat, hint));
    let started_at = shared.clock.now();
    let ranked = view.ranked_shards(chat);
    let mut requester = PermitRequester { shared, team, request, chat, hint, avoid, lost_homes: 0 };
    let mut result = None;
    for (at, shard) in ranked.iter().enumerate() {
        result = Some(requester.request_permit(shard, at + 1 < ranked.len(), keep_waiting));
        if !matches!(result, Some(Err(PermitError::Reply(Reply::Spill)))) {
            break;
        }
    }
    let elapsed = shared.clock.now() - started_at;
    let result = result.unwrap_or(Err(PermitError::Reply(Reply::Refused {
        reason: RefuseReason::NoEngine,
        retry_after_ms: 1000,
    })));
    shared.metrics.permit_reply(reply_label(&result), elapsed);
    result.map(EngineSlot::Permit).map_err(|error| rejection(error, view.service.id.as_str()))
}

/// Releases a slot.
pub fn release(
    shared: &Shared,
    service: &Service,
    slot: EngineSlot,
    kind: ReleaseKind,
    load: Option<u32>,
) {
    match slot {
        EngineSlot::Permit(permit) => shared.permit_client.release(permit, kind, load),
        EngineSlot::Baseline(engine) => {
            let now = shared.clock.now();
            lock(&shared.baselines)
                .entry(service.id.clone())
                .or_default()
                .finish_request(now, engine, load);
        }
    }
}

fn choose_by_baseline(
    shared: &Shared,
    view: &ServiceView,
    chat: ChatKey,
    avoid: &[Tag],
) -> Result<EngineSlot, SlotError> {
    let service = &view.service;
    let now = shared.clock.now();
    let mut baselines = lock(&shared.baselines);
    let baseline = baselines.entry(service.id.clone()).or_default();
    let chosen =
        baseline.choose(now, service.placement, &view.engines, chat, avoid, service.load_bound);
    let engine = chosen.ok_or_else(|| {
        rejection(
            PermitError::Reply(Reply::Refused {
                reason: RefuseReason::NoEngine,
                retry_after_ms: 1000,
            }),
            view.service.id.as_str(),
        )
    })?;
    baseline.start_request(engine);
    Ok(EngineSlot::Baseline(engine))
}

struct PermitRequester<'a> {
    shared: &'a Shared,
    team: Tag,
    request: &'a Request,
    chat: ChatKey,
    hint: Option<Tag>,
    avoid: &'a [Tag],
    lost_homes: u32,
}

impl PermitRequester<'_> {
    /// Requests a permit from the home of `shard`; if that is lost, from the next home.
    fn request_permit(
        &mut self,
        shard: &Shard,
        may_spill: bool,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Result<Permit, PermitError> {
        let id = self.shared.permit_client.next_permit_id();
        loop {
            let now = self.shared.clock.now();
            let time_left = self.request.deadline.saturating_duration_since(now);
            if time_left.is_zero() {
                return Err(PermitError::Deadline);
            }
            let permit_request = PermitRequest {
                id,
                chat: self.chat,
                team: self.team,
                time_left,
                hint: self.hint,
                avoid: self.avoid.to_vec(),
                may_spill,
            };
            let home = self.shared.home_of(shard);
            let result =
                self.shared.permit_client.request(home, shard.id, &permit_request, keep_waiting);
            if result != Err(PermitError::HomeLost) || self.lost_homes >= LOST_HOMES_MAX {
                return result;
            }
            self.lost_homes += 1;
            lock(&self.shared.membership).note_failure(now, home);
        }
    }
}

fn reply_label(result: &Result<Permit, PermitError>) -> &'static str {
    match result {
        Ok(_) => "granted",
        Err(PermitError::Reply(Reply::Refused { reason, .. })) => match reason {
            RefuseReason::TeamInFlight => "team-in-flight",
            RefuseReason::TeamRate => "team-rate",
            RefuseReason::QueueFull => "queue-full",
            RefuseReason::Deadline => "deadline",
            RefuseReason::NoEngine => "no-engine",
        },
        Err(PermitError::Reply(_)) => "spill",
        Err(PermitError::HomeLost) => "home-lost",
        Err(PermitError::Deadline) => "deadline",
        Err(PermitError::CallerGone) => "caller-gone",
    }
}

fn rejection(error: PermitError, service: &str) -> SlotError {
    let retry = |ms: u32| Duration::from_millis(u64::from(ms));
    let refusal = match error {
        PermitError::CallerGone => return SlotError::CallerGone,
        PermitError::Deadline => Refusal::not_run(
            503,
            "no room in time",
            format!("no engine of {service} had room before the deadline; send it again or give it more time"),
        )
        .retry_after(DEFAULT_RETRY_AFTER),
        PermitError::HomeLost => Refusal::not_run(
            503,
            "no permit",
            format!("no instance could grant a permit for {service}; send it again"),
        )
        .retry_after(DEFAULT_RETRY_AFTER),
        PermitError::Reply(Reply::Refused { reason, retry_after_ms }) => {
            refusal_for_reason(reason, service).retry_after(retry(retry_after_ms))
        }
        PermitError::Reply(_) => {
            refusal_for_reason(RefuseReason::NoEngine, service).retry_after(DEFAULT_RETRY_AFTER)
        }
    };
    SlotError::Rejected(refusal)
}

fn refusal_for_reason(reason: RefuseReason, service: &str) -> Refusal {
    match reason {
        RefuseReason::TeamInFlight => Refusal::not_run(
            429,
            "team limit",
            format!(
                "the team has as many requests in flight at {service} as it may; wait for one to end"
            ),
        ),
        RefuseReason::TeamRate => Refusal::not_run(
            429,
            "team rate",
            format!("the team sends more requests a second to {service} than it may; send fewer"),
        ),
        RefuseReason::QueueFull => Refusal::not_run(
            503,
            "queue full",
            format!(
                "as many requests wait for {service} as may; send it again after the time in Retry-After"
            ),
        ),
        RefuseReason::Deadline => Refusal::not_run(
            503,
            "no room in time",
            format!(
                "{service} cannot answer before the deadline; send it again later or give it more time"
            ),
        ),
        RefuseReason::NoEngine => Refusal::not_run(
            503,
            "no engine",
            format!(
                "no engine of {service} takes work now; send it again after the time in Retry-After"
            ),
        ),
    }
}
