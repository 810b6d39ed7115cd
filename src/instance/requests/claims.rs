//! Claims of idempotency keys, stored in the platform's table and written in groups.

use std::{
    collections::HashSet,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    clock::Clock,
    configs::fleet::chunks::{decode, encode},
    contract::{
        claim::{Claim, ClaimState, ClaimVerdict, StoredResponse, decide},
        outcome::Refusal,
    },
    platform::{Expect, Operation, PlatformError, Row, Table, TransactReply, Write},
    utils::sync::lock,
};

/// Most operations in one transaction.
const GROUP_MAX: usize = 64;

/// Time for which a write that the table did not accept is retried.
const DEFERRED_MAX_AGE: Duration = Duration::from_secs(60);

/// Result of one operation of a group.
#[derive(Debug, Clone)]
enum WriteResult {
    Committed,
    Conflict(Option<Row>),
    Failed(PlatformError),
}

#[derive(Debug)]
struct Pending {
    operation: Operation,
    slot: Arc<(Mutex<Option<WriteResult>>, Condvar)>,
}

#[derive(Debug, Default)]
struct WriteQueue {
    is_writing: bool,
    pending: Vec<Pending>,
}

/// A claim that this instance has made.
#[derive(Debug, Clone)]
pub struct HeldClaim {
    /// Key of its row.
    pub key: String,
    /// Content of the row when the claim was made.
    pub claim: Claim,
    version: u64,
}

/// What a request with an idempotency key may do.
#[derive(Debug)]
pub enum ClaimDecision {
    /// Run; the claim must be finished afterwards.
    Run(HeldClaim),
    /// Send the stored response.
    Replay(StoredResponse),
    /// Reject the request.
    Refuse(Refusal),
}

/// A write that the table did not accept.
#[derive(Debug)]
struct DeferredWrite {
    key: String,
    claim: Claim,
    /// Result to be written; `None` if the claim is to be released.
    state: Option<ClaimState>,
    expires_at: Instant,
}

/// The claims of one instance.
pub struct Claims {
    table: Table,
    clock: Clock,
    queue: Mutex<WriteQueue>,
    write_done: Condvar,
    deferred: Mutex<Vec<DeferredWrite>>,
}

impl Claims {
    /// Returns the claims stored in `table`.
    pub fn new(table: Table, clock: Clock) -> Claims {
        Claims {
            table,
            clock,
            queue: Mutex::default(),
            write_done: Condvar::new(),
            deferred: Mutex::default(),
        }
    }

    /// Claims `key` for a request before it is forwarded, and returns what the request may do.
    ///
    /// While the table is unavailable, requests with a key must not run.
    pub fn begin(&self, key: &str, own: &Claim) -> ClaimDecision {
        match self.write(Operation::create(key, encode(own))) {
            WriteResult::Committed => run_decision(key, own, 1),
            WriteResult::Conflict(row) => self.decide_by_row(key, own, row, true),
            WriteResult::Failed(error) => self.resolve_failed_write(key, own, &error),
        }
    }

    /// Decides after a failed write. If only its reply was lost, the row shows whether the write took effect.
    fn resolve_failed_write(&self, key: &str, own: &Claim, error: &PlatformError) -> ClaimDecision {
        if !error.may_have_taken_effect() {
            return ClaimDecision::Refuse(claim_not_kept(error));
        }
        match self.table.get(key) {
            Ok(Some(row)) => self.decide_by_row(key, own, Some(row), false),
            // The write may still take effect: the request must not run, and a row that appears
            // later is deleted.
            Ok(None) | Err(_) => {
                self.defer(key, own, None);
                ClaimDecision::Refuse(claim_not_kept(error))
            }
        }
    }

    fn decide_by_row(
        &self,
        key: &str,
        own: &Claim,
        row: Option<Row>,
        may_renew: bool,
    ) -> ClaimDecision {
        let claim_changing = || {
            ClaimDecision::Refuse(claim_not_kept(&PlatformError::Unavailable(
                "the claim is changing".to_owned(),
            )))
        };
        let Some(row) = row else { return claim_changing() };
        let Ok(found) = decode::<Claim>(&row.value) else {
            return ClaimDecision::Refuse(Refusal::unknown(
                409,
                "outcome unknown",
                "the claim of this Idempotency-Key was written by another version; it is not run again",
            ));
        };
        match decide(own, &found, self.clock.wall_millis()) {
            ClaimVerdict::Run => run_decision(key, own, row.version),
            ClaimVerdict::Replay(response) => ClaimDecision::Replay(response),
            ClaimVerdict::Refuse(refusal) => ClaimDecision::Refuse(refusal),
            ClaimVerdict::Renew if may_renew => {
                match self.write(Operation::replace(key, row.version, encode(own))) {
                    WriteResult::Committed => run_decision(key, own, row.version.saturating_add(1)),
                    WriteResult::Conflict(row) => self.decide_by_row(key, own, row, false),
                    WriteResult::Failed(error) => self.resolve_failed_write(key, own, &error),
                }
            }
            ClaimVerdict::Renew => claim_changing(),
        }
    }

