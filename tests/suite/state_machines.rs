//! The smaller state machines of the contract and zone modules, each on a simulated clock.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use cartvane::{
    configs::fleet::{Fleet, chunks::Digest},
    contract::{
        claim::{Claim, ClaimState, ClaimVerdict, StoredResponse, decide},
        fair_queue::FairQueue,
        lease::{LEASE_MARGIN, LEASE_TTL, Lease, LeaseRow, LeaseStep},
        membership::Membership,
        outcome::{AttemptFault, Outcome, RetrySafety, may_retry},
        retry::{RetryBudget, backoff},
        revision::{ActiveRevision, Head},
        token_bucket::TokenBucket,
    },
    instance::{cluster_state::snapshot::Snapshot, homes::table::HomeTable},
    names::{InstanceId, Tag},
    platform::{Member, MemberKind, MemberState},
    units::{Rate, Revision},
    zone::{
        chat_locations::ChatLocations,
        homes::{Candidate, home_of},
        recent_chats::RecentChats,
        rendezvous::{ChatKey, ranked, score},
        shard::{Shard, ShardId},
    },
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

fn id(text: &str) -> InstanceId {
    text.parse().expect("an id")
}

fn candidate(name: &str) -> Candidate {
    Candidate { id: id(name), tag: id(name).tag(), zone: "z".parse().expect("a zone") }
}

fn member(name: &str, port: u16, state: MemberState) -> Member {
    let address = ([127, 0, 0, 1], port).into();
    Member {
        id: name.to_owned(),
        kind: MemberKind::Instance,
        address,
        zone: "z".parse().expect("a zone"),
        state,
    }
}

fn home_names(view: &Membership, now: Instant) -> Vec<String> {
    let mut names: Vec<String> = view.homes(now).iter().map(|c| c.id.to_string()).collect();
    names.sort();
    names
}

#[test]
fn a_failed_peer_is_suspect_until_contact_and_longer_if_it_flaps() {
    let mut view = Membership::new(candidate("a"));
    let mut now = Instant::now();
    view.apply_list(1, vec![member("a", 1, MemberState::Live), member("b", 2, MemberState::Live)]);
    assert_eq!(home_names(&view, now), ["a", "b"]);
    let b = id("b").tag();
    view.note_failure(now, b);
    assert_eq!(
        home_names(&view, now + Duration::from_secs(3600)),
        ["a"],
        "a failed peer stays suspect without contact"
    );
    view.note_contact(now, b, 1, false);
    assert_eq!(
        home_names(&view, now),
        ["a", "b"],
        "contact after a single failure ends the suspicion"
    );
    let mut pauses = Vec::new();
    for _ in 0..3 {
        view.note_failure(now, b);
        view.note_contact(now, b, 1, false);
        let contact_at = now;
        while home_names(&view, now) == ["a"] {
            now += Duration::from_millis(100);
        }
        pauses.push(now - contact_at);
    }
    assert!(pauses[0] < pauses[1] && pauses[1] < pauses[2], "{pauses:?}");
    now += Duration::from_secs(200);
    view.note_failure(now, b);
    view.note_contact(now, b, 1, false);
    assert_eq!(home_names(&view, now), ["a", "b"], "old failures no longer count");
}

#[test]
fn a_peer_that_is_down_is_contacted_with_backoff() {
    let mut view = Membership::new(candidate("a"));
    let mut now = Instant::now();
    view.apply_list(1, vec![member("b", 2, MemberState::Live)]);
    let b = id("b").tag();
    let mut attempts = 0;
    let until = now + Duration::from_secs(120);
    while now < until {
        if view.peer(b).expect("a peer").may_be_contacted(now) {
            attempts += 1;
            view.note_failure(now, b);
        }
        now += Duration::from_millis(100);
    }
    assert!((6..=9).contains(&attempts), "{attempts} attempts in 120 s");
}

