//! Claims of idempotency keys in the platform's table, written in groups.

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

/// Most operations of one transaction.
const GROUP_MAX: usize = 64;

/// Time for which a write that the table did not take is tried again.
const DEFERRED_FOR: Duration = Duration::from_secs(60);

/// What came of one operation of a group.
#[derive(Debug, Clone)]
enum Written {
    Yes,
    Conflict(Option<Row>),
    Fault(PlatformError),
}

#[derive(Debug)]
struct Pending {
    operation: Operation,
    slot: Arc<(Mutex<Option<Written>>, Condvar)>,
}

#[derive(Debug, Default)]
struct Line {
    busy: bool,
    pending: Vec<Pending>,
}

/// A claim in hand.
#[derive(Debug, Clone)]
pub struct HeldClaim {
    /// Key of its row.
    pub key: String,
    /// Its content when it was made.
    pub claim: Claim,
    version: u64,
}

/// What a request with a key may do.
#[derive(Debug)]
pub enum Begun {
    /// Run, and finish the claim afterwards.
    Run(HeldClaim),
    /// Give the stored answer again.
    Replay(StoredResponse),
    /// Refuse.
    Refuse(Refusal),
}

/// A write that the table did not take.
#[derive(Debug)]
struct Deferred {
    key: String,
    claim: Claim,
    /// `None`: the claim is given back.
    state: Option<ClaimState>,
    until: Instant,
}

/// The claims of one instance.
pub struct Claims {
    table: Table,
    clock: Clock,
    line: Mutex<Line>,
    freed: Condvar,
    deferred: Mutex<Vec<Deferred>>,
}

impl Claims {
    /// Returns the claims kept in `table`.
    pub fn new(table: Table, clock: Clock) -> Claims {
        Claims {
            table,
            clock,
            line: Mutex::default(),
            freed: Condvar::new(),
            deferred: Mutex::default(),
        }
    }

    /// Claims `key` for a request before it is sent on.
    ///
    /// Returns what the request may do. A table that is out means that it may not run.
    pub fn begin(&self, key: &str, own: &Claim) -> Begun {
        match self.write(Operation::create(key, encode(own))) {
            Written::Yes => held(key, own, 1),
            Written::Conflict(row) => self.judge_row(key, own, row, true),
            Written::Fault(fault) => self.after_fault(key, own, &fault),
        }
    }

    /// The own write failed or its reply was lost; in the second case the row tells.
    fn after_fault(&self, key: &str, own: &Claim, fault: &PlatformError) -> Begun {
        if !fault.may_have_taken_effect() {
            return Begun::Refuse(table_out(fault));
        }
        match self.table.get(key) {
            Ok(Some(row)) => self.judge_row(key, own, Some(row), false),
            // The write may still be on its way: the request must not run, and a row that
            // appears later is taken away.
            Ok(None) | Err(_) => {
                self.defer(key, own, None);
                Begun::Refuse(table_out(fault))
            }
        }
    }

    fn judge_row(&self, key: &str, own: &Claim, row: Option<Row>, may_renew: bool) -> Begun {
        let changing = || {
            Begun::Refuse(table_out(&PlatformError::Unavailable(
                "the claim is changing".to_owned(),
            )))
        };
        let Some(row) = row else { return changing() };
        let Ok(found) = decode::<Claim>(&row.value) else {
            return Begun::Refuse(Refusal::unknown(
                409,
                "outcome unknown",
                "the claim of this Idempotency-Key was written by another version; it is not run again",
            ));
        };
        match decide(own, &found, self.clock.wall_millis()) {
            ClaimVerdict::Run => held(key, own, row.version),
            ClaimVerdict::Replay(answer) => Begun::Replay(answer),
            ClaimVerdict::Refuse(refusal) => Begun::Refuse(refusal),
            ClaimVerdict::Renew if may_renew => {
                match self.write(Operation::replace(key, row.version, encode(own))) {
                    Written::Yes => held(key, own, row.version + 1),
                    Written::Conflict(row) => self.judge_row(key, own, row, false),
                    Written::Fault(fault) => self.after_fault(key, own, &fault),
                }
            }
            ClaimVerdict::Renew => changing(),
        }
    }

    /// Writes what became of a claimed request. `None` gives the claim back: it was not run.
    ///
    /// What the table does not take now is tried again by [`Claims::tick`]; until it is written,
    /// repeats are told that the outcome is unknown.
    pub fn finish(&self, held: &HeldClaim, state: Option<ClaimState>) {
        let operation = finishing(&held.key, &held.claim, held.version, &state);
        if !matches!(self.write(operation), Written::Yes) {
            self.defer(&held.key, &held.claim, state);
        }
    }

