//! Gaps between lists of servers, and what instances conclude from what others have received meanwhile.

use std::time::{Duration, Instant};

use cartvane::routing::{GapCause, ListReads, ReadSpan, Roster, StoreEra, StoreWitness};

use crate::routing::server;

/// Times of a test, in milliseconds from its beginning.
#[derive(Clone, Copy)]
struct Times(Instant);

impl Times {
    fn at(self, ms: u64) -> Instant {
        self.0 + Duration::from_millis(ms)
    }

    /// Lists that were received from `since` to `until`, without failed reads.
    fn span(self, since: u64, until: u64) -> ReadSpan {
        let (since, until) = (self.at(since), self.at(until));
        ReadSpan { since, until, failed_before: false, failed_after: false }
    }

    /// The reads of an instance that receives lists until 10 s, and again from 16 s on.
    fn reads_with_gap(self) -> ListReads {
        let mut reads = ListReads::default();
        (0..=10).for_each(|second| assert!(reads.note_list(self.at(second * 1000))));
        assert!(!reads.is_undecided());
        assert!(reads.note_list(self.at(16_000)));
        reads
    }
}

fn times() -> Times {
    Times(Instant::now())
}

#[test]
fn a_gap_that_others_cover_is_the_instances_own_absence() {
    let times = times();
    for others in [
        vec![times.span(0, 15_900)],
        // Two that were absent themselves, one after the other.
        vec![times.span(12_000, 16_000), times.span(2_000, 12_100)],
    ] {
        let mut reads = times.reads_with_gap();
        assert!(reads.may_be_missing(times.at(16_000)), "nothing is known yet");
        let decided: Vec<_> = others.iter().filter_map(|span| reads.note_other(*span)).collect();
        assert_eq!(decided.len(), 1, "{others:?}");
        assert_eq!(decided[0].cause, GapCause::OwnAbsence);
        assert_eq!(decided[0].length, Duration::from_secs(6));
        assert!(!reads.may_be_missing(times.at(16_000)));
        let span = reads.span().expect("lists");
        assert_eq!((span.since, span.until), (times.at(0), times.at(16_000)), "no gap for others");
    }
}

#[test]
fn a_gap_with_failed_reads_that_nobody_covers_is_an_outage() {
    let times = times();
    // This instance's own reads failed.
    let mut reads = times.reads_with_gap();
    reads.note_failure(times.at(10_500), times.at(11_000));
    assert_eq!(
        reads.decide(0).map(|gap| gap.cause),
        Some(GapCause::NoEvidence),
        "too late to count"
    );
    let mut reads = ListReads::default();
    reads.note_list(times.at(10_000));
    reads.note_failure(times.at(10_500), times.at(11_000));
    reads.note_list(times.at(16_000));
    reads.note_other(times.span(16_000, 16_000));
    assert_eq!(reads.decide(1).map(|gap| gap.cause), Some(GapCause::Outage));
    assert!(reads.may_be_missing(times.at(18_400)));
    assert!(!reads.may_be_missing(times.at(18_500)));
    // Another instance saw it, and this one was suspended for longer.
    let mut reads = times.reads_with_gap();
    reads.note_other(ReadSpan { failed_before: true, ..times.span(14_500, 16_000) });
    assert_eq!(reads.decide(1).map(|gap| gap.cause), Some(GapCause::Outage));
    assert!(reads.may_be_missing(times.at(16_000)), "1.5 s after the outage");
    assert!(!reads.may_be_missing(times.at(17_000)), "2.5 s after the outage");
    // Another instance has not received a list since, although its reads have failed.
    let mut reads = times.reads_with_gap();
    reads.note_other(ReadSpan { failed_after: true, ..times.span(0, 10_200) });
    assert_eq!(reads.decide(1).map(|gap| gap.cause), Some(GapCause::Outage));
    assert!(reads.may_be_missing(times.at(18_400)));
}

