//! Other instances: where they are, and what they know when the store cannot be read.

use std::{
    io::Read,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use ureq::Agent;

use super::{Gateway, intent_reader, roster_reader};
use crate::{
    adapter::{
        calls::INSTANCE_TABLE,
        store::{Change, StoreFault, StoreRow},
    },
    names::NodeName,
    platform::http::agent,
    utils::sync::lock,
};

/// Path of the question to another instance.
pub const KNOWLEDGE_PATH: &str = "/peer/knowledge";

/// Longest exchange with another instance.
const EXCHANGE_TIME: Duration = Duration::from_millis(350);

/// Instances asked at once when the store cannot be read.
const ASKED: usize = 2;

/// Least pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Pause between two refreshes of the instance's own row and of the others'. Rows change only
/// when instances come and go; peers are needed only while the store is away.
const REFRESH: Duration = Duration::from_secs(20);

/// First pauses, while instances that start together write their rows.
const REFRESH_FIRST: Duration = Duration::from_secs(4);

/// Age in refreshes after which a row counts as left behind by an instance that is gone.
const STALE_REFRESHES: u64 = 3;

/// Largest reply, in bytes.
const REPLY_MAX: u64 = 16 << 20;

/// What an instance writes of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRow {
    /// Where it listens for other instances.
    pub address: SocketAddr,
    /// The store's clock at the last refresh, in milliseconds.
    pub refreshed_ms: u64,
}

/// The question: what is newer than this?
#[derive(Debug, Serialize, Deserialize)]
pub struct KnowledgeQuestion {
    /// Version that the asker has in force.
    pub version: u64,
}

/// The reply, with ages instead of times, since instances share no clock.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct KnowledgeReply {
    /// The operator's intent, if it is newer than the asker's.
    #[serde(with = "serde_bytes")]
    pub intent: Option<Vec<u8>>,
    /// Milliseconds since the intent was known to be the newest.
    pub intent_age_ms: Option<u64>,
    /// Entries of backend servers.
    pub servers: Vec<(String, serde_bytes::ByteBuf)>,
    /// Milliseconds since the list was current.
    pub servers_age_ms: Option<u64>,
}

/// Other instances as far as they are known.
pub struct Peers {
    known: Mutex<IndexMap<NodeName, SocketAddr>>,
    last_round: Mutex<Option<Instant>>,
    agent: Agent,
}

impl Default for Peers {
    fn default() -> Peers {
        Peers { known: Mutex::default(), last_round: Mutex::default(), agent: agent(EXCHANGE_TIME) }
    }
}

impl Peers {
    /// Returns how many instances there are, this one included; at least as many as seeds.
    pub fn instances(&self, seeds: usize) -> usize {
        (lock(&self.known).len() + 1).max(seeds)
    }

    /// Returns up to `count` other addresses, drawn anew each time.
    fn draw(&self, gateway: &Gateway, count: usize) -> Vec<SocketAddr> {
        let own = gateway.settings.addresses.peers;
        let mut all: Vec<SocketAddr> = lock(&self.known).values().copied().collect();
        for &seed in &gateway.settings.seeds {
            if !all.contains(&seed) {
                all.push(seed);
            }
        }
        all.retain(|&address| address != own);
        fastrand::shuffle(&mut all);
        all.truncate(count);
        all
    }
}

/// Answers another instance's question.
pub fn answer(gateway: &Gateway, question: &KnowledgeQuestion) -> KnowledgeReply {
    let now = gateway.clock.now();
    let raw = gateway.knowledge.raw();
    let newer = gateway.knowledge.version() > question.version;
    let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    KnowledgeReply {
        intent: newer.then(|| raw.intent.to_vec()),
        intent_age_ms: gateway.intent_known_age(now).map(millis),
        servers: raw
            .servers
            .iter()
            .map(|(key, value)| (key.clone(), serde_bytes::ByteBuf::from(value.clone())))
            .collect(),
        servers_age_ms: gateway.knowledge.servers_age(now).map(millis),
    }
}

/// Serves one call on the peers' address.
pub fn serve(gateway: &Gateway, request: &rouille::Request) -> rouille::Response {
    if request.url() != KNOWLEDGE_PATH {
        return rouille::Response::empty_404();
    }
    let mut body = Vec::new();
    let read = request.data().map(|data| data.take(REPLY_MAX).read_to_end(&mut body));
    if !matches!(read, Some(Ok(_))) {
        return rouille::Response::empty_400();
    }
    let Ok(question) = rmp_serde::from_slice(&body) else {
        return rouille::Response::empty_400();
    };
    match rmp_serde::to_vec(&answer(gateway, &question)) {
        Ok(reply) => rouille::Response::from_data("application/msgpack", reply),
        Err(fault) => {
            log::error!("event=peer_reply_failed reason={fault}");
            rouille::Response::text("cannot encode").with_status_code(500)
        }
    }
}