#[test]
fn a_reported_suspicion_counts_only_without_recent_contact() {
    let mut view = Membership::new(candidate("a"));
    let now = Instant::now();
    view.apply_list(1, vec![member("b", 2, MemberState::Live), member("c", 3, MemberState::Live)]);
    view.note_contact(now, id("b").tag(), 1, false);
    view.note_reported_suspect(now, id("b").tag());
    view.note_reported_suspect(now, id("c").tag());
    assert_eq!(home_names(&view, now), ["a", "b"]);
    assert!(view.own_suspects(now).is_empty(), "a reported suspicion is not own evidence");
    assert_eq!(home_names(&view, now + Duration::from_secs(3)), ["a", "b", "c"]);
}

#[test]
fn leaving_and_replaced_instances_are_recognized() {
    let mut view = Membership::new(candidate("a"));
    let now = Instant::now();
    view.apply_list(
        1,
        vec![member("b", 2, MemberState::Live), member("c", 3, MemberState::Leaving)],
    );
    assert_eq!(home_names(&view, now), ["a", "b"]);
    view.note_contact(now, id("b").tag(), 7, true);
    assert_eq!(home_names(&view, now), ["a"]);
    view.note_contact(now, id("b").tag(), 6, false);
    assert_eq!(home_names(&view, now), ["a"], "messages of an earlier process are ignored");
    view.note_contact(now, id("b").tag(), 8, false);
    assert_eq!(
        home_names(&view, now),
        ["a", "b"],
        "a new process at the same address is not leaving"
    );
    view.apply_list(2, vec![member("b", 9, MemberState::Live)]);
    assert_eq!(view.peer(id("b").tag()).expect("a peer").address.port(), 9);
    view.apply_list(3, vec![member("b", 9, MemberState::Removed)]);
    assert_eq!(home_names(&view, now), ["a"]);
    view.leave();
    assert_eq!(
        home_names(&view, now),
        ["a"],
        "an instance without peers stays the home even while it leaves"
    );
}

#[test]
fn introductions_are_propagated_for_a_limited_time() {
    let mut view = Membership::new(candidate("a"));
    let now = Instant::now();
    view.introduce(now, member("b", 2, MemberState::Live));
    assert_eq!(home_names(&view, now), ["a", "b"]);
    assert_eq!(view.recent_introductions(now).len(), 1);
    view.introduce(now, member("b", 2, MemberState::Live));
    view.introduce(now, member("a", 1, MemberState::Live));
    assert_eq!(
        view.recent_introductions(now).len(),
        1,
        "neither a repeated introduction nor the own one is propagated"
    );
    assert!(view.recent_introductions(now + Duration::from_secs(60)).is_empty());
}

fn head(revision: u64) -> Head {
    let manifest = Digest::of(&revision.to_le_bytes());
    Head {
        revision: Revision(revision),
        manifest,
        apply: "x".to_owned(),
        by: "y".to_owned(),
        at: 0,
    }
}

#[test]
fn the_active_revision_only_increases() {
    let strategy = proptest::collection::vec((any::<bool>(), 1..20_u64), 1..60);
    let config = Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    };
    let result = TestRunner::new(config).run(&strategy, |events| {
        let mut active_revision = ActiveRevision::default();
        let mut newest = 0;
        let mut before = Revision::default();
        for (is_notified, revision) in events {
            if is_notified {
                newest = newest.max(revision);
                active_revision.note_head(head(revision));
            } else if let Some(pending) = active_revision.pending().cloned() {
                prop_assert!(pending.revision > active_revision.revision());
                prop_assert!(active_revision.install(pending));
            } else if active_revision.installed().is_some() {
                let older = head(revision.min(active_revision.revision().0));
                prop_assert!(
                    !active_revision.install(older),
                    "an older revision is never activated"
                );
            }
            prop_assert!(active_revision.revision() >= before);
            before = active_revision.revision();
        }
        while let Some(pending) = active_revision.pending().cloned() {
            active_revision.install(pending);
        }
        prop_assert_eq!(active_revision.revision(), Revision(newest));
        Ok(())
    });
    result.expect("the active revision only increases");
}

/// The lease's row with its version, as the table stores it.
#[derive(Default)]
struct LeaseTable(Option<(LeaseRow, u64)>);

