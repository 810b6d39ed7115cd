//! Which instances are live, from the platform's membership list, which lags, from reports of peers and from own
//! evidence.
//!
//! A suspicion moves homes for a bounded time. It never removes an instance from the views of other instances.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use crate::{
    names::{InstanceId, Tag},
    platform::{Member, MemberKind, MemberState},
    zone::homes::Candidate,
};

/// Pause after a peer's first failure before it is contacted again; doubles with each further failure.
const RETRY_FIRST: Duration = Duration::from_secs(1);

/// Longest pause before a peer that failed is contacted again.
const RETRY_MAX: Duration = Duration::from_secs(60);

/// Age of a peer's last failure at which its count of failures starts again.
const FAILURE_MAX_AGE: Duration = Duration::from_secs(120);

/// Time for which a peer stays suspect after another instance reported it.
const REPORTED_SUSPECT_DURATION: Duration = Duration::from_secs(2);

/// Age up to which own contact with a peer outweighs another instance's suspicion.
const RECENT_CONTACT_MAX_AGE: Duration = Duration::from_secs(3);

/// Time for which an introduction is propagated to other instances.
const INTRODUCTION_MAX_AGE: Duration = Duration::from_secs(8);

/// Another instance, as this one sees it.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Id, tag and availability zone.
    pub candidate: Candidate,
    /// Address for messages of other instances.
    pub address: SocketAddr,
    /// State in the platform's list.
    pub listed_state: MemberState,
    /// Start time of its process, as it reported; increases with each restart.
    pub incarnation: u64,
    /// Whether it announced that it is leaving.
    pub announced_leaving: bool,
    /// Whether it failed and there was no contact since.
    down: bool,
    /// When it may be contacted again.
    retry_at: Option<Instant>,
    /// Time until which it stays suspect in spite of contact, because it failed repeatedly.
    backoff_until: Option<Instant>,
    /// Time until which it is suspect because another instance reported it.
    reported_suspect_until: Option<Instant>,
    failures: u32,
    last_failure: Option<Instant>,
    last_contact: Option<Instant>,
}

impl Peer {
    fn new(candidate: Candidate, address: SocketAddr) -> Peer {
        Peer {
            candidate,
            address,
            listed_state: MemberState::Live,
            incarnation: 0,
            announced_leaving: false,
            down: false,
            retry_at: None,
            backoff_until: None,
            reported_suspect_until: None,
            failures: 0,
            last_failure: None,
            last_contact: None,
        }
    }

    /// Returns whether it is suspected of being down.
    pub fn is_suspect(&self, now: Instant) -> bool {
        let is_future = |until: Option<Instant>| until.is_some_and(|until| now < until);
        self.down || is_future(self.backoff_until) || is_future(self.reported_suspect_until)
    }

    /// Returns whether a heartbeat may be sent to it.
    pub fn may_be_contacted(&self, now: Instant) -> bool {
        !self.down || self.retry_at.is_none_or(|at| now >= at)
    }

    /// Returns whether it may be the home of shards.
    pub fn may_be_home(&self, now: Instant) -> bool {
        self.listed_state == MemberState::Live && !self.announced_leaving && !self.is_suspect(now)
    }

    /// Returns the time of the last contact with it.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact
    }
}

/// One instance's view of the others.
#[derive(Debug)]
pub struct Membership {
    own: Candidate,
    own_leaving: bool,
    peers: IndexMap<Tag, Peer>,
    leaving_servers: IndexMap<String, MemberState>,
    recent_introductions: Vec<(Instant, Member)>,
    version: u64,
    /// Number of changes of the set of possible homes.
    changes: u64,
}

impl Membership {
    /// Returns the view of an instance that has no peers yet.
    pub fn new(own: Candidate) -> Membership {
        Membership {
            own,
            own_leaving: false,
            peers: IndexMap::new(),
            leaving_servers: IndexMap::new(),
            recent_introductions: Vec::new(),
            version: 0,
            changes: 0,
        }
    }

    /// Returns a number that increases with every change of the set of possible homes, except when a suspicion
    /// expires.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the version of the platform's list that was applied last.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Applies changes of the platform's list.
    pub fn apply_list(&mut self, version: u64, changed: Vec<Member>) {
        self.version = version;
        self.changes += 1;
        for member in changed {
            match member.kind {
                MemberKind::BackendServer => {
                    self.leaving_servers.insert(member.id, member.state);
                }
                MemberKind::Instance => self.apply_instance(member),
            }
        }
    }

    fn apply_instance(&mut self, member: Member) {
        let Ok(id) = member.id.parse::<InstanceId>() else { return };
        let tag = id.tag();
        if tag == self.own.tag {
            return;
        }
        if member.state == MemberState::Removed {
            self.peers.swap_remove(&tag);
            return;
        }
        let candidate = Candidate { id, tag, zone: member.zone };
        let peer =
            self.peers.entry(tag).or_insert_with(|| Peer::new(candidate.clone(), member.address));
        if peer.address != member.address {
            *peer = Peer::new(candidate, member.address);
        }
        peer.listed_state = member.state;
    }

