//! Claims: a request with an idempotency key runs at most once.
//!
//! A claim row is created before the request is sent on. Whoever finds a row that is not its own
//! never runs the request.

use serde::{Deserialize, Serialize};

use crate::{
    configs::fleet::chunks::Digest,
    contract::outcome::Refusal,
    names::{ServiceId, TeamId},
};

/// What a stored answer repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// Status.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// How far a claimed request has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// It may be running, or may have run without its answer being known.
    Running,
    /// It ran; the answer is kept.
    Done(StoredResponse),
    /// It ran; the answer was too large to keep.
    DoneTooLarge,
    /// It may have run; its answer is not known and it is never run again.
    Unknown,
}

/// A claim's row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Attempt that made the claim.
    pub attempt: String,
    /// Digest of method, target and body.
    pub request: Digest,
    /// State.
    pub state: ClaimState,
    /// When the request's deadline ends, in milliseconds since 1970.
    pub deadline_at: u64,
    /// When the claim ends, in milliseconds since 1970.
    pub expires_at: u64,
}

/// Returns the key of the row that claims `key` for `team` at `service`.
pub fn row_key(service: &ServiceId, team: &TeamId, key: &str) -> String {
    let digest = Digest::of(format!("{service}\n{team}\n{key}").as_bytes());
    format!("claim/{digest}")
}

/// What a request with a key may do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// Run: the claim is this attempt's own.
    Run,
    /// Give the stored answer again.
    Replay(StoredResponse),
    /// Take the expired row away (of this version) and claim anew.
    Renew,
    /// Refuse.
    Refuse(Refusal),
}

/// Decides what `own` may do, given the row that was found in its place.
pub fn decide(own: &Claim, found: &Claim, now_millis: u64) -> ClaimVerdict {
    if found.attempt == own.attempt {
        // The reply to the own write was lost, and the write took effect.
        return ClaimVerdict::Run;
    }
    if found.expires_at <= now_millis {
        return ClaimVerdict::Renew;
    }
    if found.request != own.request {
        return ClaimVerdict::Refuse(Refusal::not_run(
            422,
            "idempotency key reused",
            "this Idempotency-Key was used with another request; use a new key for a new request",
        ));
    }
    match &found.state {
        ClaimState::Done(answer) => ClaimVerdict::Replay(answer.clone()),
        ClaimState::DoneTooLarge => ClaimVerdict::Refuse(Refusal {
            outcome: super::outcome::Outcome::Run,
            ..Refusal::not_run(
                409,
                "already run",
                "the request ran before and its answer was too large to keep; it is not run again",
            )
        }),
        ClaimState::Running if now_millis < found.deadline_at => ClaimVerdict::Refuse(
            Refusal::unknown(
                409,
                "already running",
                "a request with this Idempotency-Key is running; ask again after the time in Retry-After",
            )
            .retry_after(std::time::Duration::from_secs(1)),
        ),
        ClaimState::Running | ClaimState::Unknown => ClaimVerdict::Refuse(Refusal::unknown(
            409,
            "outcome unknown",
            "an earlier request with this Idempotency-Key may have run and its answer is lost; it is not run again",
        )),
    }
}
