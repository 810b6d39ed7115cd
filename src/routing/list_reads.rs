//! Whether the store was unreachable while this instance received no list of backend servers.
//!
//! Entries expire in an outage of the store although their servers are alive. That this instance received no list for
//! a while is no evidence of one: it may have been suspended or partitioned. So instances tell each other when they have
//! read the list, and whether their own reads failed, and each draws its own conclusion: there was an outage if reads
//! failed and nobody has read the list meanwhile.

use std::{
    fmt,
    time::{Duration, Instant},
};

/// Time without a list within which no entry expires: three heartbeats of a server, of which the first may be late.
const GAP_MIN: Duration = Duration::from_millis(2500);

/// How long after an outage entries may be missing although their servers are alive: they are written again within two
/// seconds, as the users state, and the list is read about once a second.
const MISSING_GRACE: Duration = Duration::from_millis(2500);

/// A time in which an instance received lists without a gap, whoever had read them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadSpan {
    /// When the first of these lists was current.
    pub since: Instant,
    /// When the last of them was current.
    pub until: Instant,
    /// Whether the instance's own reads failed in the gap before.
    pub failed_before: bool,
    /// Whether the instance's own reads have failed since.
    pub failed_after: bool,
}

impl ReadSpan {
    fn starting_at(as_of: Instant, failed_before: bool) -> ReadSpan {
        ReadSpan { since: as_of, until: as_of, failed_before, failed_after: false }
    }
}

/// Why an instance received no list for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GapCause {
    /// The store was unreachable: reads failed, and no instance received a list.
    Outage,
    /// Only this instance received none: others did all the while.
    OwnAbsence,
    /// No instance knows of a failed read: all of those that replied were absent themselves.
    NoEvidence,
}

impl fmt::Display for GapCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            GapCause::Outage => "outage",
            GapCause::OwnAbsence => "own-absence",
            GapCause::NoEvidence => "no-evidence",
        })
    }
}

/// A gap between lists whose cause is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecidedGap {
    /// Time between the list before it and the one after it.
    pub length: Duration,
    /// Its cause.
    pub cause: GapCause,
}

/// A time without a list, and what is known about it.
#[derive(Debug)]
struct Gap {
    /// The lists before it.
    before: ReadSpan,
    /// When the first list after it was current.
    to: Instant,
    /// When a read of this instance last failed in it.
    failed_at: Option<Instant>,
    /// What other instances have received, as far as they were asked.
    others: Vec<ReadSpan>,
    /// When the outage was over, if it was one.
    outage_ended: Option<Instant>,
}

/// Tracks when lists were current, and what is known of the last gap between them.
#[derive(Debug, Default)]
pub struct ListReads {
    span: Option<ReadSpan>,
    /// Since when this instance has received lists without a gap, whatever others have received in a gap before.
    followed_since: Option<Instant>,
    /// When a read of this instance last failed.
    failed_at: Option<Instant>,
    gap: Option<Gap>,
}

impl ListReads {
    /// Returns when the list was last current.
    pub fn as_of(&self) -> Option<Instant> {
        self.span.map(|span| span.until)
    }

    /// Returns since when this instance has itself received lists without a gap.
    pub fn followed_since(&self) -> Option<Instant> {
        self.followed_since
    }

    /// Returns the time up to now in which there was no gap, to tell other instances.
    pub fn span(&self) -> Option<ReadSpan> {
        let span = self.span?;
        let failed_after = self.failed_at.is_some_and(|at| at > span.until);
        Some(ReadSpan { failed_after, ..span })
    }

    /// Notes that the list was current at `as_of`; returns whether that is later than known before.
    pub fn note_list(&mut self, as_of: Instant) -> bool {
        let Some(span) = &mut self.span else {
            self.span = Some(ReadSpan::starting_at(as_of, false));
            self.followed_since = Some(as_of);
            return true;
        };
        if as_of <= span.until {
            return false;
        }
        if as_of.duration_since(span.until) <= GAP_MIN {
            span.until = as_of;
            return true;
        }
        let last = *span;
        self.begin_span(last, as_of);
        true
    }

