//! The platform's store: rows in tables, with versions, a feed and faults.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use base64::{Engine as _, prelude::BASE64_STANDARD};
use cartvane::{
    link::{http1::Conn, listener::Listener},
    utils::sync::lock,
};
use serde_json::{Value, json};

use crate::{
    fault::Faults,
    server::{Exchange, Next, Received, Reply, listen, send},
    store_history::{RowChange, StoreHistory},
};

/// How the store behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// It answers.
    #[default]
    Up,
    /// 503 to everything.
    Busy,
    /// 429 to everything.
    TooMany,
    /// It reads and closes the connection.
    Reset,
    /// It reads and says nothing for a while.
    Silent,
    /// It makes changes and loses the replies.
    LosesReplies,
    /// It answers with bytes that are no JSON.
    Garbage,
    /// It answers this late, in milliseconds.
    Slow(u64),
}

impl StoreMode {
    /// Returns all ways to fail; a slow store is `late_ms` late.
    pub fn failing(late_ms: u64) -> [StoreMode; 7] {
        [
            StoreMode::Busy,
            StoreMode::TooMany,
            StoreMode::Reset,
            StoreMode::Silent,
            StoreMode::LosesReplies,
            StoreMode::Garbage,
            StoreMode::Slow(late_ms),
        ]
    }
}

/// Header that counts how often the store has come back from a copy.
const ERA_HEADER: &str = "store-era";

/// Bytes that leave a slow link at once.
const PIECE: usize = 8 << 10;

/// Most rows of one reply with whole rows, as on the users' page.
const PAGE_ROWS: usize = 500;

/// Most bytes of one reply with whole rows, unless its first row is larger.
const PAGE_BYTES: usize = 1_000_000;

/// Most entries of one transaction, as on the users' page.
const ENTRIES_MAX: usize = 100;

/// Most bytes of one transaction, as on the users' page.
const TRANSACTION_BYTES_MAX: usize = 1_000_000;

/// Tables that the system may not write to.
const READ_ONLY_TABLES: [&str; 2] = ["op", "servers"];

/// How long a silent store keeps a connection open.
const SILENCE: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct Stored {
    value: Option<Vec<u8>>,
    version: u64,
}

/// What the store held at one moment.
#[derive(Debug, Clone)]
pub struct StoreCopy {
    rows: BTreeMap<(String, String), Stored>,
    version: u64,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(String, String), Stored>,
    version: u64,
    /// How often the store has come back from a copy.
    era: u64,
    history: StoreHistory,
    mode: StoreMode,
    /// How it behaves towards reads of single tables.
    table_modes: BTreeMap<String, StoreMode>,
    /// Whether it replies 503 to all writes.
    refuses_writes: bool,
    /// Bytes a second of each connection; 0: as fast as it goes.
    bytes_per_second: usize,
    /// Most rows of one reply with whole rows; 0: as many as the users' store sends.
    page: usize,
    calls: BTreeMap<String, usize>,
    /// Bytes of rows sent, by table.
    row_bytes: BTreeMap<String, usize>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store.
pub struct StoreStandIn {
    listener: Listener,
    shared: Arc<Shared>,
}

impl StoreStandIn {
    /// Starts a store on a port of its own.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub fn spawn() -> io::Result<StoreStandIn> {
        let shared: Arc<Shared> = Arc::default();
        let serving = Arc::clone(&shared);
        let began = Instant::now();
        let faults = Arc::new(Faults::default());
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = listen(address, faults, move |exchange| serve(&serving, began, exchange))?;
        Ok(StoreStandIn { listener, shared })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Writes a row.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_raw(table, key, value.to_string().into_bytes());
    }

