//! Messages between instances, in the compact encoding of `rmp-serde`.
//!
//! Structs are encoded as arrays, and names are sent as tags; docs/MEASUREMENTS.md has the sizes of the messages.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    configs::fleet::chunks::Digest,
    contract::{
        permit::{AnnouncedPermit, PermitId, PermitRequest, RefuseReason, Release, Reply},
        revision::Head,
    },
    names::Tag,
    platform::Member,
    units::{RequestCount, Revision},
    zone::{home::ShardLoad, rendezvous::ChatKey, shard::ShardId},
};

/// Path of [`Heartbeat`].
pub const HEARTBEAT_PATH: &str = "/h";
/// Path of [`FetchRequest`].
pub const FETCH_PATH: &str = "/f";
/// Path of requests for an instance's status.
pub const STATUS_PATH: &str = "/s";
/// Path of requests that explain the placement of a chat.
pub const EXPLAIN_PATH: &str = "/e";
/// Path of requests to drain an instance.
pub const DRAIN_PATH: &str = "/d";
/// Path of [`ChatLocationsMessage`].
pub const CHAT_LOCATIONS_PATH: &str = "/m";
/// Path of [`LoadsMessage`].
pub const LOADS_PATH: &str = "/l";

/// Introduction of a message's sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Tag of the instance.
    pub from: Tag,
    /// Start time of its process, in seconds since the Unix epoch.
    pub incarnation: u32,
    /// Active revision of the instance.
    pub revision: Revision,
    /// Whether the instance is leaving.
    pub leaving: bool,
}

impl Hello {
    /// Returns the full permit id for a `number` in the messages of this instance.
    pub fn permit(&self, number: u32) -> PermitId {
        PermitId { entry: self.from, number: u64::from(self.incarnation) << 32 | u64::from(number) }
    }
}

/// Returns the number of a permit in the messages of its entry, which omit the incarnation.
pub fn wire_number(number: u64) -> u32 {
    number as u32
}

/// Encoded form of a permit request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequestWire {
    /// Number of the permit.
    pub number: u32,
    /// Chat.
    pub chat: ChatKey,
    /// Team.
    pub team: Tag,
    /// Milliseconds until the request's deadline.
    pub left_ms: u32,
    /// Engine in the caller's placement hint, or zero for none.
    pub hint: u32,
    /// Engines that earlier attempts have used.
    pub avoid: Vec<Tag>,
    /// Whether the request may be sent to another shard.
    pub may_spill: bool,
}

impl PermitRequestWire {
    /// Encodes a permit request.
    pub fn new(request: &PermitRequest) -> PermitRequestWire {
        PermitRequestWire {
            number: wire_number(request.id.number),
            chat: request.chat,
            team: request.team,
            left_ms: millis(request.time_left),
            hint: request.hint.map_or(0, |tag| tag.0),
            avoid: request.avoid.clone(),
            may_spill: request.may_spill,
        }
    }

    /// Decodes the permit request, which the instance of `hello` has sent.
    pub fn into_request(self, hello: &Hello) -> PermitRequest {
        PermitRequest {
            id: hello.permit(self.number),
            chat: self.chat,
            team: self.team,
            time_left: Duration::from_millis(u64::from(self.left_ms)),
            hint: (self.hint != 0).then_some(Tag(self.hint)),
            avoid: self.avoid,
            may_spill: self.may_spill,
        }
    }
}

/// Returns a duration in milliseconds, at most `u32::MAX`.
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Encoded form of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseWire {
    /// Number of the permit.
    pub number: u32,
    /// How the request ended, as an index into `KINDS`.
    pub kind: u8,
    /// Reported load plus one, or zero for none.
    pub load: u32,
}

impl ReleaseWire {
    /// Kinds of releases by code.
    const KINDS: [crate::contract::permit::ReleaseKind; 5] = {
        use crate::contract::permit::ReleaseKind::*;
        [Done, Failed, Refused, Unused, Leaving]
    };

    /// Encodes a release.
    pub fn new(release: &Release) -> ReleaseWire {
        let code = Self::KINDS.iter().position(|kind| *kind == release.kind).unwrap_or(0);
        ReleaseWire {
            number: wire_number(release.number),
            kind: code as u8,
            load: release.load.map_or(0, |load| load.saturating_add(1)),
        }
    }

    /// Decodes the release, which the instance of `hello` has sent.
    pub fn into_release(self, hello: &Hello) -> Release {
        Release {
            number: hello.permit(self.number).number,
            kind: Self::KINDS[usize::from(self.kind).min(Self::KINDS.len() - 1)],
            load: self.load.checked_sub(1).and_then(RequestCount::checked).map(RequestCount::get),
        }
    }
}