    /// Begins a new span after a gap. A gap whose cause is not known yet becomes a part of the new one.
    fn begin_span(&mut self, last: ReadSpan, as_of: Instant) {
        let undecided = self.gap.take().filter(Gap::is_undecided);
        let before = undecided.map_or(last, |gap| gap.before);
        let failed_at = self.failed_at.filter(|at| *at > before.until);
        self.span = Some(ReadSpan::starting_at(as_of, failed_at.is_some()));
        self.followed_since = Some(as_of);
        let others = Vec::new();
        self.gap = Some(Gap { before, to: as_of, failed_at, others, outage_ended: None });
    }

    /// Notes that a read of this instance that began at `began` has failed. A read during which it was suspended says
    /// nothing about the store.
    pub fn note_failure(&mut self, began: Instant, now: Instant) {
        if now.saturating_duration_since(began) < GAP_MIN {
            self.failed_at = Some(now);
        }
    }

    /// Returns whether there was a gap whose cause other instances are to be asked for.
    pub fn is_undecided(&self) -> bool {
        self.gap.as_ref().is_some_and(Gap::is_undecided)
    }

    /// Notes the span of another instance. If the spans known so far leave no gap, there was no outage: returns the gap
    /// then.
    pub fn note_other(&mut self, other: ReadSpan) -> Option<DecidedGap> {
        let gap = self.gap.as_mut().filter(|gap| gap.is_undecided())?;
        gap.others.push(other);
        if !gap.is_covered() {
            return None;
        }
        let decided = gap.decided(GapCause::OwnAbsence);
        let ReadSpan { since, failed_before, .. } = gap.before;
        self.span = self.span.map(|span| ReadSpan { since, failed_before, ..span });
        self.gap = None;
        Some(decided)
    }

    /// Decides by what is known, once all instances that were asked have replied or are silent; returns the gap. If none
    /// of them has replied, nothing is decided.
    pub fn decide(&mut self, asked: usize) -> Option<DecidedGap> {
        let gap = self.gap.as_mut().filter(|gap| gap.is_undecided())?;
        if asked > 0 && gap.others.is_empty() {
            return None;
        }
        gap.outage_ended = gap.outage_end();
        if gap.outage_ended.is_some() {
            return Some(gap.decided(GapCause::Outage));
        }
        let decided = gap.decided(GapCause::NoEvidence);
        self.gap = None;
        Some(decided)
    }

    /// Returns whether servers that are missing from a list that was current at `as_of` may be alive.
    pub fn may_be_missing(&self, as_of: Instant) -> bool {
        self.gap.as_ref().is_some_and(|gap| {
            let ended = gap.outage_ended.unwrap_or(gap.to);
            as_of < ended + MISSING_GRACE
        })
    }
}

impl Gap {
    fn is_undecided(&self) -> bool {
        self.outage_ended.is_none()
    }

    fn decided(&self, cause: GapCause) -> DecidedGap {
        DecidedGap { length: self.to.saturating_duration_since(self.before.until), cause }
    }

    /// Returns whether other instances have received lists all through the gap, one after the other or all at once.
    fn is_covered(&self) -> bool {
        let mut covered_until = self.before.until;
        loop {
            let reaches = |span: &&ReadSpan| span.since <= covered_until + GAP_MIN;
            let furthest = self.others.iter().filter(reaches).map(|span| span.until).max();
            match furthest {
                Some(until) if until > covered_until => covered_until = until,
                _ => {
                    return covered_until > self.before.until && self.to <= covered_until + GAP_MIN;
                }
            }
        }
    }

    /// Returns when the outage was over: from when on some instance has received lists again. `None` if no reads failed.
    fn outage_end(&self) -> Option<Instant> {
        let is_seen = self.failed_at.is_some() || self.others.iter().any(|s| self.is_evidence(s));
        is_seen.then(|| self.covered_since())
    }

    /// Returns whether reads of another instance failed in the gap.
    fn is_evidence(&self, span: &ReadSpan) -> bool {
        let is_in_gap = span.since > self.before.until && span.since <= self.to + GAP_MIN;
        let still_fails = span.failed_after && span.until + GAP_MIN < self.to;
        still_fails || (span.failed_before && is_in_gap)
    }

    /// Returns from when on instances have received lists until the end of the gap, one after the other or all at once.
    fn covered_since(&self) -> Instant {
        let mut covered_since = self.to;
        loop {
            let reaches = |span: &&ReadSpan| span.until + GAP_MIN >= covered_since;
            let earliest = self.others.iter().filter(reaches).map(|span| span.since).min();
            match earliest {
                Some(since) if since < covered_since => covered_since = since,
                _ => return covered_since,
            }
        }
    }
}
