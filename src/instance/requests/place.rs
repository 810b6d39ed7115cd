//! Finds the engine that may take a request: by permit of a home, or by a baseline.

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
            desk::{AskEnd, Permit},
            request::Request,
            tokens,
        },
        shared::Shared,
    },
    names::Tag,
    utils::sync::lock,
    zone::{rendezvous::ChatKey, shard::Shard},
};

/// Homes tried that were not reached, before a request is refused.
const LOST_HOMES_MAX: u32 = 6;

/// Time to come back after a refusal that has no better estimate.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A place at an engine.
#[derive(Debug)]
pub enum Place {
    /// Granted by a home.
    Permit(Permit),
    /// Chosen by this entry alone.
    Alone(Tag),
}

impl Place {
    /// Returns the engine.
    pub fn engine(&self) -> Tag {
        match self {
            Place::Permit(permit) => permit.engine,
            Place::Alone(engine) => *engine,
        }
    }
}

/// Why there is no place.
#[derive(Debug)]
pub enum NoPlace {
    /// The caller is to be told this.
    Refused(Refusal),
    /// The caller went away.
    CallerGone,
}

/// Finds a place for a request, passing over the engines in `avoid`.
///
/// # Errors
///
/// The request is refused and has not run, or its caller went away.
pub fn obtain(
    shared: &Shared,
    view: &ServiceView,
    team: Tag,
    request: &Request,
    avoid: &[Tag],
    go_on: &mut dyn FnMut() -> bool,
) -> Result<Place, NoPlace> {
    // A request that belongs to no chat is spread evenly.
    let chat = request.chat.unwrap_or_else(|| ChatKey(fastrand::u64(..)));
    if view.service.placement != Placement::Permit {
        return alone(shared, view, chat, avoid);
    }
    let key = &shared.settings.credentials.placement;
    let hint = request.hint.as_deref().and_then(|hint| tokens::engine_of(key, chat, hint));
    let began = shared.clock.now();
    let ranked = view.ranked_shards(chat);
    let mut asker = Asker { shared, team, request, chat, hint, avoid, lost: 0 };
    let mut end = None;
    for (at, shard) in ranked.iter().enumerate() {
        end = Some(asker.ask(shard, at + 1 < ranked.len(), go_on));
        if !matches!(end, Some(Err(AskEnd::Reply(Reply::Spill)))) {
            break;
        }
    }
    let took = shared.clock.now() - began;
    let end = end.unwrap_or(Err(AskEnd::Reply(Reply::Refused {
        reason: RefuseReason::NoEngine,
        retry_after_ms: 1000,
    })));
    shared.metrics.permit_reply(reply_name(&end), took);
    end.map(Place::Permit).map_err(|end| refusal_of(end, view.service.id.as_str()))
}

/// Gives a place back.
pub fn release(
    shared: &Shared,
    service: &Service,
    place: Place,
    kind: ReleaseKind,
    load: Option<u32>,
) {
    match place {
        Place::Permit(permit) => shared.desk.release(permit, kind, load),
        Place::Alone(engine) => {
            let now = shared.clock.now();
            lock(&shared.baselines)
                .entry(service.id.clone())
                .or_default()
                .finish_request(now, engine, load);
        }
    }
}

fn alone(
    shared: &Shared,
    view: &ServiceView,
    chat: ChatKey,
    avoid: &[Tag],
) -> Result<Place, NoPlace> {
    let service = &view.service;
    let now = shared.clock.now();
    let mut baselines = lock(&shared.baselines);
    let baseline = baselines.entry(service.id.clone()).or_default();
    let chosen =
        baseline.choose(now, service.placement, &view.engines, chat, avoid, service.load_bound);
    let engine = chosen.ok_or_else(|| {
        refusal_of(
            AskEnd::Reply(Reply::Refused { reason: RefuseReason::NoEngine, retry_after_ms: 1000 }),
            view.service.id.as_str(),
        )
    })?;
    baseline.start_request(engine);
    Ok(Place::Alone(engine))
}

struct Asker<'a> {
    shared: &'a Shared,
    team: Tag,
    request: &'a Request,
    chat: ChatKey,
    hint: Option<Tag>,
    avoid: &'a [Tag],
    lost: u32,
}

impl Asker<'_> {
    /// Asks the home of `shard`; a home that is not reached is passed over and the next asked.
    fn ask(
        &mut self,
        shard: &Shard,
        may_spill: bool,
        go_on: &mut dyn FnMut() -> bool,
    ) -> Result<Permit, AskEnd> {
        let id = self.shared.desk.next_id();
        loop {
            let now = self.shared.clock.now();
            let time_left = self.request.deadline.saturating_duration_since(now);
            if time_left.is_zero() {
                return Err(AskEnd::Deadline);
            }
            let ask = PermitRequest {
                id,
                chat: self.chat,
                team: self.team,
                time_left,
                hint: self.hint,
                avoid: self.avoid.to_vec(),
                may_spill,
            };
            let home = self.shared.home_of(shard);
            let end = self.shared.desk.ask(home, shard.id, &ask, go_on);
            if end != Err(AskEnd::HomeLost) || self.lost >= LOST_HOMES_MAX {
                return end;
            }
            self.lost += 1;
            lock(&self.shared.membership).note_failure(now, home);
        }
    }
}

fn reply_name(end: &Result<Permit, AskEnd>) -> &'static str {
    match end {
        Ok(_) => "granted",
        Err(AskEnd::Reply(Reply::Refused { reason, .. })) => match reason {
            RefuseReason::TeamInFlight => "team-in-flight",
            RefuseReason::TeamRate => "team-rate",
            RefuseReason::QueueFull => "queue-full",
            RefuseReason::Deadline => "deadline",
            RefuseReason::NoEngine => "no-engine",
        },
        Err(AskEnd::Reply(_)) => "spill",
        Err(AskEnd::HomeLost) => "home-lost",
        Err(AskEnd::Deadline) => "deadline",
        Err(AskEnd::CallerGone) => "caller-gone",
    }
}

fn refusal_of(end: AskEnd, service: &str) -> NoPlace {
    let retry = |ms: u32| Duration::from_millis(u64::from(ms));
    let refusal = match end {
        AskEnd::CallerGone => return NoPlace::CallerGone,
        AskEnd::Deadline => Refusal::not_run(
            503,
            "no room in time",
            format!("no engine of {service} had room before the deadline; send it again or give it more time"),
        )
        .retry_after(RETRY_AFTER),
        AskEnd::HomeLost => Refusal::not_run(
            503,
            "no permit",
            format!("no instance could grant a permit for {service}; send it again"),
        )
        .retry_after(RETRY_AFTER),
        AskEnd::Reply(Reply::Refused { reason, retry_after_ms }) => {
            refusal_for(reason, service).retry_after(retry(retry_after_ms))
        }
        AskEnd::Reply(_) => refusal_for(RefuseReason::NoEngine, service).retry_after(RETRY_AFTER),
    };
    NoPlace::Refused(refusal)
}

fn refusal_for(reason: RefuseReason, service: &str) -> Refusal {
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
