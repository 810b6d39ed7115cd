//! Explains to which engine a chat would be sent now, and why.

use serde::{Deserialize, Serialize};

use crate::{
    instance::shared::Shared,
    link::{peer::PeerError, traffic::Purpose, wire::EXPLAIN_PATH},
    names::Tag,
    utils::sync::lock,
    zone::rendezvous::{ChatKey, ranked},
};

/// A chat, identified as operators do.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatName {
    /// Id of the service.
    pub service: String,
    /// Id of the team.
    pub team: String,
    /// Id of the chat, as in the header `Cartvane-Chat`.
    pub chat: String,
}

/// Where a chat would be sent, and why.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// Id of the service.
    pub service: String,
    /// Key of the chat.
    pub chat: String,
    /// Shards in the chat's rendezvous order, each with its home.
    pub shards: Vec<RankedShard>,
    /// Engine that the chat was last sent to, as far as the home knows.
    pub remembered: Option<String>,
    /// Engine that the chat would be sent to now.
    pub would_go: Option<String>,
    /// Engines of the first shard in the chat's rendezvous order.
    pub rank: Vec<String>,
    /// Reason for the choice, in one sentence.
    pub why: String,
}

/// A shard in a chat's rendezvous order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RankedShard {
    /// Number of the shard.
    pub number: u16,
    /// Id of the home in the view of the instance that explains.
    pub home: String,
}

/// Why a chat's placement cannot be explained.
#[derive(Debug, thiserror::Error)]
pub enum ExplainError {
    /// No configuration is active on this instance.
    #[error("no file is in force here yet; try again, or ask another instance")]
    NoConfiguration,
    /// The active configuration has no such service.
    #[error("no service is called {0:?}; see `cartvane show`")]
    UnknownService(String),
    /// The home did not respond.
    #[error(transparent)]
    Home(#[from] PeerError),
}

impl ExplainError {
    /// Returns the HTTP status of the error.
    pub fn status(&self) -> u16 {
        if matches!(self, ExplainError::UnknownService(_)) { 404 } else { 503 }
    }
}

/// Explains where a chat would be sent, as the home of its first shard sees it.
///
/// # Errors
///
/// See [`ExplainError`].
pub fn explain(shared: &Shared, name: &ChatName) -> Result<Explanation, ExplainError> {
    let snapshot = shared.snapshot.load_full().ok_or(ExplainError::NoConfiguration)?;
    let unknown = || ExplainError::UnknownService(name.service.clone());
    let view = snapshot.service(&name.service).ok_or_else(unknown)?;
    let key = chat_key(name);
    let home = shared.home_of(view.ranked_shards(key)[0]);
    let address = lock(&shared.membership).peer(home).map(|p| p.address);
    match address {
        Some(address) => Ok(shared.peers.call(Purpose::Operators, address, EXPLAIN_PATH, name)?),
        None => explain_locally(shared, name),
    }
}

/// Explains where a chat would be sent, as this instance sees it.
///
/// # Errors
///
/// See [`ExplainError`].
pub fn explain_locally(shared: &Shared, name: &ChatName) -> Result<Explanation, ExplainError> {
    let snapshot = shared.snapshot.load_full().ok_or(ExplainError::NoConfiguration)?;
    let unknown = || ExplainError::UnknownService(name.service.clone());
    let view = snapshot.service(&name.service).ok_or_else(unknown)?;
    let key = chat_key(name);
    let shards = view.ranked_shards(key);
    let first = shards[0];
    let server = |tag| snapshot.server(tag).map(|b| b.id.to_string());
    let order = ranked(key.0, first.engines.iter().map(|e| (e.tag, e.weight)));
    // A home that has had no permit request yet knows no chats and grants the least loaded engine.
    let (remembered, would_go) = shared.homes.explain(first.id, key).unwrap_or((None, None));
    Ok(Explanation {
        service: name.service.clone(),
        chat: key.to_string(),
        shards: shards
            .iter()
            .map(|s| RankedShard {
                number: s.id.number,
                home: instance_name(shared, shared.home_of(s)),
            })
            .collect(),
        remembered: remembered.and_then(server),
        would_go: would_go.and_then(server),
        rank: order.into_iter().filter_map(|at| server(first.engines[at].tag)).collect(),
        why: why(remembered, would_go).to_owned(),
    })
}

fn chat_key(name: &ChatName) -> ChatKey {
    ChatKey::of(&[&name.service, &name.team, &name.chat])
}

fn instance_name(shared: &Shared, instance: Tag) -> String {
    let peer = lock(&shared.membership).peer(instance).map(|p| p.candidate.id.to_string());
    peer.unwrap_or_else(|| shared.settings.id.to_string())
}

fn why(remembered: Option<Tag>, would_go: Option<Tag>) -> &'static str {
    match (remembered, would_go) {
        (Some(a), Some(b)) if a == b => "its context is there, and the engine is under the bound",
        (Some(_), Some(_)) => {
            "the engine with its context is at the bound, leaving or suspected; this one follows in its rank"
        }
        (None, Some(_)) => "the home does not remember it, so it fills up the least loaded engine",
        (_, None) => "no engine is known to have room; it would wait",
    }
}