    fn defer(&self, key: &str, claim: &Claim, state: Option<ClaimState>) {
        let until = self.clock.now() + DEFERRED_FOR;
        let deferred = Deferred { key: key.to_owned(), claim: claim.clone(), state, until };
        lock(&self.deferred).push(deferred);
    }

    /// Tries deferred writes again; called every few hundred milliseconds.
    pub fn tick(&self) {
        let deferred = std::mem::take(&mut *lock(&self.deferred));
        let now = self.clock.now();
        let left: Vec<Deferred> =
            deferred.into_iter().filter(|d| d.until > now && !self.settle_deferred(d)).collect();
        lock(&self.deferred).extend(left);
    }

    /// Returns the number of writes that the table has not taken yet.
    pub fn deferred(&self) -> usize {
        lock(&self.deferred).len()
    }

    /// Returns whether nothing is left to do.
    fn settle_deferred(&self, Deferred { key, claim, state, .. }: &Deferred) -> bool {
        let Ok(row) = self.table.get(key) else { return false };
        // A claim that is being given back may appear later; one with a result was there.
        let Some(row) = row else { return state.is_some() };
        let Ok(found) = decode::<Claim>(&row.value) else { return true };
        if found.attempt != claim.attempt || found.state != ClaimState::Running {
            return true;
        }
        matches!(self.write(finishing(key, claim, row.version, state)), Written::Yes)
    }

    /// Writes one operation together with those of other requests.
    fn write(&self, operation: Operation) -> Written {
        let slot = Arc::new((Mutex::new(None), Condvar::new()));
        let mut line = lock(&self.line);
        line.pending.push(Pending { operation, slot: Arc::clone(&slot) });
        loop {
            if let Some(written) = lock(&slot.0).take() {
                return written;
            }
            if !line.busy {
                line.busy = true;
                let group = take_group(&mut line.pending);
                drop(line);
                self.write_group(group);
                line = lock(&self.line);
                line.busy = false;
                self.freed.notify_all();
                continue;
            }
            line = match self.freed.wait(line) {
                Ok(line) => line,
                Err(poisoned) => poisoned.into_inner(),
            };
        }
    }

    /// Writes a group; operations whose condition fails are set aside and the rest tried again.
    fn write_group(&self, mut group: Vec<Pending>) {
        while !group.is_empty() {
            let operations = group.iter().map(|p| p.operation.clone()).collect();
            match self.table.transact(operations) {
                Ok(TransactReply::Committed) => {
                    group.drain(..).for_each(|p| settle(&p, Written::Yes));
                }
                Ok(TransactReply::Conflict { key, row }) => {
                    let Some(at) = group.iter().position(|p| p.operation.key == key) else {
                        let fault = PlatformError::InvalidReply(format!(
                            "conflict on {key}, which was not asked"
                        ));
                        group.drain(..).for_each(|p| settle(&p, Written::Fault(fault.clone())));
                        return;
                    };
                    settle(&group.remove(at), Written::Conflict(row));
                }
                Err(fault) => {
                    group.drain(..).for_each(|p| settle(&p, Written::Fault(fault.clone())));
                }
            }
        }
    }
}

/// Takes the first operations, at most one for each row: two claims of one key must meet in the
/// table, one after the other.
fn take_group(pending: &mut Vec<Pending>) -> Vec<Pending> {
    let mut keys = HashSet::new();
    let all = std::mem::take(pending);
    let (group, rest) = all
        .into_iter()
        .partition(|p| keys.len() < GROUP_MAX && keys.insert(p.operation.key.clone()));
    *pending = rest;
    group
}

fn held(key: &str, claim: &Claim, version: u64) -> Begun {
    Begun::Run(HeldClaim { key: key.to_owned(), claim: claim.clone(), version })
}

fn finishing(key: &str, claim: &Claim, version: u64, state: &Option<ClaimState>) -> Operation {
    let write = match state {
        None => Write::Delete,
        Some(state) => Write::Put(encode(&Claim { state: state.clone(), ..claim.clone() })),
    };
    Operation { key: key.to_owned(), expect: Expect::Version(version), write }
}

fn settle(pending: &Pending, written: Written) {
    *lock(&pending.slot.0) = Some(written);
    pending.slot.1.notify_all();
}

fn table_out(fault: &PlatformError) -> Refusal {
    let detail = format!(
        "the claim of the Idempotency-Key could not be kept ({fault}); send it again with the same key"
    );
    Refusal::not_run(503, "claim not kept", detail).retry_after(Duration::from_secs(1))
}
