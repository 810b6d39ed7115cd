//! Which instances are live: the platform's lagging list, what peers say, and own evidence.
//!
//! Suspicion moves homes for a bounded time; it never removes an instance for others.

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

/// First pause before a peer that did not answer is tried again; doubles with each failure.
const RETRY_FIRST: Duration = Duration::from_secs(1);

/// Longest such pause.
const RETRY_MAX: Duration = Duration::from_secs(60);

/// Time after which earlier failures no longer count against a peer.
const FAILURE_MAX_AGE: Duration = Duration::from_secs(120);

/// Time for which another instance's suspicion is believed.
const REPORTED_SUSPECT_DURATION: Duration = Duration::from_secs(2);

/// Own contact this recent outweighs a rumour.
const RECENT_CONTACT_MAX_AGE: Duration = Duration::from_secs(3);

/// Time for which an introduction is passed on.
const INTRODUCTION_MAX_AGE: Duration = Duration::from_secs(8);

/// Another instance.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Id, tag and zone.
    pub candidate: Candidate,
    /// Where it is reached.
    pub address: SocketAddr,
    /// State on the platform's list.
    pub listed_state: MemberState,
    /// Start of its running process, as it told; grows with each restart.
    pub incarnation: u64,
    /// Whether it told that it is leaving.
    pub announced_leaving: bool,
    /// It did not answer and has not been heard since.
    down: bool,
    /// When it may be tried again.
    retry_at: Option<Instant>,
    /// It flaps: it is passed over until then even if it is heard.
    backoff_until: Option<Instant>,
    /// Another instance suspects it.
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

    /// Returns whether it is passed over for now.
    pub fn is_suspect(&self, now: Instant) -> bool {
        let holds = |until: Option<Instant>| until.is_some_and(|until| now < until);
        self.down || holds(self.backoff_until) || holds(self.reported_suspect_until)
    }

    /// Returns whether a heartbeat may be sent to it.
    pub fn may_be_contacted(&self, now: Instant) -> bool {
        !self.down || self.retry_at.is_none_or(|at| now >= at)
    }

    /// Returns whether it may be a home.
    pub fn may_be_home(&self, now: Instant) -> bool {
        self.listed_state == MemberState::Live && !self.announced_leaving && !self.is_suspect(now)
    }

    /// Returns when it was last heard.
    pub fn last_contact(&self) -> Option<Instant> {
        self.last_contact
    }
}

/// What one instance knows of the others.
#[derive(Debug)]
pub struct Membership {
    own: Candidate,
    own_leaving: bool,
    peers: IndexMap<Tag, Peer>,
    leaving_servers: IndexMap<String, MemberState>,
    recent_introductions: Vec<(Instant, Member)>,
    version: u64,
    /// Counts changes of who may be a home.
    changes: u64,
}

impl Membership {
    /// Returns the view of an instance that knows only itself.
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

    /// Returns a number that grows with every change of who may be a home, but for suspicions that
    /// end by time.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the version of the list taken in last.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Takes in changes of the platform's list.
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

    /// Takes in an instance that introduced itself, sooner than the list shows it.
    pub fn introduce(&mut self, now: Instant, member: Member) {
        if member.id == self.own.id.as_str() {
            return;
        }
        let known = member.id.parse::<InstanceId>().ok().and_then(|id| self.peers.get(&id.tag()));
        let news = known.is_none_or(|peer| peer.address != member.address);
        if news && member.kind == MemberKind::Instance && member.state == MemberState::Live {
            self.recent_introductions.push((now, member.clone()));
            self.changes += 1;
            self.apply_instance(member);
        }
    }

    /// Returns the introductions to be passed on.
    pub fn recent_introductions(&mut self, now: Instant) -> Vec<Member> {
        self.recent_introductions.retain(|(at, _)| now.duration_since(*at) < INTRODUCTION_MAX_AGE);
        self.recent_introductions.iter().map(|(_, member)| member.clone()).collect()
    }

    /// Returns the other instances as entries of a list.
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

    /// Notes an exchange with a peer.
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

    /// Notes that a peer could not be reached or did not answer: it is passed over until it is
    /// heard, and if it fails again and again for a growing time beyond that.
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

    /// Notes that another instance suspects a peer.
    pub fn note_reported_suspect(&mut self, now: Instant, peer: Tag) {
        let Some(peer) = self.peers.get_mut(&peer) else { return };
        let recent =
            peer.last_contact.is_some_and(|at| now.duration_since(at) < RECENT_CONTACT_MAX_AGE);
        if !recent && !peer.is_suspect(now) {
            peer.reported_suspect_until = Some(now + REPORTED_SUSPECT_DURATION);
            self.changes += 1;
        }
    }

    /// Notes that this instance itself is leaving.
    pub fn leave(&mut self) {
        self.changes += u64::from(!self.own_leaving);
        self.own_leaving = true;
    }

    /// Returns whether this instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.own_leaving
    }

    /// Returns the peers that this instance has reason to suspect by its own evidence.
    pub fn own_suspects(&self, now: Instant) -> Vec<Tag> {
        let recent = |at: Instant| now.duration_since(at) < RETRY_MAX;
        let own = |p: &&Peer| p.down && p.last_failure.is_some_and(recent);
        self.peers.values().filter(own).map(|p| p.candidate.tag).collect()
    }

    /// Returns the instances that may be homes; this one stands in when there is no other.
    pub fn homes(&self, now: Instant) -> Vec<&Candidate> {
        let peers = self.peers.values().filter(|p| p.may_be_home(now));
        let mut homes: Vec<&Candidate> = peers.map(|p| &p.candidate).collect();
        if !self.own_leaving || homes.is_empty() {
            homes.push(&self.own);
        }
        homes
    }

    /// Returns every known peer.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns a peer.
    pub fn peer(&self, tag: Tag) -> Option<&Peer> {
        self.peers.get(&tag)
    }

    /// Returns this instance.
    pub fn own(&self) -> &Candidate {
        &self.own
    }

    /// Returns whether the list says that a backend server takes nothing new.
    pub fn is_server_leaving(&self, id: &str) -> bool {
        self.leaving_servers.get(id).is_some_and(|state| *state != MemberState::Live)
    }
}
