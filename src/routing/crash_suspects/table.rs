//! Reconciles the store's table of held requests with the verdicts.

use std::collections::HashSet;

use super::{
    Judgement, RequestFingerprint, SuspectDigest, SuspectKind, VerdictUpdate,
    verdicts::HOLD_DURATION,
};
use crate::routing::StoreEra;

/// A row of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRow {
    /// Digest of the request or part.
    pub digest: SuspectDigest,
    /// Fingerprint of the request, or of the parts that a part is held together with.
    pub fingerprint: RequestFingerprint,
    /// When the hold expires, in milliseconds of the store's steady clock.
    pub until_ms: u64,
    /// Whether a request or a part of prompts is held.
    pub kind: SuspectKind,
}

/// Changes that make the table and the verdicts agree.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct HeldTablePlan {
    /// Verdicts that only the table has.
    pub adopted: Vec<VerdictUpdate>,
    /// Requests whose rows an operator has removed.
    pub lifted: Vec<SuspectDigest>,
    /// Rows to write.
    pub write: Vec<HeldRow>,
    /// Rows to remove.
    pub remove: Vec<SuspectDigest>,
}

/// What the aggregator knows of the table.
#[derive(Debug)]
pub struct HeldTableSync {
    is_read: bool,
    /// Era of the store at the last read.
    era: StoreEra,
    /// Requests that had a row after the last plan was applied.
    present: HashSet<SuspectDigest>,
}

impl HeldRow {
    fn verdict(&self, now_ms: u64) -> Option<VerdictUpdate> {
        let left = self.until_ms.checked_sub(now_ms).filter(|left| *left > 0)?;
        let total = u64::try_from(HOLD_DURATION.as_millis()).unwrap_or(u64::MAX);
        let age_ms = total.saturating_sub(left);
        let HeldRow { digest, fingerprint, kind, .. } = *self;
        Some(VerdictUpdate { digest, fingerprint, judgement: Judgement::Held, age_ms, kind })
    }

    fn of(update: &VerdictUpdate, now_ms: u64) -> HeldRow {
        let total = u64::try_from(HOLD_DURATION.as_millis()).unwrap_or(u64::MAX);
        let until_ms = now_ms.saturating_add(total.saturating_sub(update.age_ms));
        let VerdictUpdate { digest, fingerprint, kind, .. } = *update;
        HeldRow { digest, fingerprint, until_ms, kind }
    }
}

impl HeldTableSync {
    /// Returns the state of an instance that has just started. `is_empty` tells that the table cannot have rows yet.
    pub fn new(is_empty: bool) -> HeldTableSync {
        HeldTableSync { is_read: is_empty, era: StoreEra::default(), present: HashSet::new() }
    }

    /// Returns whether the table need not be read: it has been read before, and no request is held.
    pub fn is_idle(&self, known: &[VerdictUpdate]) -> bool {
        self.is_read && self.present.is_empty() && known.is_empty()
    }

    /// Returns whether the table has been read.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Notes the era of the rows that are passed next. Rows that are missing in a new era were lost with the store
    /// rather than removed by an operator, so they are written again.
    pub fn note_era(&mut self, era: StoreEra) {
        if era != self.era {
            self.era = era;
            self.present.clear();
        }
    }

    /// Returns the changes for a table that has `rows` at `now_ms` and an instance that has the verdicts `known`.
    pub fn plan(&self, now_ms: u64, rows: &[HeldRow], known: &[VerdictUpdate]) -> HeldTablePlan {
        let mut plan = HeldTablePlan::default();
        let judgement = |digest| known.iter().find(|v| v.digest == digest).map(|v| v.judgement);
        for row in rows {
            match (row.verdict(now_ms), judgement(row.digest)) {
                (None, _) | (_, Some(Judgement::Cleared)) => plan.remove.push(row.digest),
                (Some(_), Some(_)) => {}
                (Some(update), None) => plan.adopted.push(update),
            }
        }
        for held in known.iter().filter(|update| update.judgement == Judgement::Held) {
            if rows.iter().any(|row| row.digest == held.digest) {
                continue;
            }
            if self.present.contains(&held.digest) {
                plan.lifted.push(held.digest);
            } else {
                plan.write.push(HeldRow::of(held, now_ms));
            }
        }
        plan
    }

    /// Notes that the plan for `rows` has been applied.
    pub fn mark_applied(&mut self, rows: &[HeldRow], plan: &HeldTablePlan) {
        self.is_read = true;
        let present = rows.iter().chain(&plan.write).map(|row| row.digest);
        self.present = present.filter(|digest| !plan.remove.contains(digest)).collect();
    }
}
