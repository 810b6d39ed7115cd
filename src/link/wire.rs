//! Messages between instances, in compact `rmp-serde` form.
//!
//! Structs travel as arrays and names as tags; the sizes are measured in docs/MEASUREMENTS.md.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    configs::fleet::chunks::Digest,
    contract::{
        permit::{Ask, Held, PermitId, RefuseReason, Release, Reply},
        revision::Head,
    },
    names::Tag,
    units::Revision,
    zone::{home::ShardLoad, rendezvous::ChatKey, shard::ShardId},
};

/// Path of [`AskRequest`].
pub const ASK: &str = "/a";
/// Path of [`WaitRequest`].
pub const WAIT: &str = "/w";
/// Path of [`Heartbeat`].
pub const HEARTBEAT: &str = "/h";
/// Path of [`FetchRequest`].
pub const FETCH: &str = "/f";
/// Path of the request for an instance's status.
pub const STATUS: &str = "/s";
/// Path of the order to drain.
pub const DRAIN: &str = "/d";
/// Path of [`LoadsMessage`].
pub const LOADS: &str = "/l";

/// Who speaks, carried by every message.
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
    pub fn of(ask: &Ask) -> AskWire {
        AskWire {
            number: short(ask.id.number),
            chat: ask.chat,
            team: ask.team,
            left_ms: millis(ask.left),
            hint: ask.hint.map_or(0, |tag| tag.0),
            avoid: ask.avoid.clone(),
            may_spill: ask.may_spill,
        }
    }

    /// Returns the ask that `hello`'s instance sent.
    pub fn into_ask(self, hello: &Hello) -> Ask {
        Ask {
            id: hello.permit(self.number),
            chat: self.chat,
            team: self.team,
            left: Duration::from_millis(u64::from(self.left_ms)),
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
    /// How the request ended, by [`ReleaseWire::KINDS`].
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

/// What one entry tells the home of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardBatch {
    /// The shard.
    pub shard: ShardId,
    /// Permits given back.
    pub releases: Vec<ReleaseWire>,
    /// All permits held, when the home asked for them or is new.
    pub announce: Option<Vec<Held>>,
    /// Number of permits held after the releases and before the asks.
    pub held: u32,
    /// New asks.
    pub asks: Vec<AskWire>,
}

/// Asks, releases and announcements of an entry for one home instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskRequest {
    /// Sender.
    pub hello: Hello,
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

/// Answer to [`AskRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskReply {
    /// Sender.
    pub hello: Hello,
    /// Replies by batch, in the order of the asks.
    pub replies: Vec<Vec<ReplyWire>>,
    /// Batches whose shard wants an announcement.
    pub want_announcement: Vec<u16>,
}

/// Waits for the grants of queued asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitRequest {
    /// Sender.
    pub hello: Hello,
}

/// A queued ask's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LateReply {
    /// Number of the permit.
    pub number: u32,
    /// Answer.
    pub reply: ReplyWire,
}

/// A sign of life, with news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub hello: Hello,
    /// Instances that the sender suspects by its own evidence.
    pub suspects: Vec<Tag>,
}

/// Loads of the sender's shards, for the homes of other shards of the same services.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadsMessage {
    /// Sender.
    pub hello: Hello,
    /// Loads by shard.
    pub loads: Vec<(ShardId, ShardLoad)>,
}

/// Asks for parts of the file in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchRequest {
    /// The head.
    Head,
    /// An object: a manifest or a chunk.
    Object(Digest),
}

/// Answer to [`FetchRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FetchReply {
    /// The head in force, if there is one.
    Head(Option<Head>),
    /// The object, if it is there.
    Object(Option<serde_bytes::ByteBuf>),
}
