//! Signs of life among instances, and the platform's membership list.

use std::time::Instant;

use crate::{
    instance::shared::Shared,
    link::{
        traffic::Purpose,
        wire::{
            FETCH, FetchReply, FetchRequest, HEARTBEAT, Heartbeat, LOADS, LoadsMessage, MEMORY,
            Memory, MemoryMessage,
        },
    },
    names::Tag,
    platform::{Member, MemberKind, MemberState},
    utils::sync::lock,
    zone::{home::Event, shard::ShardId},
};

/// Most places of chats told of one shard at once; with the period of the telling this keeps a
/// hand-over of a whole memory under 6 KB/s.
const REPLICATED_CHATS_MAX: usize = 200;

/// Peers told at once of a new revision.
const REVISION_FANOUT: usize = 4;

/// Fetches what changed in the platform's list; while the platform is out, the view stays.
pub fn poll_members(shared: &Shared) {
    let version = lock(&shared.membership).version();
    match shared.platform.members.since(version) {
        Ok(page) if page.version != version => {
            lock(&shared.membership).apply_list(page.version, page.changed);
        }
        Ok(_) => {}
        Err(fault) => {
            log::debug!("membership list: {fault}");
            if lock(&shared.membership).peers().next().is_none() {
                query_seeds(shared);
            }
        }
    }
}

fn own_member(shared: &Shared) -> Option<Member> {
    let address = *shared.advertised.get()?;
    let settings = &shared.settings;
    Some(Member {
        id: settings.id.to_string(),
        kind: MemberKind::Instance,
        address,
        zone: settings.zone.clone(),
        state: MemberState::Live,
    })
}

/// Learns the other instances from one that the settings name, and introduces this one.
fn query_seeds(shared: &Shared) {
    let Some(own) = own_member(shared) else { return };
    let (settings, address) = (&shared.settings, own.address);
    for seed in settings.listen.seeds.iter().filter(|seed| **seed != address) {
        let request = FetchRequest::Members(own.clone());
        let reply = shared.peers.call::<FetchReply>(Purpose::Heartbeat, *seed, FETCH, &request);
        if let Ok(FetchReply::Members(members)) = reply {
            let now = shared.clock.now();
            let mut membership = lock(&shared.membership);
            members.into_iter().for_each(|member| membership.introduce(now, member));
            return;
        }
    }
}

/// Returns the instances known to one that introduces itself.
pub fn handle_introduction(shared: &Shared, member: Member) -> Vec<Member> {
    let mut membership = lock(&shared.membership);
    let mut known = membership.members();
    known.extend(own_member(shared));
    membership.introduce(shared.clock.now(), member);
    known
}

/// Tells the homes held here which backend servers the list calls leaving.
pub fn update_leaving_servers(shared: &Shared) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    shared.homes.notify_all(|id| {
        let Some(shard) = snapshot.shard(id) else { return Vec::new() };
        let membership = lock(&shared.membership);
        let leaves = |tag: Tag| {
            snapshot.server(tag).is_some_and(|b| membership.is_server_leaving(b.id.as_str()))
        };
        shard.engines.iter().map(|e| Event::ListedLeaving(e.tag, leaves(e.tag))).collect()
    });
}

/// Sends a heartbeat to one peer drawn at random.
pub fn send_heartbeat(shared: &Shared) {
    let peer = {
        let now = shared.clock.now();
        let membership = lock(&shared.membership);
        let peers: Vec<Tag> = membership
            .peers()
            .filter(|p| p.may_be_contacted(now))
            .map(|p| p.candidate.tag)
            .collect();
        fastrand::choice(peers)
    };
    if let Some(peer) = peer {
        send_heartbeat_to(shared, peer);
    }
}

/// Sends heartbeats to a few peers at once, which carry the revision just put in force; whoever
/// learns it so and puts it in force does the same, until nobody is left behind.
pub fn announce_revision(shared: &Shared) {
    let mut peers: Vec<Tag> = {
        let now = shared.clock.now();
        lock(&shared.membership)
            .peers()
            .filter(|p| p.may_be_contacted(now))
            .map(|p| p.candidate.tag)
            .collect()
    };
    fastrand::shuffle(&mut peers);
    peers.into_iter().take(REVISION_FANOUT).for_each(|peer| send_heartbeat_to(shared, peer));
}