    /// Adds an instance that introduced itself before the platform's list has it.
    pub fn introduce(&mut self, now: Instant, member: Member) {
        if member.id == self.own.id.as_str() {
            return;
        }
        let known = member.id.parse::<InstanceId>().ok().and_then(|id| self.peers.get(&id.tag()));
        let is_new = known.is_none_or(|peer| peer.address != member.address);
        if is_new && member.kind == MemberKind::Instance && member.state == MemberState::Live {
            self.recent_introductions.push((now, member.clone()));
            self.changes += 1;
            self.apply_instance(member);
        }
    }

    /// Returns the introductions to propagate to other instances.
    pub fn recent_introductions(&mut self, now: Instant) -> Vec<Member> {
        self.recent_introductions.retain(|(at, _)| now.duration_since(*at) < INTRODUCTION_MAX_AGE);
        self.recent_introductions.iter().map(|(_, member)| member.clone()).collect()
    }

    /// Returns the other instances as members of a list.
    pub fn members(&self) -> Vec<Member> {
        let member = |peer: &Peer| Member {
            id: peer.candidate.id.to_string(),
            kind: MemberKind::Instance,
            address: peer.address,
            zone: peer.candidate.zone.clone(),
            state: peer.listed_state,
        };
        self.peers.values().map(member).collect()
    }

    /// Notes contact with a peer: it is no longer down. A message from an earlier process of the peer is ignored.
    pub fn note_contact(&mut self, now: Instant, peer: Tag, incarnation: u64, leaving: bool) {
        let Some(peer) = self.peers.get_mut(&peer) else { return };
        if incarnation < peer.incarnation {
            return;
        }
        let changed =
            peer.down || peer.reported_suspect_until.is_some() || peer.announced_leaving != leaving;
        self.changes += u64::from(changed);
        peer.incarnation = incarnation;
        peer.announced_leaving = leaving;
        peer.down = false;
        peer.reported_suspect_until = None;
        peer.last_contact = Some(now);
    }

    /// Notes that a peer could not be reached or did not respond. It is suspect until the next contact and, if it
    /// failed before, at least for a backoff that doubles with each failure.
    pub fn note_failure(&mut self, now: Instant, peer: Tag) {
        let Some(peer) = self.peers.get_mut(&peer) else { return };
        if peer.down && !peer.may_be_contacted(now) {
            return;
        }
        if peer.last_failure.is_some_and(|at| now.duration_since(at) > FAILURE_MAX_AGE) {
            peer.failures = 0;
        }
        let pause = RETRY_FIRST.saturating_mul(1 << peer.failures.min(10)).min(RETRY_MAX);
        if !peer.down && peer.failures > 0 {
            peer.backoff_until = Some(now + pause);
        }
        self.changes += u64::from(!peer.down);
        peer.down = true;
        peer.retry_at = Some(now + pause);
        peer.failures += 1;
        peer.last_failure = Some(now);
    }

    /// Notes that another instance suspects a peer; ignored if this instance had contact with it recently.
    pub fn note_reported_suspect(&mut self, now: Instant, peer: Tag) {
        let Some(peer) = self.peers.get_mut(&peer) else { return };
        let recent =
            peer.last_contact.is_some_and(|at| now.duration_since(at) < RECENT_CONTACT_MAX_AGE);
        if !recent && !peer.is_suspect(now) {
            peer.reported_suspect_until = Some(now + REPORTED_SUSPECT_DURATION);
            self.changes += 1;
        }
    }

    /// Notes that this instance is leaving.
    pub fn leave(&mut self) {
        self.changes += u64::from(!self.own_leaving);
        self.own_leaving = true;
    }

    /// Returns whether this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.own_leaving
    }

    /// Returns the peers that this instance suspects by its own evidence.
    pub fn own_suspects(&self, now: Instant) -> Vec<Tag> {
        let recent = |at: Instant| now.duration_since(at) < RETRY_MAX;
        let own = |p: &&Peer| p.down && p.last_failure.is_some_and(recent);
        self.peers.values().filter(own).map(|p| p.candidate.tag).collect()
    }

    /// Returns the instances that may be homes; if there is no other, this one even while it is leaving.
    pub fn homes(&self, now: Instant) -> Vec<&Candidate> {
        let peers = self.peers.values().filter(|p| p.may_be_home(now));
        let mut homes: Vec<&Candidate> = peers.map(|p| &p.candidate).collect();
        if !self.own_leaving || homes.is_empty() {
            homes.push(&self.own);
        }
        homes
    }

    /// Returns all peers.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the peer with this tag.
    pub fn peer(&self, tag: Tag) -> Option<&Peer> {
        self.peers.get(&tag)
    }

    /// Returns this instance.
    pub fn own(&self) -> &Candidate {
        &self.own
    }

    /// Returns whether the platform's list says that a backend server accepts no new requests.
    pub fn is_server_leaving(&self, id: &str) -> bool {
        self.leaving_servers.get(id).is_some_and(|state| *state != MemberState::Live)
    }
}