    /// Writes a row of any bytes.
    pub fn put_raw(&self, table: &str, key: &str, value: Vec<u8>) {
        self.write(table, key, Some(value));
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, key, None);
    }

    /// Takes over the rows of another store's table.
    pub fn copy_table(&self, from: &StoreStandIn, table: &str) {
        let rows = lock(&from.shared.state).rows.clone();
        for ((_, key), row) in rows.into_iter().filter(|((t, _), _)| t == table) {
            self.write(table, &key, row.value);
        }
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = lock(&self.shared.state);
        let rows = state.rows.iter().filter(|((t, _), row)| t == table && row.value.is_some());
        rows.map(|((_, key), _)| key.clone()).collect()
    }

    /// Returns the value of a row, if it is there and is JSON.
    pub fn value(&self, table: &str, key: &str) -> Option<Value> {
        let state = lock(&self.shared.state);
        let row = state.rows.get(&(table.to_owned(), key.to_owned()))?;
        serde_json::from_slice(row.value.as_ref()?).ok()
    }

    /// Changes how the store behaves.
    pub fn set_mode(&self, mode: StoreMode) {
        lock(&self.shared.state).mode = mode;
    }

    /// Changes how the store behaves towards reads of one table; other calls go by [`set_mode`].
    ///
    /// [`set_mode`]: StoreStandIn::set_mode
    pub fn set_table_mode(&self, table: &str, mode: StoreMode) {
        lock(&self.shared.state).table_modes.insert(table.to_owned(), mode);
    }

    /// Has the store reply 503 to all writes, while it can be read.
    pub fn refuse_writes(&self) {
        lock(&self.shared.state).refuses_writes = true;
    }

    /// Sets how fast replies leave on each connection, in bytes a second; 0: as fast as it goes.
    pub fn set_link(&self, bytes_per_second: usize) {
        lock(&self.shared.state).bytes_per_second = bytes_per_second;
    }

    /// Sets how many rows one reply holds at most; 0: as many as the users' store sends.
    pub fn set_page(&self, rows: usize) {
        lock(&self.shared.state).page = rows;
    }

    /// Forgets the history: feeds from before now are answered with 410.
    pub fn forget_history(&self) {
        let mut state = lock(&self.shared.state);
        state.version += 1;
        let version = state.version;
        state.history.forget(version);
        self.shared.changed.notify_all();
    }

    /// Returns a copy of all rows.
    pub fn copy(&self) -> StoreCopy {
        let state = lock(&self.shared.state);
        StoreCopy { rows: state.rows.clone(), version: state.version }
    }

    /// Comes back from a copy: what was written since is gone, and its versions are given out again.
    pub fn come_back(&self, copy: StoreCopy) {
        let mut state = lock(&self.shared.state);
        state.rows = copy.rows;
        state.version = copy.version;
        state.history.restore(copy.version);
        state.era += 1;
        self.shared.changed.notify_all();
    }

    /// Returns how often a call was made, by its path.
    pub fn calls(&self, path: &str) -> usize {
        lock(&self.shared.state).calls.get(path).copied().unwrap_or(0)
    }

    /// Returns the bytes of a table's rows that were sent, to whomever.
    pub fn row_bytes(&self, table: &str) -> usize {
        lock(&self.shared.state).row_bytes.get(table).copied().unwrap_or(0)
    }

    fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut state = lock(&self.shared.state);
        state.write(table, key, value);
        self.shared.changed.notify_all();
    }
}

impl State {
    fn write(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.version += 1;
        self.write_now(table, key, value);
    }