/// All permits that an entry holds at a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Permits held.
    pub held: Vec<AnnouncedPermit>,
    /// Pending permit requests, whose grants the entry may not have received yet.
    pub pending: Vec<u32>,
}

/// Messages from one entry to the home of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardBatch {
    /// The shard.
    pub shard: ShardId,
    /// Released permits.
    pub releases: Vec<ReleaseWire>,
    /// All permits held, if the home has requested them or is new.
    pub announce: Option<Announcement>,
    /// Number of permits held after the releases, if no request is pending.
    pub held: Option<u32>,
    /// New permit requests.
    pub requests: Vec<PermitRequestWire>,
}

impl ShardBatch {
    /// Returns an empty batch.
    pub fn new(shard: ShardId) -> ShardBatch {
        ShardBatch { shard, releases: Vec::new(), announce: None, held: None, requests: Vec::new() }
    }
}

/// Message from an entry on its stream to a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryMessage {
    /// Sender, in the first message and in those after a change of it.
    pub hello: Option<Hello>,
    /// One batch for each shard.
    pub batches: Vec<ShardBatch>,
}

/// Encoded form of a home's reply to a permit request: a code and a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyWire(u8, u32);

const REASONS: [RefuseReason; 5] = [
    RefuseReason::TeamInFlight,
    RefuseReason::TeamRate,
    RefuseReason::QueueFull,
    RefuseReason::Deadline,
    RefuseReason::NoEngine,
];

/// Code of the first reason in `REASONS`; the codes of the other reasons follow.
const FIRST_REJECTION_CODE: u8 = 3;

impl ReplyWire {
    /// Encodes a reply.
    pub fn new(reply: Reply) -> ReplyWire {
        match reply {
            Reply::Granted(tag) => ReplyWire(0, tag.0),
            Reply::Queued => ReplyWire(1, 0),
            Reply::Spill => ReplyWire(2, 0),
            Reply::Refused { reason, retry_after_ms } => {
                let code = REASONS.iter().position(|r| *r == reason).unwrap_or(0);
                ReplyWire(FIRST_REJECTION_CODE + code as u8, retry_after_ms)
            }
        }
    }

    /// Decodes the reply.
    pub fn reply(self) -> Reply {
        match self.0 {
            0 => Reply::Granted(Tag(self.1)),
            1 => Reply::Queued,
            2 => Reply::Spill,
            code => Reply::Refused {
                reason: REASONS[usize::from(code - FIRST_REJECTION_CODE).min(REASONS.len() - 1)],
                retry_after_ms: self.1,
            },
        }
    }
}

/// A home's reply to the permit request with this number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedReply {
    /// Number of the permit.
    pub number: u32,
    /// Reply.
    pub reply: ReplyWire,
}

impl NumberedReply {
    /// Returns the reply of a home that has no engine for a permit request.
    pub fn no_engine(number: u32) -> NumberedReply {
        let reply = Reply::Refused { reason: RefuseReason::NoEngine, retry_after_ms: 1000 };
        NumberedReply { number, reply: ReplyWire::new(reply) }
    }
}

/// Message from a home on an entry's stream.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HomeMessage {
    /// Sender, in the first message and in those after a change of it.
    pub hello: Option<Hello>,
    /// Replies to new permit requests, and to earlier ones that were queued.
    pub replies: Vec<NumberedReply>,
    /// Shards for which the entry is to announce the permits that it holds.
    pub request_announcement: Vec<ShardId>,
}

/// Heartbeat, with changes in the list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub hello: Hello,
    /// Instances that the sender itself has found unresponsive.
    pub suspects: Vec<Tag>,
    /// Instances that have recently introduced themselves.
    pub introduced: Vec<Member>,
}

/// Loads of the sender's shards, for the homes of other shards of the same services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadsMessage {
    /// Sender.
    pub hello: Hello,
    /// Loads by shard.
    pub loads: Vec<(ShardId, ShardLoad)>,
}

/// Engines at which the chats of a shard were last placed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardChatLocations {
    /// The shard.
    pub shard: ShardId,
    /// Engine of each chat.
    pub locations: Vec<(ChatKey, Tag)>,
}

/// Chat locations, sent to the replica of a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChatLocationsMessage {
    /// Sender.
    pub hello: Hello,
    /// Locations by shard.
    pub shards: Vec<ShardChatLocations>,
}

/// Request for a part of the active configuration, or for the list of instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchRequest {
    /// The head of the active configuration.
    Head,
    /// An object: a manifest or a chunk.
    Object(Digest),
    /// The list of instances; the requester introduces itself.
    Members(Member),
}

/// Reply to [`FetchRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchReply {
    /// The head of the active configuration, if there is one.
    Head(Option<Head>),
    /// The object, if the instance has it.
    Object(Option<serde_bytes::ByteBuf>),
    /// The list of instances.
    Members(Vec<Member>),
}