    /// Writes the result of a claimed request. `None` releases the claim: the request was not run.
    ///
    /// A write that the table does not accept now is retried by [`Claims::tick`]. Until it succeeds, repeated
    /// requests are rejected with the outcome `unknown`.
    pub fn finish(&self, held: &HeldClaim, state: Option<ClaimState>) {
        let operation = finish_operation(&held.key, &held.claim, held.version, &state);
        if !matches!(self.write(operation), WriteResult::Committed) {
            self.defer(&held.key, &held.claim, state);
        }
    }

    fn defer(&self, key: &str, claim: &Claim, state: Option<ClaimState>) {
        let expires_at = self.clock.now() + DEFERRED_MAX_AGE;
        let deferred =
            DeferredWrite { key: key.to_owned(), claim: claim.clone(), state, expires_at };
        lock(&self.deferred).push(deferred);
    }

    /// Retries deferred writes; called every few hundred milliseconds.
    pub fn tick(&self) {
        let deferred = std::mem::take(&mut *lock(&self.deferred));
        let now = self.clock.now();
        let remaining: Vec<DeferredWrite> = deferred
            .into_iter()
            .filter(|d| d.expires_at > now && !self.retry_deferred(d))
            .collect();
        lock(&self.deferred).extend(remaining);
    }

    /// Returns the number of writes that the table has not accepted yet.
    pub fn deferred(&self) -> usize {
        lock(&self.deferred).len()
    }

    /// Retries a deferred write; returns whether it needs no further retry.
    fn retry_deferred(&self, DeferredWrite { key, claim, state, .. }: &DeferredWrite) -> bool {
        let Ok(row) = self.table.get(key) else { return false };
        // The row of a claim to be released may still appear; that of a claim with a result existed and was removed.
        let Some(row) = row else { return state.is_some() };
        let Ok(found) = decode::<Claim>(&row.value) else { return true };
        if found.attempt != claim.attempt || found.state != ClaimState::Running {
            return true;
        }
        matches!(
            self.write(finish_operation(key, claim, row.version, state)),
            WriteResult::Committed
        )
    }

    /// Writes one operation, in a group with those of other requests.
    fn write(&self, operation: Operation) -> WriteResult {
        let slot = Arc::new((Mutex::new(None), Condvar::new()));
        let mut queue = lock(&self.queue);
        queue.pending.push(Pending { operation, slot: Arc::clone(&slot) });
        loop {
            if let Some(result) = lock(&slot.0).take() {
                return result;
            }
            if !queue.is_writing {
                queue.is_writing = true;
                let group = take_group(&mut queue.pending);
                drop(queue);
                self.write_group(group);
                queue = lock(&self.queue);
                queue.is_writing = false;
                self.write_done.notify_all();
                continue;
            }
            queue = match self.write_done.wait(queue) {
                Ok(queue) => queue,
                Err(poisoned) => poisoned.into_inner(),
            };
        }
    }

    /// Writes a group; operations whose condition fails are taken out and the rest is retried.
    fn write_group(&self, mut group: Vec<Pending>) {
        while !group.is_empty() {
            let operations = group.iter().map(|p| p.operation.clone()).collect();
            match self.table.transact(operations) {
                Ok(TransactReply::Committed) => {
                    group.drain(..).for_each(|p| complete(&p, WriteResult::Committed));
                }
                Ok(TransactReply::Conflict { key, row }) => {
                    let Some(at) = group.iter().position(|p| p.operation.key == key) else {
                        let error = PlatformError::InvalidReply(format!(
                            "conflict on {key}, which was not asked"
                        ));
                        group
                            .drain(..)
                            .for_each(|p| complete(&p, WriteResult::Failed(error.clone())));
                        return;
                    };
                    complete(&group.remove(at), WriteResult::Conflict(row));
                }
                Err(error) => {
                    group.drain(..).for_each(|p| complete(&p, WriteResult::Failed(error.clone())));
                }
            }
        }
    }
}

/// Takes the first operations from the queue, at most one for each row: two claims of one key must reach the table
/// in separate transactions.
fn take_group(pending: &mut Vec<Pending>) -> Vec<Pending> {
    let mut keys = HashSet::new();
    let all = std::mem::take(pending);
    let (group, rest) = all
        .into_iter()
        .partition(|p| keys.len() < GROUP_MAX && keys.insert(p.operation.key.clone()));
    *pending = rest;
    group
}

fn run_decision(key: &str, claim: &Claim, version: u64) -> ClaimDecision {
    ClaimDecision::Run(HeldClaim { key: key.to_owned(), claim: claim.clone(), version })
}

fn finish_operation(
    key: &str,
    claim: &Claim,
    version: u64,
    state: &Option<ClaimState>,
) -> Operation {
    let write = match state {
        None => Write::Delete,
        Some(state) => Write::Put(encode(&Claim { state: state.clone(), ..claim.clone() })),
    };
    Operation { key: key.to_owned(), expect: Expect::Version(version), write }
}

fn complete(pending: &Pending, result: WriteResult) {
    *lock(&pending.slot.0) = Some(result);
    pending.slot.1.notify_all();
}

fn claim_not_kept(error: &PlatformError) -> Refusal {
    let detail = format!(
        "the claim of the Idempotency-Key could not be kept ({error}); send it again with the same key"
    );
    Refusal::not_run(503, "claim not kept", detail).retry_after(Duration::from_secs(1))
}