/// Learns from other instances what the store does not tell.
pub fn catch_up(gateway: &Gateway) {
    let now = gateway.clock.now();
    {
        let mut last = lock(&gateway.peers.last_round);
        if last.is_some_and(|at| now.saturating_duration_since(at) < ROUND_PAUSE) {
            return;
        }
        *last = Some(now);
    }
    for address in gateway.peers.draw(gateway, ASKED) {
        let asked = gateway.clock.now();
        match ask(gateway, address) {
            Ok(reply) => take(gateway, reply, asked),
            Err(fault) => log::info!("event=peer_silent peer={address} reason={fault:?}"),
        }
    }
}

fn ask(gateway: &Gateway, address: SocketAddr) -> Result<KnowledgeReply, String> {
    let question = KnowledgeQuestion { version: gateway.knowledge.version() };
    let body = rmp_serde::to_vec(&question).map_err(|e| e.to_string())?;
    let url = format!("http://{address}{KNOWLEDGE_PATH}");
    let mut response = gateway.peers.agent.post(url).send(&body[..]).map_err(|e| e.to_string())?;
    if response.status() != http::StatusCode::OK {
        return Err(format!("status {}", response.status()));
    }
    let body = response.body_mut().with_config().limit(REPLY_MAX).read_to_vec();
    rmp_serde::from_slice(&body.map_err(|e| e.to_string())?).map_err(|e| e.to_string())
}

fn take(gateway: &Gateway, reply: KnowledgeReply, asked: Instant) {
    let then = |age: Option<u64>| asked.checked_sub(Duration::from_millis(age?));
    if let Some(as_of) = then(reply.intent_age_ms) {
        match reply.intent {
            Some(raw) => intent_reader::take_raw(gateway, &raw, as_of, "peer"),
            None => gateway.knowledge.confirm(as_of),
        }
    }
    let Some(as_of) = then(reply.servers_age_ms) else { return };
    let rows: Vec<StoreRow> = reply
        .servers
        .into_iter()
        .map(|(key, value)| StoreRow { key, value: value.into_vec(), version: 0, removed: false })
        .collect();
    roster_reader::take(gateway, &rows, as_of, "peer");
}

/// Keeps the instance's own row and the list of the others fresh until the process ends.
pub fn run(gateway: &Arc<Gateway>) {
    let mut pause = REFRESH_FIRST;
    loop {
        if gateway.drain.is_draining() {
            return;
        }
        if let Err(fault) = refresh(gateway) {
            log::info!("event=instances_unread reason={:?}", fault.to_string());
        }
        thread::sleep(pause);
        pause = REFRESH;
    }
}

fn refresh(gateway: &Gateway) -> Result<(), StoreFault> {
    let rows = gateway.store.rows(INSTANCE_TABLE)?;
    let stale_before = rows.now_ms.saturating_sub(millis(REFRESH) * STALE_REFRESHES);
    let own = &gateway.settings.node;
    let mut known = IndexMap::new();
    let mut left_behind = Vec::new();
    for row in &rows.rows {
        let decoded: Result<InstanceRow, _> = rmp_serde::from_slice(&row.value);
        match (row.key.parse::<NodeName>(), decoded) {
            (Ok(node), Ok(_)) if node == *own => {}
            (Ok(node), Ok(instance)) if instance.refreshed_ms >= stale_before => {
                known.insert(node, instance.address);
            }
            _ => left_behind.push(row.key.as_str()),
        }
    }
    *lock(&gateway.peers.known) = known;
    gateway.conns.set_instances(gateway.instances());
    let instance =
        InstanceRow { address: gateway.settings.addresses.peers, refreshed_ms: rows.now_ms };
    let value = rmp_serde::to_vec(&instance).map_err(|e| StoreFault::Reply(e.to_string()))?;
    let mut changes = vec![Change::Put { key: own.as_str(), value: &value }];
    changes.extend(left_behind.into_iter().map(|key| Change::Remove { key }));
    gateway.store.change(INSTANCE_TABLE, &changes)
}

/// Removes the instance's own row; best effort, since a row left behind grows stale.
pub fn leave(gateway: &Gateway) {
    let changes = [Change::Remove { key: gateway.settings.node.as_str() }];
    if let Err(fault) = gateway.store.change(INSTANCE_TABLE, &changes) {
        log::info!("event=own_row_left reason={:?}", fault.to_string());
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