impl LeaseTable {
    fn step(&mut self, lease: &mut Lease, now: Instant) {
        if let LeaseStep::Write(row, version) = lease.step(now, self.0.clone()) {
            let unchanged = version == self.0.as_ref().map(|(_, version)| *version);
            if unchanged {
                self.0 = Some((row.clone(), version.unwrap_or(0) + 1));
                lease.note_written(now, &row);
            } else {
                lease.note_not_written();
            }
        }
    }
}

#[test]
fn a_paused_holders_lease_expires_before_another_acquires_it() {
    let (mut a, mut b) = (Lease::new(id("a"), 1), Lease::new(id("b"), 1));
    let mut table = LeaseTable::default();
    let start = Instant::now();
    table.step(&mut a, start);
    assert_eq!(a.fencing(start), Some(1));
    let mut now = start;
    while b.fencing(now).is_none() {
        now += Duration::from_secs(1);
        table.step(&mut b, now);
        assert!(
            a.fencing(now).is_none() || b.fencing(now).is_none(),
            "two instances hold the lease"
        );
    }
    assert!(
        now - start >= LEASE_TTL,
        "the lease is taken over only after its row was unchanged for its TTL"
    );
    assert_eq!(a.fencing(start + LEASE_TTL - LEASE_MARGIN), None);
    assert_eq!(b.fencing(now), Some(2), "the fencing number increases with the holder");
    table.step(&mut a, now);
    assert_eq!(a.fencing(now), None, "the previous holder finds that it no longer holds the lease");
    table.step(&mut b, now + Duration::from_secs(5));
    assert_eq!(
        b.fencing(now + Duration::from_secs(5)),
        Some(2),
        "a renewal keeps the fencing number"
    );
}

#[test]
fn a_restarted_holder_is_another_holder() {
    let mut table = LeaseTable::default();
    let now = Instant::now();
    table.step(&mut Lease::new(id("a"), 1), now);
    let mut restarted = Lease::new(id("a"), 2);
    table.step(&mut restarted, now);
    assert_eq!(restarted.fencing(now), None);
    table.step(&mut restarted, now + LEASE_TTL);
    assert_eq!(restarted.fencing(now + LEASE_TTL), Some(2));
}

#[test]
fn claims_are_decided_by_their_attempt_and_state() {
    let own = Claim {
        attempt: "mine".to_owned(),
        request: Digest::of(b"a"),
        state: ClaimState::Running,
        deadline_at: 100,
        expires_at: 1000,
    };
    let response = StoredResponse { status: 200, headers: Vec::new(), body: b"x".to_vec() };
    let other_attempt = |state| Claim { attempt: "other".to_owned(), state, ..own.clone() };
    let status = |found: &Claim, now| match decide(&own, found, now) {
        ClaimVerdict::Run => "run".to_owned(),
        ClaimVerdict::Renew => "renew".to_owned(),
        ClaimVerdict::Replay(_) => "replay".to_owned(),
        ClaimVerdict::Refuse(refusal) => format!("{} {}", refusal.status, refusal.outcome),
    };
    let table = [
        ("own", own.clone(), 50, "run"),
        ("own, past its deadline", own.clone(), 500, "run"),
        ("running", other_attempt(ClaimState::Running), 50, "409 unknown"),
        ("running past its deadline", other_attempt(ClaimState::Running), 500, "409 unknown"),
        ("unknown", other_attempt(ClaimState::Unknown), 500, "409 unknown"),
        ("done", other_attempt(ClaimState::Done(response)), 500, "replay"),
        ("done, too large", other_attempt(ClaimState::DoneTooLarge), 500, "409 run"),
        (
            "another request",
            Claim { request: Digest::of(b"b"), ..other_attempt(ClaimState::Unknown) },
            500,
            "422 not-run",
        ),
        ("expired", other_attempt(ClaimState::Unknown), 1000, "renew"),
    ];
    for (name, found, now, verdict) in table {
        assert_eq!(status(&found, now), verdict, "{name}");
    }
}

