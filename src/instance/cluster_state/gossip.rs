//! Heartbeats, loads and chat locations exchanged between instances, and the platform's membership list.

use std::time::Instant;

use crate::{
    instance::shared::Shared,
    link::{
        traffic::Purpose,
        wire::{
            CHAT_LOCATIONS_PATH, ChatLocationsMessage, FETCH_PATH, FetchReply, FetchRequest,
            HEARTBEAT_PATH, Heartbeat, LOADS_PATH, LoadsMessage, ShardChatLocations,
        },
    },
    names::Tag,
    platform::{Member, MemberKind, MemberState},
    utils::sync::lock,
    zone::{home::Event, shard::ShardId},
};

/// Most chat locations of one shard in a message; with `CHAT_REPLICATION_PERIOD` this keeps the replication of all
/// locations of a shard under 6 KB/s.
const REPLICATED_CHATS_MAX: usize = 200;

/// Peers that an instance notifies of a revision that it has just activated.
const REVISION_FANOUT: usize = 4;

/// Fetches the changes of the platform's membership list; while the platform is unavailable, the membership stays.
pub fn poll_members(shared: &Shared) {
    let version = lock(&shared.membership).version();
    match shared.platform.members.since(version) {
        Ok(page) if page.version != version => {
            lock(&shared.membership).apply_list(page.version, page.changed);
        }
        Ok(_) => {}
        Err(error) => {
            log::debug!("cannot read the membership list: {error}");
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

/// Introduces this instance to the first seed that replies, and receives the other instances from it.
fn query_seeds(shared: &Shared) {
    let Some(own) = own_member(shared) else { return };
    let (settings, address) = (&shared.settings, own.address);
    for seed in settings.listen.seeds.iter().filter(|seed| **seed != address) {
        let request = FetchRequest::Members(own.clone());
        let reply =
            shared.peers.call::<FetchReply>(Purpose::Heartbeat, *seed, FETCH_PATH, &request);
        if let Ok(FetchReply::Members(members)) = reply {
            let now = shared.clock.now();
            let mut membership = lock(&shared.membership);
            members.into_iter().for_each(|member| membership.introduce(now, member));
            return;
        }
    }
}

/// Adds an instance that introduces itself; returns the instances that were known before, and this one.
pub fn handle_introduction(shared: &Shared, member: Member) -> Vec<Member> {
    let mut membership = lock(&shared.membership);
    let mut members = membership.members();
    members.extend(own_member(shared));
    membership.introduce(shared.clock.now(), member);
    members
}

/// Notifies the homes held here which backend servers the membership list marks as leaving.
pub fn update_leaving_servers(shared: &Shared) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    shared.homes.notify_all(|id| {
        let Some(shard) = snapshot.shard(id) else { return Vec::new() };
        let membership = lock(&shared.membership);
        let is_leaving = |tag: Tag| {
            snapshot.server(tag).is_some_and(|b| membership.is_server_leaving(b.id.as_str()))
        };
        shard.engines.iter().map(|e| Event::ListedLeaving(e.tag, is_leaving(e.tag))).collect()
    });
}

/// Sends a heartbeat to one random peer.
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

/// Sends heartbeats, which carry the active revision, to `REVISION_FANOUT` random peers. Each peer does the same once
/// it has activated the revision, until all instances have it.
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

/// Sends a heartbeat to every peer, so that all learn at once that this instance is leaving.
pub fn send_heartbeat_to_all(shared: &Shared) {
    let peers: Vec<Tag> = lock(&shared.membership).peers().map(|p| p.candidate.tag).collect();
    peers.into_iter().for_each(|peer| send_heartbeat_to(shared, peer));
}

fn send_heartbeat_to(shared: &Shared, peer: Tag) {
    let now = shared.clock.now();
    let Some(address) = lock(&shared.membership).peer(peer).map(|peer| peer.address) else {
        return;
    };
    let heartbeat = own_heartbeat(shared, now);
    match shared.peers.call::<Heartbeat>(Purpose::Heartbeat, address, HEARTBEAT_PATH, &heartbeat) {
        Ok(reply) => {
            handle_heartbeat(shared, &reply);
        }
        Err(error) => {
            log::debug!("heartbeat failed: {error}");
            lock(&shared.membership).note_failure(shared.clock.now(), peer);
        }
    }
}

/// Handles a peer's heartbeat and returns this instance's own as the reply.
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

/// Sends the loads of the shards held here to the homes of the other shards of the same services.
pub fn send_loads(shared: &Shared) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    let own_loads = shared.homes.loads();
    let mut by_peer: std::collections::HashMap<Tag, Vec<_>> = std::collections::HashMap::new();
    for (id, load) in own_loads {
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
        // The next message replaces a lost one.
        let _ = shared.peers.call::<()>(Purpose::Loads, address, LOADS_PATH, &message);
    }
}

/// Applies the loads of shards that other instances hold.
pub fn apply_loads(shared: &Shared, loads: &[(ShardId, crate::zone::home::ShardLoad)]) {
    shared.homes.notify_all(|id| {
        let others = loads.iter().filter(|(other, _)| other.service == id.service && *other != id);
        others
            .map(|(other, load)| Event::OtherShardLoad(Tag(u32::from(other.number)), *load))
            .collect()
    });
}

/// Sends the chat locations that have changed since the last call to the replicas.
pub fn replicate_chats(shared: &Shared) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    let unreplicated = shared
        .homes
        .take_unreplicated(&snapshot, REPLICATED_CHATS_MAX, |shard| shared.replica_of(shard));
    for (to, chat_locations) in unreplicated {
        let Some(address) = lock(&shared.membership).peer(to).map(|p| p.address) else { continue };
        let message = ChatLocationsMessage { hello: shared.hello(), shards: vec![chat_locations] };
        // A lost message is not repeated: the replica learns its locations once it is the home and the chats return.
        let _ =
            shared.peers.call::<()>(Purpose::ChatLocations, address, CHAT_LOCATIONS_PATH, &message);
    }
}

/// Applies chat locations received from other instances.
pub fn apply_replicated_chats(shared: &Shared, shards: Vec<ShardChatLocations>) {
    let Some(snapshot) = shared.snapshot.load_full() else { return };
    for chat_locations in shards {
        shared.homes.apply_replicated(chat_locations, &snapshot);
    }
}
