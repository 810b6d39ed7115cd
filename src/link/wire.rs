//! Messages between instances, in compact `rmp-serde` form.
//!
//! Structs travel as arrays and names as tags; the sizes are measured in docs/MEASUREMENTS.md.

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
    units::Revision,
    zone::{home::ShardLoad, rendezvous::ChatKey, shard::ShardId},
};

/// Path of [`Heartbeat`].
pub const HEARTBEAT: &str = "/h";
/// Path of [`FetchRequest`].
pub const FETCH: &str = "/f";
/// Path of the request for an instance's status.
pub const STATUS: &str = "/s";
/// Path of the question where a chat would go.
pub const EXPLAIN: &str = "/e";
/// Path of the order to drain.
pub const DRAIN: &str = "/d";
/// Path of [`MemoryMessage`].
pub const MEMORY: &str = "/m";
/// Path of [`LoadsMessage`].
pub const LOADS: &str = "/l";

/// Who speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Tag of the instance.
    pub from: Tag,
    /// Start of its process, in seconds since 1970.
    pub incarnation: u32,
    /// Revision in force at it.
    pub revision: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl Hello {
    /// Returns the permit identity that `number` stands for in this instance's messages.
    pub fn permit(&self, number: u32) -> PermitId {
        PermitId { entry: self.from, number: u64::from(self.incarnation) << 32 | u64::from(number) }
    }
}

/// Returns the number that stands for a permit in its own entry's messages.
pub fn short(number: u64) -> u32 {
    number as u32
}

/// An ask on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskWire {
    /// Number of the permit.
    pub number: u32,
    /// Chat.
    pub chat: ChatKey,
    /// Team.
    pub team: Tag,
    /// Milliseconds left.
    pub left_ms: u32,
    /// Engine that the caller's hint names; zero: none.
    pub hint: u32,
    /// Engines already tried.
    pub avoid: Vec<Tag>,
    /// Whether another shard may be asked.
    pub may_spill: bool,
}

impl AskWire {
    /// Returns the message form of an ask.
    pub fn of(ask: &PermitRequest) -> AskWire {
        AskWire {
            number: short(ask.id.number),
            chat: ask.chat,
            team: ask.team,
            left_ms: millis(ask.time_left),
            hint: ask.hint.map_or(0, |tag| tag.0),
            avoid: ask.avoid.clone(),
            may_spill: ask.may_spill,
        }
    }

    /// Returns the ask that `hello`'s instance sent.
    pub fn into_ask(self, hello: &Hello) -> PermitRequest {
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

/// Returns a duration in whole milliseconds.
pub fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// A release on its way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseWire {
    /// Number of the permit.
    pub number: u32,
    /// How the request ended, by its place in `KINDS`.
    pub kind: u8,
    /// Reported load plus one; zero: none.
    pub load: u32,
}

impl ReleaseWire {
    /// The kinds by code.
    const KINDS: [crate::contract::permit::ReleaseKind; 5] = {
        use crate::contract::permit::ReleaseKind::*;
        [Done, Failed, Refused, Unused, Leaving]
    };

    /// Returns the message form of a release.
    pub fn of(release: &Release) -> ReleaseWire {
        let code = Self::KINDS.iter().position(|kind| *kind == release.kind).unwrap_or(0);
        ReleaseWire {
            number: short(release.number),
            kind: code as u8,
            load: release.load.map_or(0, |load| load.saturating_add(1)),
        }
    }

    /// Returns the release that `hello`'s instance sent.
    pub fn into_release(self, hello: &Hello) -> Release {
        Release {
            number: hello.permit(self.number).number,
            kind: Self::KINDS[usize::from(self.kind).min(Self::KINDS.len() - 1)],
            load: self.load.checked_sub(1),
        }
    }
}

/// All permits that an entry holds at a shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Permits held.
    pub held: Vec<AnnouncedPermit>,
    /// Asks under way, whose grants the entry may not know yet.
    pub pending: Vec<u32>,
}