// Guards against an outage that seems to be over only when the last of two suspended instances returns.
#[test]
fn an_outage_is_over_when_any_instance_has_lists_again() {
    let times = times();
    let mut reads = ListReads::default();
    reads.note_list(times.at(10_000));
    reads.note_failure(times.at(10_500), times.at(11_000));
    reads.note_list(times.at(40_000));
    reads.note_other(ReadSpan { failed_before: true, ..times.span(39_900, 40_000) });
    reads.note_other(ReadSpan { failed_before: true, ..times.span(16_000, 40_000) });
    assert_eq!(reads.decide(2).map(|gap| gap.cause), Some(GapCause::Outage));
    assert!(!reads.may_be_missing(times.at(40_000)), "24 s after the outage");
}

#[test]
fn if_all_were_suspended_there_is_no_evidence_of_an_outage() {
    let times = times();
    let mut reads = times.reads_with_gap();
    for _ in 0..3 {
        assert_eq!(reads.note_other(times.span(15_900, 16_000)), None);
    }
    assert_eq!(reads.decide(3).map(|gap| gap.cause), Some(GapCause::NoEvidence));
    assert!(!reads.may_be_missing(times.at(16_000)));
}

#[test]
fn a_read_that_spans_a_suspension_is_no_evidence() {
    let times = times();
    let mut reads = ListReads::default();
    reads.note_list(times.at(10_000));
    reads.note_failure(times.at(10_400), times.at(16_000));
    reads.note_list(times.at(16_010));
    assert_eq!(reads.decide(0).map(|gap| gap.cause), Some(GapCause::NoEvidence));
}

#[test]
fn without_any_reply_nothing_is_decided_and_servers_are_kept_for_a_while() {
    let times = times();
    let mut reads = times.reads_with_gap();
    assert_eq!(reads.decide(3), None);
    assert!(reads.is_undecided() && reads.may_be_missing(times.at(18_400)));
    assert!(!reads.may_be_missing(times.at(18_500)));
}

#[test]
fn a_second_gap_before_the_first_is_decided_makes_one() {
    let times = times();
    let mut reads = times.reads_with_gap();
    reads.note_list(times.at(20_000));
    assert_eq!(reads.note_other(times.span(15_000, 20_000)), None, "it covers the second only");
    let gap = reads.note_other(times.span(0, 15_500)).expect("both are covered");
    assert_eq!((gap.cause, gap.length), (GapCause::OwnAbsence, Duration::from_secs(10)));
}

#[test]
fn a_removed_server_is_restored_only_by_a_list_read_after_its_removal() {
    let times = times();
    let both = || [server("a", 1), server("b", 2)];
    let mut roster = Roster::default();
    roster.apply_list(times.at(0), times.at(0), both());
    // A slow read: current as of 400 ms at least, known here at 900 ms.
    let change = roster.apply_list(times.at(900), times.at(400), [server("a", 1)]);
    assert_eq!(change.removed.len(), 1);
    // Another instance read it before, and its list arrives later.
    let change = roster.apply_list(times.at(950), times.at(800), both());
    assert!(change.added.is_empty(), "{change:?}");
    assert!(!roster.confirm(times.at(1000), times.at(850), StoreEra(0)), "the roster differs");
    let change = roster.apply_list(times.at(1300), times.at(1200), both());
    assert_eq!(change.added.len(), 1, "it is listed again");
}

// Guards against a restore of the store that counts from when a suspended instance comes to know of it.
#[test]
fn servers_missing_since_a_restore_that_others_saw_long_ago_are_removed() {
    let times = times();
    let mut roster = Roster::default();
    roster.apply_list(times.at(10_000), times.at(10_000), [server("a", 1), server("b", 2)]);
    assert!(roster.note_era(times.at(20_000), StoreEra(1)));
    roster.apply_list(times.at(20_000), times.at(20_000), [server("a", 1)]);
    assert_eq!(roster.kept().count(), 1);
    let witness = StoreWitness {
        span: times.span(0, 19_900),
        era: StoreEra(1),
        restored_at: Some(times.at(12_000)),
    };
    let change = roster.note_witness(times.at(20_010), &witness);
    assert_eq!((change.removed.len(), roster.kept().count()), (1, 0));
}
