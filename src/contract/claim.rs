//! Idempotency claims: a request with an idempotency key runs at most once.
//!
//! An instance creates the row of the claim before it forwards the request. An attempt that finds another attempt's
//! row, not yet expired, never runs the request.

use serde::{Deserialize, Serialize};

use crate::{
    configs::fleet::chunks::Digest,
    contract::outcome::Refusal,
    names::{ServiceId, TeamId},
};

/// A backend server's response, stored so that it can be replayed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end headers.
    pub headers: Vec<(String, String)>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// Progress of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// It may be running, or may have run without its response being known.
    Running,
    /// It ran; the response is stored.
    Done(StoredResponse),
    /// It ran; the response was too large to store.
    DoneTooLarge,
    /// It may have run; its response is not known and it is never run again.
    Unknown,
}

/// The row of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the attempt that made the claim.
    pub attempt: String,
    /// Digest of method, target and body.
    pub request: Digest,
    /// Progress of the request.
    pub state: ClaimState,
    /// Deadline of the request, in milliseconds since 1970.
    pub deadline_at: u64,
    /// When the claim expires, in milliseconds since 1970.
    pub expires_at: u64,
}

/// Returns the key of the row that claims `key` for `team` at `service`.
pub fn row_key(service: &ServiceId, team: &TeamId, key: &str) -> String {
    let digest = Digest::of(format!("{service}\n{team}\n{key}").as_bytes());
    format!("claim/{digest}")
}

/// What an attempt may do that found a claim's row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// Run the request: the claim is this attempt's own.
    Run,
    /// Return the stored response.
    Replay(StoredResponse),
    /// Delete the expired row, at the version that was read, and claim again.
    Renew,
    /// Reject the request with this response.
    Refuse(Refusal),
}

/// Decides what the attempt with the claim `own` may do, given the row `found` in its place.
pub fn decide(own: &Claim, found: &Claim, now_millis: u64) -> ClaimVerdict {
    if found.attempt == own.attempt {
        // The write of the own claim took effect, but its reply was lost.
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
        ClaimState::Done(response) => ClaimVerdict::Replay(response.clone()),
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
