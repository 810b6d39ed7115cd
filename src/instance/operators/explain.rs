//! Tells where a chat would go now, and why.

use serde::{Deserialize, Serialize};

use crate::{
    instance::shared::Shared,
    link::{peer::PeerError, traffic::Purpose, wire::EXPLAIN_PATH},
    names::Tag,
    utils::sync::lock,
    zone::rendezvous::{ChatKey, ranked},
};

/// A chat as operators name it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChatName {
    /// Service.
    pub service: String,
    /// Team.
    pub team: String,
    /// Chat, as in the header `Cartvane-Chat`.
    pub chat: String,
}

/// Where a chat would go.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Explanation {
    /// Service.
    pub service: String,
    /// Key of the chat.
    pub chat: String,
    /// Shards in the chat's rank, each with its home.
    pub shards: Vec<RankedShard>,
    /// Engine that the home remembers for the chat.
    pub remembered: Option<String>,
    /// Engine that it would go to now.
    pub would_go: Option<String>,
    /// Engines of the first shard in the chat's rank.
    pub rank: Vec<String>,
    /// Why, in a sentence.
    pub why: String,
}

/// A shard in a chat's rank.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RankedShard {
    /// Number.
    pub number: u16,
    /// Home by this instance's view.
    pub home: String,
}

/// Why nothing can be told.
#[derive(Debug, thiserror::Error)]
pub enum ExplainFault {
    /// No file is in force.
    #[error("no file is in force here yet; try again, or ask another instance")]
    NoFile,
    /// The file has no such service.
    #[error("no service is called {0:?}; see `cartvane show`")]
    NoService(String),
    /// The home did not answer.
    #[error(transparent)]
    Home(#[from] PeerError),
}

impl ExplainFault {
    /// Returns the HTTP status that goes with it.
    pub fn status(&self) -> u16 {
        if matches!(self, ExplainFault::NoService(_)) { 404 } else { 503 }
    }
}

/// Tells where a chat would go, asking the home of its first shard.
///
/// # Errors
///
/// See [`ExplainFault`].
pub fn explain(shared: &Shared, name: &ChatName) -> Result<Explanation, ExplainFault> {
    let snapshot = shared.snapshot.load_full().ok_or(ExplainFault::NoFile)?;
    let unknown = || ExplainFault::NoService(name.service.clone());
    let view = snapshot.service(&name.service).ok_or_else(unknown)?;
    let key = key_of(name);
    let home = shared.home_of(view.ranked_shards(key)[0]);
    let address = lock(&shared.membership).peer(home).map(|p| p.address);
    match address {
        Some(address) => Ok(shared.peers.call(Purpose::Operators, address, EXPLAIN_PATH, name)?),
        None => explain_here(shared, name),
    }
}

/// Tells where a chat would go, as this instance knows it.
///
/// # Errors
///
/// See [`ExplainFault`].
pub fn explain_here(shared: &Shared, name: &ChatName) -> Result<Explanation, ExplainFault> {
    let snapshot = shared.snapshot.load_full().ok_or(ExplainFault::NoFile)?;
    let unknown = || ExplainFault::NoService(name.service.clone());
    let view = snapshot.service(&name.service).ok_or_else(unknown)?;
    let key = key_of(name);
    let shards = view.ranked_shards(key);
    let first = shards[0];
    let server = |tag| snapshot.server(tag).map(|b| b.id.to_string());
    let by_rank = ranked(key.0, first.engines.iter().map(|e| (e.tag, e.weight)));
    // A home that no entry has asked yet remembers nothing and grants to the least loaded.
    let (remembered, would_go) = shared.homes.explain(first.id, key).unwrap_or((None, None));
    Ok(Explanation {
        service: name.service.clone(),
        chat: key.to_string(),
        shards: shards
            .iter()
            .map(|s| RankedShard { number: s.id.number, home: name_of(shared, shared.home_of(s)) })
            .collect(),
        remembered: remembered.and_then(server),
        would_go: would_go.and_then(server),
        rank: by_rank.into_iter().filter_map(|at| server(first.engines[at].tag)).collect(),
        why: why(remembered, would_go).to_owned(),
    })
}

fn key_of(name: &ChatName) -> ChatKey {
    ChatKey::of(&[&name.service, &name.team, &name.chat])
}

fn name_of(shared: &Shared, instance: Tag) -> String {
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