/// What one entry tells the home of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardBatch {
    /// The shard.
    pub shard: ShardId,
    /// Permits given back.
    pub releases: Vec<ReleaseWire>,
    /// All permits held, when the home asked for them or is new.
    pub announce: Option<Announcement>,
    /// Number of permits held after the releases, when it is known for sure.
    pub held: Option<u32>,
    /// New asks.
    pub asks: Vec<AskWire>,
}

impl ShardBatch {
    /// Returns a batch that says nothing yet.
    pub fn new(shard: ShardId) -> ShardBatch {
        ShardBatch { shard, releases: Vec::new(), announce: None, held: None, asks: Vec::new() }
    }
}

/// A message of an entry on its stream to a home.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryMessage {
    /// Sender, in the first message and whenever something of it has changed.
    pub hello: Option<Hello>,
    /// One batch a shard.
    pub batches: Vec<ShardBatch>,
}

/// A home's answer to one ask: a code and a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplyWire(u8, u32);

const REASONS: [RefuseReason; 5] = [
    RefuseReason::TeamInFlight,
    RefuseReason::TeamRate,
    RefuseReason::QueueFull,
    RefuseReason::Deadline,
    RefuseReason::NoEngine,
];

/// First code that stands for a refusal.
const REFUSED: u8 = 3;

impl ReplyWire {
    /// Returns the message form of a reply.
    pub fn of(reply: Reply) -> ReplyWire {
        match reply {
            Reply::Granted(tag) => ReplyWire(0, tag.0),
            Reply::Queued => ReplyWire(1, 0),
            Reply::Spill => ReplyWire(2, 0),
            Reply::Refused { reason, retry_after_ms } => {
                let code = REASONS.iter().position(|r| *r == reason).unwrap_or(0);
                ReplyWire(REFUSED + code as u8, retry_after_ms)
            }
        }
    }

    /// Returns the reply.
    pub fn reply(self) -> Reply {
        match self.0 {
            0 => Reply::Granted(Tag(self.1)),
            1 => Reply::Queued,
            2 => Reply::Spill,
            code => Reply::Refused {
                reason: REASONS[usize::from(code - REFUSED).min(REASONS.len() - 1)],
                retry_after_ms: self.1,
            },
        }
    }
}

/// A home's answer to the ask with this number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NumberedReply {
    /// Number of the permit.
    pub number: u32,
    /// Answer.
    pub reply: ReplyWire,
}

impl NumberedReply {
    /// Returns the reply of a home that knows no engine for an ask.
    pub fn no_engine(number: u32) -> NumberedReply {
        let reply = Reply::Refused { reason: RefuseReason::NoEngine, retry_after_ms: 1000 };
        NumberedReply { number, reply: ReplyWire::of(reply) }
    }
}

/// A message of a home on an entry's stream.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct HomeMessage {
    /// Sender, in the first message and whenever something of it has changed.
    pub hello: Option<Hello>,
    /// Replies, to asks just made or made earlier and queued.
    pub replies: Vec<NumberedReply>,
    /// Shards for which the entry is to announce what it holds.
    pub want_announcement: Vec<ShardId>,
}

/// A sign of life, with news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub hello: Hello,
    /// Instances that the sender suspects by its own evidence.
    pub suspects: Vec<Tag>,
    /// Instances that introduced themselves a short while ago.
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

/// Where chats of a shard went.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memory {
    /// The shard.
    pub shard: ShardId,
    /// Chats with their engines.
    pub places: Vec<(ChatKey, Tag)>,
}

/// Where chats went, told to the replica of a home's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemoryMessage {
    /// Sender.
    pub hello: Hello,
    /// By shard.
    pub memories: Vec<Memory>,
}

/// Asks for parts of the file in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchRequest {
    /// The head.
    Head,
    /// An object: a manifest or a chunk.
    Object(Digest),
    /// The instances known; the asker introduces itself.
    Members(Member),
}

/// Answer to [`FetchRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchReply {
    /// The head in force, if there is one.
    Head(Option<Head>),
    /// The object, if it is there.
    Object(Option<serde_bytes::ByteBuf>),
    /// The instances known.
    Members(Vec<Member>),
}