#[test]
fn faults_are_classified_by_whether_the_request_may_have_run() {
    use AttemptFault::{
        AfterSend, BeforeSend, CallerGone, Connect, CutBody, Foreign, Garbage, HeadTimeout,
        Refused, StalledBody,
    };
    let not_run = [Connect, BeforeSend, Refused];
    let unknown = [AfterSend, HeadTimeout, Garbage, Foreign, CutBody, StalledBody, CallerGone];
    for fault in not_run {
        assert_eq!(fault.outcome(), Outcome::NotRun, "{fault:?}");
        assert!(may_retry(fault, RetrySafety::AtMostOnce, false), "{fault:?}");
    }
    for fault in unknown {
        assert_eq!(fault.outcome(), Outcome::Unknown, "{fault:?}");
        assert!(!may_retry(fault, RetrySafety::AtMostOnce, false), "{fault:?}");
        assert_eq!(
            may_retry(fault, RetrySafety::Idempotent, false),
            fault != CallerGone,
            "{fault:?}"
        );
        assert!(
            !may_retry(fault, RetrySafety::Idempotent, true),
            "{fault:?}: part of the response has been sent"
        );
    }
}

#[test]
fn retries_stay_within_their_share_and_backoff_within_its_range() {
    let mut budget = RetryBudget::new(0.1);
    let retries = (0..10_000).filter(|_| {
        budget.note_request();
        budget.take()
    });
    assert!(retries.count() <= 1002);
    for retry in 0..20 {
        assert_eq!(backoff(retry, 0.0), Duration::ZERO);
        assert!(backoff(retry, 1.0) <= Duration::from_secs(1));
        assert!(backoff(retry, 1.0) >= backoff(retry, 0.5));
    }
}

#[test]
fn a_token_bucket_enforces_its_rate() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(Rate(5.0), start);
    let mut taken = 0;
    for millis in 0..10_000 {
        let now = start + Duration::from_millis(millis);
        match bucket.take(now) {
            Ok(()) => taken += 1,
            Err(wait) => assert!(wait <= Duration::from_millis(201)),
        }
    }
    assert!((54..=55).contains(&taken), "{taken}");
}

#[test]
fn a_fair_queue_shares_by_weight_and_loses_no_items() {
    let mut queue = FairQueue::default();
    for n in 0..300 {
        queue.push(Tag(1), 1, false, (1, n));
        queue.push(Tag(2), 3, false, (2, n));
    }
    let first: Vec<(u32, i32)> = (0..200).filter_map(|_| queue.pop()).collect();
    let of_team_2 = first.iter().filter(|(team, _)| *team == 2).count();
    assert_eq!(of_team_2, 150);
    for team in [1, 2] {
        let order: Vec<i32> = first.iter().filter(|(t, _)| *t == team).map(|(_, n)| *n).collect();
        assert!(order.is_sorted(), "items of one team keep their order");
    }
    let item = queue.pop().expect("more");
    queue.push_front(Tag(item.0), 1, false, item);
    assert_eq!(queue.len(), 400);
    let extracted = queue.extract(|(team, _)| *team == 2);
    assert_eq!((extracted.len(), queue.len()), (150, 250));
    assert_eq!(std::iter::from_fn(|| queue.pop()).count(), 250);
    assert!(queue.is_empty() && queue.pop().is_none());
}

#[test]
fn rendezvous_moves_only_keys_of_a_removed_node_and_follows_weights() {
    let nodes: Vec<(Tag, f64)> =
        (1..=10).map(|n| (Tag(n * 7919), if n == 1 { 2.0 } else { 1.0 })).collect();
    let mut counts: HashMap<usize, u32> = HashMap::new();
    for key in 0..20_000_u64 {
        let key = ChatKey::of(&["s", &key.to_string()]).0;
        let order = ranked(key, nodes.iter().copied());
        *counts.entry(order[0]).or_default() += 1;
        let without_first =
            ranked(key, nodes.iter().copied().filter(|(tag, _)| *tag != nodes[order[0]].0));
        // Without the first node, the key moves to the second.
        let second = nodes[order[1]].0;
        let rest: Vec<Tag> =
            nodes.iter().map(|n| n.0).filter(|t| *t != nodes[order[0]].0).collect();
        assert_eq!(rest[without_first[0]], second);
    }
    let share = f64::from(counts[&0]) / 20_000.0;
    assert!((0.165..0.20).contains(&share), "weight 2 of 11 gives a share of 0.182, not {share}");
    assert!(score(1, Tag(1), 1.0).is_finite());
}