    /// Writes a row in the transaction that has the newest version.
    fn write_now(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.history.push(table, key, value.clone(), self.version);
        let row = Stored { value, version: self.version };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    /// Returns the rows of a table from a key on.
    fn rows(&self, table: &str, from: &str) -> Vec<Value> {
        let shown = |(key, row): &(&(String, String), &Stored)| {
            key.0 == table && key.1.as_str() >= from && row.value.is_some()
        };
        let rows = self.rows.iter().filter(shown);
        rows.map(|((table, key), row)| encode(table, key, row.value.as_deref(), row.version))
            .collect()
    }

    /// Returns each change of a table after a version, in order; `None` if the history does not reach back that far.
    fn changes(&mut self, table: &str, after: u64) -> Option<Vec<Value>> {
        if after > self.version {
            return None;
        }
        let changes = self.history.since(table, after)?;
        let value = |c: &RowChange| encode(&c.table, &c.key, c.value.as_deref(), c.version);
        Some(changes.map(value).collect())
    }
}

fn encode(table: &str, key: &str, bytes: Option<&[u8]>, version: u64) -> Value {
    let mut value = json!({"table": table, "part": "", "key": key, "ver": version});
    match bytes {
        Some(bytes) => value["value"] = BASE64_STANDARD.encode(bytes).into(),
        None => value["tombstone"] = true.into(),
    }
    value
}

fn serve(shared: &Shared, began: Instant, exchange: Exchange<'_>) -> Next {
    let Exchange { conn, received, .. } = exchange;
    let (mode, era) = {
        let mut state = lock(&shared.state);
        *state.calls.entry(received.path().to_owned()).or_default() += 1;
        let table = received.param("table").unwrap_or_default();
        let is_write = received.path() == "/v1/rows-tx";
        let mode = match state.table_modes.get(table) {
            _ if is_write && state.refuses_writes => StoreMode::Busy,
            Some(mode) => *mode,
            None => state.mode,
        };
        (mode, state.era)
    };
    let refuse = |status| Reply::new(status, "").with(ERA_HEADER, era).bytes();
    match mode {
        StoreMode::Busy => return send(conn, &refuse(503), Next::KeepAlive),
        StoreMode::TooMany => return send(conn, &refuse(429), Next::KeepAlive),
        StoreMode::Reset => return Next::Close,
        StoreMode::Silent => {
            thread::sleep(SILENCE);
            return Next::Close;
        }
        StoreMode::Garbage => return send(conn, &Reply::new(200, "{]").bytes(), Next::KeepAlive),
        StoreMode::Slow(millis) => thread::sleep(Duration::from_millis(millis)),
        StoreMode::Up | StoreMode::LosesReplies => {}
    }
    let reply = answer(shared, began, &received);
    if mode == StoreMode::LosesReplies {
        return Next::Close;
    }
    let bytes_per_second = {
        let mut state = lock(&shared.state);
        let table = received.param("table").unwrap_or_default().to_owned();
        *state.row_bytes.entry(table).or_default() += reply.body.len();
        state.bytes_per_second
    };
    if bytes_per_second == 0 {
        return send(conn, &reply.bytes(), Next::KeepAlive);
    }
    send_paced(conn, &reply.bytes(), bytes_per_second)
}

/// Sends `bytes` over a link that takes so many a second.
fn send_paced(conn: &mut Conn, bytes: &[u8], bytes_per_second: usize) -> Next {
    for piece in bytes.chunks(PIECE) {
        thread::sleep(Duration::from_secs_f64(piece.len() as f64 / bytes_per_second as f64));
        if send(conn, piece, Next::KeepAlive) == Next::Close {
            return Next::Close;
        }
    }
    Next::KeepAlive
}

fn answer(shared: &Shared, began: Instant, received: &Received) -> Reply {
    let now_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    let param = |name: &str| received.param(name).unwrap_or_default();
    match received.path() {
        "/v1/rows-get" => {
            let state = lock(&shared.state);
            let mut rows = state.rows(param("table"), &unescape(param("from")));
            let page = if state.page == 0 { PAGE_ROWS } else { state.page };
            let shown = page.min(rows_of_page(&rows));
            let has_more = rows.len() > shown;
            rows.truncate(shown);
            Reply::json(&json!({
                "rows": rows, "has_more": has_more, "ver": state.version, "now_ms": now_ms
            }))
            .with(ERA_HEADER, state.era)
        }
        "/v1/rows-feed" => {
            let after = param("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
            feed(shared, param("table"), after, wait, now_ms)
        }
        "/v1/rows-tx" => transact(shared, &received.body, now_ms),
        _ => Reply::new(404, ""),
    }
}

/// Returns how many of the rows one reply holds, by their bytes.
fn rows_of_page(rows: &[Value]) -> usize {
    let mut bytes = 0;
    let fits = |row: &&Value| {
        bytes += row["value"].as_str().unwrap_or_default().len();
        bytes <= PAGE_BYTES
    };
    rows.iter().take_while(fits).count().max(1)
}

/// Decodes a text's percent-escapes; what is no escape stays.
fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((&first, after)) = rest.split_first() {
        let code = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()).filter(|_| first == b'%') {
            Some(byte) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            None => {
                bytes.push(first);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn feed(shared: &Shared, table: &str, after: u64, wait: Duration, now_ms: u64) -> Reply {
    let until = Instant::now() + wait;
    let mut state = lock(&shared.state);
    loop {
        let Some(rows) = state.changes(table, after) else {
            return Reply::new(410, "").with(ERA_HEADER, state.era);
        };
        let left = until.saturating_duration_since(Instant::now());
        if !rows.is_empty() || left.is_zero() || state.mode != StoreMode::Up {
            let body = json!({"rows": rows, "ver": state.version, "now_ms": now_ms});
            return Reply::json(&body).with(ERA_HEADER, state.era);
        }
        let waited = shared.changed.wait_timeout(state, left.min(Duration::from_millis(50)));
        state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
    }
}

fn transact(shared: &Shared, body: &[u8], now_ms: u64) -> Reply {
    let Ok(transaction) = serde_json::from_slice::<Value>(body) else { return Reply::new(400, "") };
    let entries = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
    let text = |entry: &Value, name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    let written = [entries("puts"), entries("remove")].concat();
    if body.len() > TRANSACTION_BYTES_MAX
        || written.len() + entries("precondition").len() > ENTRIES_MAX
    {
        return Reply::new(400, "");
    }
    if written.iter().any(|entry| READ_ONLY_TABLES.contains(&text(entry, "table").as_str())) {
        return Reply::new(403, "");
    }
    let mut state = lock(&shared.state);
    let key = |entry: &Value| (text(entry, "table"), text(entry, "key"));
    let holds = |entry: &Value| {
        let row = state.rows.get(&key(entry)).filter(|row| row.value.is_some());
        entry["ver"].as_u64() == Some(row.map_or(0, |row| row.version))
    };
    let conditions = entries("precondition");
    if !conditions.iter().all(holds) {
        let rows: Vec<Value> = conditions
            .iter()
            .map(key)
            .filter_map(|key| Some((state.rows.get(&key)?, key)))
            .map(|(row, key)| encode(&key.0, &key.1, row.value.as_deref(), row.version))
            .collect();
        let body = json!({"rows": rows, "ver": state.version, "now_ms": now_ms});
        return Reply::new(412, body.to_string()).with(ERA_HEADER, state.era);
    }
    state.version += 1;
    for entry in entries("puts") {
        let value = BASE64_STANDARD.decode(text(&entry, "value")).unwrap_or_default();
        state.write_now(&text(&entry, "table"), &text(&entry, "key"), Some(value));
    }
    for entry in entries("remove") {
        state.write_now(&text(&entry, "table"), &text(&entry, "key"), None);
    }
    shared.changed.notify_all();
    Reply::json(&json!({"ver": state.version, "now_ms": now_ms})).with(ERA_HEADER, state.era)
}