/// Sends a heartbeat to every peer, so that all learn of a change at once.
pub fn send_heartbeat_to_all(shared: &Shared) {
    let peers: Vec<Tag> = lock(&shared.membership).peers().map(|p| p.candidate.tag).collect();
    peers.into_iter().for_each(|peer| send_heartbeat_to(shared, peer));
}

fn send_heartbeat_to(shared: &Shared, peer: Tag) {
    let now = shared.clock.now();
    let Some(address) = lock(&shared.membership).peer(peer).map(|known| known.address) else {
        return;
    };
    let heartbeat = own_heartbeat(shared, now);
    match shared.peers.call::<Heartbeat>(Purpose::Heartbeat, address, HEARTBEAT, &heartbeat) {
        Ok(reply) => {
            handle_heartbeat(shared, &reply);
        }
        Err(fault) => {
            log::debug!("heartbeat: {fault}");
            lock(&shared.membership).note_failure(shared.clock.now(), peer);
        }
    }
}

/// Takes in a peer's heartbeat and returns the answer to it.
pub fn handle_heartbeat(shared: &Shared, heartbeat: &Heartbeat) -> Heartbeat {
    shared.note_hello(&heartbeat.hello);
    let now = shared.clock.now();
    let mut membership = lock(&shared.membership);
    for suspect in &heartbeat.suspects {
        membership.note_reported_suspect(now, *suspect);
    }
    for member in &heartbeat.introduced {
        membership.introduce(now, member.clone());
    }
    drop(membership);
    own_heartbeat(shared, now)
}

fn own_heartbeat(shared: &Shared, now: Instant) -> Heartbeat {
    let hello = shared.hello();
    let mut membership = lock(&shared.membership);
    Heartbeat {
        hello,
        suspects: membership.own_suspects(now),
        introduced: membership.recent_introductions(now),
    }
}

/// Tells the homes of other shards of the same services the loads of the shards held here.
pub fn send_loads(shared: &Shared) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    let mine = shared.homes.loads();
    let mut by_peer: std::collections::HashMap<Tag, Vec<_>> = std::collections::HashMap::new();
    for (id, load) in mine {
        let Some(view) = snapshot.service_by_tag(id.service) else { continue };
        for shard in view.shards.iter().filter(|s| s.id != id) {
            by_peer.entry(shared.home_of(shard)).or_default().push((id, load));
        }
    }
    for (peer, mut loads) in by_peer {
        loads.dedup();
        if peer == shared.tag {
            apply_loads(shared, &loads);
            continue;
        }
        let Some(address) = lock(&shared.membership).peer(peer).map(|p| p.address) else {
            continue;
        };
        let message = LoadsMessage { hello: shared.hello(), loads };
        // A lost message is made good by the next.
        let _ = shared.peers.call::<()>(Purpose::Loads, address, LOADS, &message);
    }
}

/// Takes in the loads of shards held elsewhere.
pub fn apply_loads(shared: &Shared, loads: &[(ShardId, crate::zone::home::ShardLoad)]) {
    shared.homes.notify_all(|id| {
        let others = loads.iter().filter(|(other, _)| other.service == id.service && *other != id);
        others
            .map(|(other, load)| Event::OtherShardLoad(Tag(u32::from(other.number)), *load))
            .collect()
    });
}

/// Tells replicas where chats went since they were told last.
pub fn replicate_chats(shared: &Shared) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    let unreplicated = shared
        .homes
        .take_unreplicated(&snapshot, REPLICATED_CHATS_MAX, |shard| shared.replica_of(shard));
    for (to, memory) in unreplicated {
        let Some(address) = lock(&shared.membership).peer(to).map(|p| p.address) else { continue };
        let message = MemoryMessage { hello: shared.hello(), memories: vec![memory] };
        // What is lost with a message is learned again when its chats return.
        let _ = shared.peers.call::<()>(Purpose::Memory, address, MEMORY, &message);
    }
}

/// Takes over where chats were last.
pub fn apply_replicated_chats(shared: &Shared, memories: Vec<Memory>) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    for memory in memories {
        shared.homes.apply_replicated(memory, &snapshot);
    }
}
