//! What is to be done to keep the store's table of held requests and the verdicts in line.

use std::collections::HashSet;

use super::{Judgement, RequestDigest, RequestFingerprint, VerdictUpdate, verdicts::HOLD_DURATION};
use crate::routing::StoreEra;

/// A row of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRow {
    /// The request.
    pub digest: RequestDigest,
    /// Its look.
    pub fingerprint: RequestFingerprint,
    /// Until when it is held back, in milliseconds of the store's steady clock.
    pub until_ms: u64,
}

/// What is to be done.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct HeldTablePlan {
    /// Verdicts that the table tells.
    pub adopted: Vec<VerdictUpdate>,
    /// Requests whose rows somebody has removed.
    pub lifted: Vec<RequestDigest>,
    /// Rows to write.
    pub write: Vec<HeldRow>,
    /// Rows to remove.
    pub remove: Vec<RequestDigest>,
}

/// What the instance to which all turn knows of the table.
#[derive(Debug)]
pub struct HeldTableSync {
    is_read: bool,
    /// Era of the store of the rows seen.
    era: StoreEra,
    /// Requests whose rows were there.
    seen: HashSet<RequestDigest>,
}

impl HeldRow {
    fn verdict(&self, now_ms: u64) -> Option<VerdictUpdate> {
        let left = self.until_ms.checked_sub(now_ms).filter(|left| *left > 0)?;
        let whole = u64::try_from(HOLD_DURATION.as_millis()).unwrap_or(u64::MAX);
        let age_ms = whole.saturating_sub(left);
        let HeldRow { digest, fingerprint, .. } = *self;
        Some(VerdictUpdate { digest, fingerprint, judgement: Judgement::Held, age_ms })
    }

    fn of(told: &VerdictUpdate, now_ms: u64) -> HeldRow {
        let whole = u64::try_from(HOLD_DURATION.as_millis()).unwrap_or(u64::MAX);
        let until_ms = now_ms + whole.saturating_sub(told.age_ms);
        HeldRow { digest: told.digest, fingerprint: told.fingerprint, until_ms }
    }
}

impl HeldTableSync {
    /// Returns the watch of an instance that has just started; `is_empty` says that there can be no rows yet.
    pub fn new(is_empty: bool) -> HeldTableSync {
        HeldTableSync { is_read: is_empty, era: StoreEra::default(), seen: HashSet::new() }
    }

    /// Returns whether the table need not be looked at: it has been read, and nothing is held back.
    pub fn is_idle(&self, known: &[VerdictUpdate]) -> bool {
        self.is_read && self.seen.is_empty() && known.is_empty()
    }

    /// Returns whether the table has been read.
    pub fn is_read(&self) -> bool {
        self.is_read
    }

    /// Notes the era of the rows that are read next: those that are missing after the store's return were lost with it,
    /// not removed by an operator, and are written again.
    pub fn note_era(&mut self, era: StoreEra) {
        if era != self.era {
            self.era = era;
            self.seen.clear();
        }
    }

    /// Returns what is to be done where the table has those rows at `now_ms`, and those verdicts are known.
    pub fn plan(&self, now_ms: u64, rows: &[HeldRow], known: &[VerdictUpdate]) -> HeldTablePlan {
        let mut plan = HeldTablePlan::default();
        let judgement = |digest| known.iter().find(|t| t.digest == digest).map(|t| t.judgement);
        for row in rows {
            match (row.verdict(now_ms), judgement(row.digest)) {
                (None, _) | (_, Some(Judgement::Cleared)) => plan.remove.push(row.digest),
                (Some(_), Some(_)) => {}
                (Some(told), None) => plan.adopted.push(told),
            }
        }
        for told in known.iter().filter(|told| told.judgement == Judgement::Held) {
            if rows.iter().any(|row| row.digest == told.digest) {
                continue;
            }
            if self.seen.contains(&told.digest) {
                plan.lifted.push(told.digest);
            } else {
                plan.write.push(HeldRow::of(told, now_ms));
            }
        }
        plan
    }

    /// Notes that a plan for those rows has been carried out.
    pub fn mark_applied(&mut self, rows: &[HeldRow], plan: &HeldTablePlan) {
        self.is_read = true;
        let there = rows.iter().chain(&plan.write).map(|row| row.digest);
        self.seen = there.filter(|digest| !plan.remove.contains(digest)).collect();
    }
}