#[test]
fn removing_an_instance_moves_only_its_own_shards() {
    let all: Vec<Candidate> = (0..8).map(|n| candidate(&format!("r{n}"))).collect();
    let homes = |live: &[Candidate]| -> Vec<InstanceId> {
        let shard = |number| ShardId { service: Tag(5), number };
        (0..200).map(|n| home_of(shard(n), None, live.iter()).expect("a home").id.clone()).collect()
    };
    let (before, after) = (homes(&all), homes(&all[1..]));
    for (a, b) in before.iter().zip(&after) {
        assert!(a == b || *a == all[0].id);
    }
    let own = before.iter().filter(|home| **home == all[0].id).count();
    assert!((10..45).contains(&own), "one of 8 instances has {own} of 200 homes");
}

#[test]
fn recent_chats_are_kept_and_only_changes_are_replicated() {
    let mut recent = RecentChats::new(1000);
    for chat in 0..5000 {
        recent.put(ChatKey(chat), Tag(1));
    }
    assert!(
        recent.len() <= 1000
            && recent.get(ChatKey(4999)).is_some()
            && recent.get(ChatKey(0)).is_none()
    );
    let mut locations = ChatLocations::new(1000);
    for _ in 0..3 {
        locations.put(ChatKey(1), Tag(1));
        locations.put(ChatKey(2), Tag(1));
    }
    locations.put(ChatKey(1), Tag(2));
    assert_eq!(
        locations.take_unreplicated(10).len(),
        3,
        "two chats, one of which went to another engine"
    );
    locations.mark_all_unreplicated();
    let all = locations.take_unreplicated(10);
    assert_eq!(all.len(), 2);
    let mut replica = ChatLocations::new(1000);
    replica.merge(all, false);
    assert_eq!(replica.get(ChatKey(1)), Some(Tag(2)));
    replica.merge(vec![(ChatKey(1), Tag(3))], true);
    assert_eq!(replica.get(ChatKey(1)), Some(Tag(2)), "a location known here wins");
}

#[test]
fn the_home_table_follows_every_membership_change() {
    let text =
        std::fs::read_to_string(format!("{}/examples/hanbit.toml", env!("CARGO_MANIFEST_DIR")))
            .expect("the example");
    let snapshot = Snapshot::new(head(1), Fleet::parse(&text).expect("a valid configuration"));
    let shards: Vec<&Shard> = snapshot.services().flat_map(|view| &view.shards).collect();
    let mut view = Membership::new(candidate("a"));
    let mut table = HomeTable::default();
    let mut now = Instant::now();
    let b = id("b").tag();
    let mut check = |view: &Membership, now: Instant, what: &str| {
        for shard in &shards {
            let homes = view.homes(now);
            let home = home_of(shard.id, None, homes.into_iter()).expect("a home").tag;
            assert_eq!(table.home_of(now, view, &snapshot, shard), home, "{what}");
        }
    };
    check(&view, now, "alone");
    view.apply_list(
        1,
        (0..20)
            .map(|n| member(&format!("r{n}"), 10 + n, MemberState::Live))
            .chain([member("b", 2, MemberState::Live)])
            .collect(),
    );
    check(&view, now, "listed");
    view.note_failure(now, b);
    check(&view, now, "failed");
    view.note_contact(now, b, 1, false);
    check(&view, now, "contact");
    view.note_contact(now, b, 1, true);
    check(&view, now, "leaving");
    for n in 0..20 {
        view.note_reported_suspect(now, id(&format!("r{n}")).tag());
    }
    check(&view, now, "reported suspicions");
    now += Duration::from_secs(3);
    check(&view, now, "reported suspicions that have expired");
    view.introduce(now, member("c", 99, MemberState::Live));
    check(&view, now, "introduced");
    view.leave();
    check(&view, now, "this instance is leaving");
}
