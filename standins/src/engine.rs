//! A model engine's stand-in: continuous batching at a token rate, a prefix cache in limited
//! memory, priorities, streams that can be resumed and cancelled, cache export and import, cache
//! events late and with gaps, lagged load reports, orders with or without fencing.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    contract::orders::EngineOrder,
    link::{
        caller::Listener,
        http1::{Conn, conn::ConnState},
    },
    platform::http::agent,
    utils::sync::lock,
};
use serde::{Deserialize, Serialize};

use crate::{
    cache::{PrefixCache, Segment, segments},
    fault::{Fault, Faults},
    model::{ChatRequest, Usage, last_events, token, token_event},
    server::{
        Exchange, Next, Received, Reply, Runs, answer, listen, send, send_chunk, send_last_chunk,
    },
};

/// Time after which a stream without a reader is given up.
const ORPHAN_TIME: Duration = Duration::from_secs(2);

/// Longest wait for another engine's context.
const TAKE_OVER_TIME: Duration = Duration::from_secs(2);

/// Pause between two looks at a stream.
const LOOK_PERIOD: Duration = Duration::from_millis(20);

/// Cache events kept; older ones are gaps.
const EVENTS_MAX: usize = 1000;

/// How an engine behaves.
#[derive(Debug, Clone, Copy)]
pub struct EngineConfig {
    /// Requests batched at once; one more waits.
    pub slots: u32,
    /// Time of a step with one request; each step gives every request one token.
    pub step: Duration,
    /// Time that each further request adds to a step.
    pub step_each: Duration,
    /// Time to read one uncached token of a prompt; one prompt is read at a time.
    pub prefill: Duration,
    /// Tokens that the cache holds.
    pub cache_tokens: u64,
    /// Age of the load that is reported.
    pub report_lag: Duration,
    /// Whether streams can be resumed.
    pub resumable: bool,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time to load a model.
    pub load_time: Duration,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            slots: 16,
            step: Duration::from_millis(5),
            step_each: Duration::from_micros(200),
            prefill: Duration::from_micros(50),
            cache_tokens: 20_000,
            report_lag: Duration::from_millis(500),
            resumable: true,
            checks_fencing: false,
            load_time: Duration::from_millis(50),
        }
    }
}

/// A cache event.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number; a jump is a gap.
    pub number: u64,
    /// The segment now held.
    pub segment: Segment,
}

/// An engine's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Load, as of a while ago.
    pub load: u32,
    /// `ready`, `loading` or `leaving`.
    pub state: String,
    /// Tokens in the cache.
    pub cached_tokens: u64,
    /// What was ordered last.
    pub order: EngineOrder,
}

#[derive(Debug, Default)]
struct Stream {
    bytes: Vec<u8>,
    done: bool,
    cancelled: bool,
    readers: u32,
    last_reader: Option<Instant>,
}

#[derive(Default)]
struct Generation {
    stream: Mutex<Stream>,
    grown: Condvar,
}

/// Loads of a service's engines, and how arrivals stand to the bound.
#[derive(Debug, Default)]
pub struct Board {
    loads: Mutex<Vec<BoardEntry>>,
    bound: Mutex<f64>,
    arrivals: Mutex<Vec<Arrival>>,
}

#[derive(Debug, Clone, Copy, Default)]
struct BoardEntry {
    load: u32,
    in_use: bool,
}

/// One arrival at an engine.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// Requests beyond `ceil(bound x mean)` at the engine, the arriving one counted in both.
    pub beyond: u32,
}

impl Board {
    /// Returns a board that holds arrivals against `bound`.
    pub fn new(bound: f64) -> Board {
        Board { bound: Mutex::new(bound), ..Board::default() }
    }

    fn join(&self) -> usize {
        let mut loads = lock(&self.loads);
        loads.push(BoardEntry { load: 0, in_use: true });
        loads.len() - 1
    }

    /// Says whether an engine counts for the mean.
    pub fn set_in_use(&self, at: usize, in_use: bool) {
        lock(&self.loads)[at].in_use = in_use;
    }

    fn arrive(&self, at: usize) {
        let mut loads = lock(&self.loads);
        loads[at].load += 1;
        let used: Vec<u32> = loads.iter().filter(|e| e.in_use).map(|e| e.load).collect();
        let mean = f64::from(used.iter().sum::<u32>()) / used.len().max(1) as f64;
        let most = (*lock(&self.bound) * mean).ceil() as u32;
        let beyond = if loads[at].in_use { loads[at].load.saturating_sub(most) } else { 0 };
        lock(&self.arrivals).push(Arrival { at: Instant::now(), beyond });
    }

    fn depart(&self, at: usize) {
        lock(&self.loads)[at].load -= 1;
    }

    /// Takes the arrivals noted so far.
    pub fn take_arrivals(&self) -> Vec<Arrival> {
        std::mem::take(&mut lock(&self.arrivals))
    }
}

struct State {
    cfg: EngineConfig,
    board: Option<(Arc<Board>, usize)>,
    cache: Mutex<PrefixCache>,
    active: AtomicU32,
    most_active: AtomicU32,
    slots: Mutex<Slots>,
    freed: Condvar,
    loads: Mutex<VecDeque<(Instant, u32)>>,
    streams: Mutex<HashMap<String, Arc<Generation>>>,
    /// Contexts by the chat that routers name.
    chats: Mutex<HashMap<String, Vec<Segment>>>,
    events: Mutex<VecDeque<CacheEvent>>,
    event_number: AtomicU64,
    leaving: AtomicBool,
    order: Mutex<EngineOrder>,
    orders: AtomicU32,
    loading_until: Mutex<Option<Instant>>,
    prompt_tokens: AtomicU64,
    cached_tokens: AtomicU64,
    cancelled: AtomicU32,
    runs: Arc<Runs>,
}

#[derive(Default)]
struct Slots {
    used: u32,
    prefilling: bool,
    reserved_waiting: u32,
}

/// A running engine.
pub struct Engine {
    listener: Listener,
    state: Arc<State>,
    /// Faults of the next requests.
    pub faults: Arc<Faults>,
    /// Runs by id.
    pub runs: Arc<Runs>,
}

impl Engine {
    /// Starts an engine on `address`; `board` notes its load.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn spawn(
        address: SocketAddr,
        cfg: EngineConfig,
        board: Option<Arc<Board>>,
        faults: Faults,
    ) -> io::Result<Engine> {
        let board = board.map(|board| {
            let at = board.join();
            (board, at)
        });
        let faults = Arc::new(faults);
        let runs: Arc<Runs> = Arc::default();
        let state = Arc::new(State {
            cfg,
            board,
            cache: Mutex::new(PrefixCache::new(cfg.cache_tokens)),
            active: AtomicU32::new(0),
            most_active: AtomicU32::new(0),
            slots: Mutex::default(),
            freed: Condvar::new(),
            loads: Mutex::default(),
            streams: Mutex::default(),
            chats: Mutex::default(),
            events: Mutex::default(),
            event_number: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            order: Mutex::default(),
            orders: AtomicU32::new(0),
            loading_until: Mutex::new(None),
            prompt_tokens: AtomicU64::new(0),
            cached_tokens: AtomicU64::new(0),
            cancelled: AtomicU32::new(0),
            runs: Arc::clone(&runs),
        });
        let served = Arc::clone(&state);
        let listener =
            listen(address, Arc::clone(&faults), move |exchange| serve(&served, exchange))?;
        Ok(Engine { listener, state, faults, runs })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Returns the requests in the engine now, waiting ones included.
    pub fn load(&self) -> u32 {
        self.state.active.load(Ordering::SeqCst)
    }

    /// Returns the greatest load since the last call.
    pub fn take_most_load(&self) -> u32 {
        self.state.most_active.swap(self.load(), Ordering::SeqCst)
    }

    /// Returns the tokens of all prompts and those of them found in the cache.
    pub fn prompt_tokens(&self) -> (u64, u64) {
        (
            self.state.prompt_tokens.load(Ordering::SeqCst),
            self.state.cached_tokens.load(Ordering::SeqCst),
        )
    }

    /// Returns the streams cancelled so far.
    pub fn cancelled(&self) -> u32 {
        self.state.cancelled.load(Ordering::SeqCst)
    }

    /// Returns what was ordered last, and the number of orders that took effect.
    pub fn order(&self) -> (EngineOrder, u32) {
        (lock(&self.state.order).clone(), self.state.orders.load(Ordering::SeqCst))
    }

    /// Says on the board whether the engine counts for the mean.
    pub fn set_in_use(&self, in_use: bool) {
        if let Some((board, at)) = &self.state.board {
            board.set_in_use(*at, in_use);
        }
    }

    /// Returns whether the engine loads what it was ordered to hold.
    pub fn is_loading(&self) -> bool {
        self.state.is_loading()
    }

    /// Makes the engine say that it is leaving, or no longer.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.leaving.store(leaving, Ordering::SeqCst);
    }

    /// Stops taking connections.
    pub fn stop(&mut self) {
        self.listener.stop();
    }
}

/// Counts a request as load for as long as it lives.
struct ActiveGuard<'s>(&'s State);

impl<'s> ActiveGuard<'s> {
    fn new(state: &'s State) -> ActiveGuard<'s> {
        let load = state.active.fetch_add(1, Ordering::SeqCst) + 1;
        state.most_active.fetch_max(load, Ordering::SeqCst);
        state.note_load(load);
        if let Some((board, at)) = &state.board {
            board.arrive(*at);
        }
        ActiveGuard(state)
    }
}

impl Drop for ActiveGuard<'_> {
    fn drop(&mut self) {
        let load = self.0.active.fetch_sub(1, Ordering::SeqCst) - 1;
        self.0.note_load(load);
        if let Some((board, at)) = &self.0.board {
            board.depart(*at);
        }
    }
}

impl State {
    fn note_load(&self, load: u32) {
        let mut loads = lock(&self.loads);
        loads.push_back((Instant::now(), load));
        while loads.len() > EVENTS_MAX {
            loads.pop_front();
        }
    }

    /// Returns the load as of the report's lag ago.
    fn reported_load(&self) -> u32 {
        let at = Instant::now().checked_sub(self.cfg.report_lag);
        let loads = lock(&self.loads);
        loads
            .iter()
            .rev()
            .find(|(when, _)| at.is_some_and(|at| *when <= at))
            .map_or(0, |(_, load)| *load)
    }

    fn is_loading(&self) -> bool {
        lock(&self.loading_until).is_some_and(|until| Instant::now() < until)
    }

    fn status(&self) -> EngineStatus {
        let state = match (self.leaving.load(Ordering::SeqCst), self.is_loading()) {
            (true, _) => "leaving",
            (false, true) => "loading",
            (false, false) => "ready",
        };
        EngineStatus {
            load: self.reported_load(),
            state: state.to_owned(),
            cached_tokens: lock(&self.cache).held(),
            order: lock(&self.order).clone(),
        }
    }

    /// Waits for a place in the batch and reads the prompt; one prompt at a time, reserved first.
    fn enter(&self, prompt: &[Segment], reserved: bool) -> u32 {
        let mut slots = lock(&self.slots);
        slots.reserved_waiting += u32::from(reserved);
        while slots.used >= self.cfg.slots
            || slots.prefilling
            || (!reserved && slots.reserved_waiting > 0)
        {
            slots = match self.freed.wait(slots) {
                Ok(slots) => slots,
                Err(poisoned) => poisoned.into_inner(),
            };
        }
        slots.reserved_waiting -= u32::from(reserved);
        slots.used += 1;
        slots.prefilling = true;
        drop(slots);
        let total: u32 = prompt.iter().map(|s| s.tokens).sum();
        let cached = lock(&self.cache).cached(prompt);
        self.prompt_tokens.fetch_add(u64::from(total), Ordering::SeqCst);
        self.cached_tokens.fetch_add(u64::from(cached), Ordering::SeqCst);
        thread::sleep(self.cfg.prefill * (total - cached));
        self.keep(prompt);
        lock(&self.slots).prefilling = false;
        self.freed.notify_all();
        cached
    }

    fn leave(&self) {
        lock(&self.slots).used -= 1;
        self.freed.notify_all();
    }

    fn keep(&self, prompt: &[Segment]) {
        lock(&self.cache).keep(prompt);
        let mut events = lock(&self.events);
        for segment in prompt {
            let number = self.event_number.fetch_add(1, Ordering::SeqCst) + 1;
            events.push_back(CacheEvent { number, segment: *segment });
        }
        while events.len() > EVENTS_MAX {
            events.pop_front();
        }
    }

    fn step(&self) -> Duration {
        let used = lock(&self.slots).used;
        self.cfg.step + self.cfg.step_each * used.saturating_sub(1)
    }
}

fn serve(state: &Arc<State>, exchange: Exchange<'_>) -> Next {
    let path = exchange.received.path().to_owned();
    if let Some(id) = path.strip_prefix("/engine/streams/") {
        return serve_stream_control(state, exchange, id);
    }
    if path.starts_with("/engine/") {
        let reply = serve_control(state, &exchange.received, &path);
        return send(exchange.conn, &reply.bytes(), Next::KeepAlive);
    }
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(&exchange.received.body) else {
        return answer(exchange, |_| Reply::new(400, "not a chat-completions body"));
    };
    if chat.stream
        && !matches!(
            exchange.fault,
            Fault::RefuseNotRun | Fault::RefusePlain | Fault::Garbage | Fault::Oversize
        )
    {
        return serve_stream(state, exchange, &chat);
    }
    let _active = ActiveGuard::new(state);
    answer(exchange, |received| {
        state.runs.add(received);
        let usage = generate_at_once(state, received, &chat);
        let message = serde_json::json!({
            "choices": [{ "index": 0, "message": { "role": "assistant", "content": chat.expected_answer() } }],
            "usage": usage,
        });
        Reply::json(&message).with("engine-load", state.reported_load())
    })
}

fn prompt_of(chat: &ChatRequest) -> Vec<Segment> {
    segments(chat.messages.iter().map(|m| m.content.as_str()))
}

fn is_reserved(received: &Received) -> bool {
    received.head.header("cartvane-priority") == Some("reserved")
}

/// Keeps the prompt together with its answer, as the chat's next turn will send it.
fn keep_answer(state: &State, chat: &ChatRequest, name: Option<&str>) {
    let answer = chat.expected_answer();
    let texts = chat.messages.iter().map(|m| m.content.as_str()).chain([answer.as_str()]);
    let context = segments(texts);
    state.keep(&context);
    if let Some(name) = name {
        lock(&state.chats).insert(name.to_owned(), context);
    }
}

fn chat_name(received: &Received) -> Option<&str> {
    received.head.header("cartvane-chat")
}

fn generate_at_once(state: &State, received: &Received, chat: &ChatRequest) -> Usage {
    let prompt = prompt_of(chat);
    let cached_tokens = state.enter(&prompt, is_reserved(received));
    for _ in 0..chat.tokens() {
        thread::sleep(state.step());
    }
    keep_answer(state, chat, chat_name(received));
    state.leave();
    usage_of(&prompt, cached_tokens, chat)
}

fn usage_of(prompt: &[Segment], cached_tokens: u32, chat: &ChatRequest) -> Usage {
    Usage {
        prompt_tokens: prompt.iter().map(|s| s.tokens).sum(),
        cached_tokens,
        completion_tokens: chat.tokens(),
    }
}

fn serve_stream(state: &Arc<State>, exchange: Exchange<'_>, chat: &ChatRequest) -> Next {
    let Exchange { conn, received, fault } = exchange;
    let attempt = received.head.header("cartvane-attempt").unwrap_or("none").to_owned();
    state.runs.add(&received);
    let generation: Arc<Generation> = Arc::default();
    lock(&state.streams).insert(attempt.clone(), Arc::clone(&generation));
    start_generation(state, &generation, chat, &attempt, &received);
    match fault {
        Fault::CloseAfterRun => return Next::Close,
        Fault::StallHead(time) => {
            thread::sleep(time);
            return Next::Close;
        }
        Fault::Late(time) => thread::sleep(time),
        _ => {}
    }
    let shown = if fault == Fault::Foreign { "another-attempt" } else { &attempt };
    send_generation(state, conn, &generation, shown, 0, fault)
}

fn start_generation(
    state: &Arc<State>,
    generation: &Arc<Generation>,
    chat: &ChatRequest,
    attempt: &str,
    received: &Received,
) {
    let (reserved, name) = (is_reserved(received), chat_name(received).map(str::to_owned));
    let (state, generation, chat, attempt) =
        (Arc::clone(state), Arc::clone(generation), chat.clone(), attempt.to_owned());
    thread::spawn(move || {
        let _active = ActiveGuard::new(&state);
        let prompt = prompt_of(&chat);
        let cached = state.enter(&prompt, reserved);
        let seed = chat.seed();
        let mut whole = true;
        for n in 0..chat.tokens() {
            thread::sleep(state.step());
            let mut stream = lock(&generation.stream);
            let orphan = stream.readers == 0
                && stream.last_reader.is_some_and(|at| at.elapsed() > ORPHAN_TIME);
            if stream.cancelled || orphan {
                whole = false;
                break;
            }
            stream.bytes.extend_from_slice(token_event(&token(seed, n)).as_bytes());
            generation.grown.notify_all();
        }
        if whole {
            keep_answer(&state, &chat, name.as_deref());
            let usage = usage_of(&prompt, cached, &chat);
            lock(&generation.stream).bytes.extend_from_slice(last_events(&usage).as_bytes());
        } else {
            state.cancelled.fetch_add(1, Ordering::SeqCst);
        }
        lock(&generation.stream).done = true;
        generation.grown.notify_all();
        state.leave();
        drop(_active);
        thread::sleep(ORPHAN_TIME);
        lock(&state.streams).remove(&attempt);
    });
}

/// Sends a generation's bytes from `offset` on as they come.
fn send_generation(
    state: &State,
    conn: &mut Conn,
    generation: &Generation,
    attempt: &str,
    offset: usize,
    fault: Fault,
) -> Next {
    let resumable = if state.cfg.resumable { "engine-resumable: 1\r\n" } else { "" };
    let leaving =
        if state.leaving.load(Ordering::SeqCst) { "engine-state: leaving\r\n" } else { "" };
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncartvane-attempt: {attempt}\r\nengine-load: {}\r\n{resumable}{leaving}engine-offset: {offset}\r\ntransfer-encoding: chunked\r\n\r\n",
        state.reported_load()
    );
    if send(conn, head.as_bytes(), Next::KeepAlive) == Next::Close {
        return Next::Close;
    }
    lock(&generation.stream).readers += 1;
    let next = send_pieces(conn, generation, offset, fault);
    let mut stream = lock(&generation.stream);
    stream.readers -= 1;
    stream.last_reader = Some(Instant::now());
    if next == Next::Close && !state.cfg.resumable {
        stream.cancelled = true;
    }
    next
}

fn send_pieces(conn: &mut Conn, generation: &Generation, mut offset: usize, fault: Fault) -> Next {
    let mut pieces = 0;
    loop {
        let (piece, done) = {
            let mut stream = lock(&generation.stream);
            if stream.bytes.len() <= offset && !stream.done {
                stream = match generation.grown.wait_timeout(stream, LOOK_PERIOD) {
                    Ok((stream, _)) => stream,
                    Err(poisoned) => poisoned.into_inner().0,
                };
            }
            (stream.bytes[offset.min(stream.bytes.len())..].to_vec(), stream.done)
        };
        if piece.is_empty() {
            if done {
                let cancelled = lock(&generation.stream).cancelled;
                return if !cancelled && send_last_chunk(conn) {
                    Next::KeepAlive
                } else {
                    Next::Close
                };
            }
            if conn.state() != ConnState::Open {
                return Next::Close;
            }
            continue;
        }
        offset += piece.len();
        if !send_chunk(conn, &piece) {
            return Next::Close;
        }
        pieces += 1;
        if pieces == 2 {
            match fault {
                Fault::CutBody => return Next::Close,
                Fault::StallBody(time) => {
                    thread::sleep(time);
                    return Next::Close;
                }
                _ => {}
            }
        }
    }
}

fn serve_stream_control(state: &Arc<State>, exchange: Exchange<'_>, id: &str) -> Next {
    let Exchange { conn, received, .. } = exchange;
    let generation = lock(&state.streams).get(id).cloned();
    let Some(generation) = generation.filter(|_| state.cfg.resumable) else {
        return send(conn, &Reply::new(404, "no such stream").bytes(), Next::KeepAlive);
    };
    if received.head.method == http::Method::DELETE {
        lock(&generation.stream).cancelled = true;
        return send(conn, &Reply::new(200, "cancelled").bytes(), Next::KeepAlive);
    }
    let offset = received.param("from").and_then(|from| from.parse().ok()).unwrap_or(0);
    send_generation(state, conn, &generation, id, offset, Fault::None)
}

fn serve_control(state: &State, received: &Received, path: &str) -> Reply {
    match path {
        "/engine/status" => Reply::json(&state.status()),
        "/engine/events" => {
            let after: u64 = received.param("after").and_then(|n| n.parse().ok()).unwrap_or(0);
            let events = lock(&state.events);
            Reply::json(&events.iter().filter(|e| e.number > after).collect::<Vec<_>>())
        }
        "/engine/cache/export" if received.param("chat").is_some() => {
            let name = received.param("chat").unwrap_or_default();
            let context = lock(&state.chats).get(name).cloned().unwrap_or_default();
            // What has been evicted meanwhile cannot be handed over.
            let cached = lock(&state.cache).cached(&context);
            Reply::json(&if cached > 0 { context } else { Vec::new() })
        }
        "/engine/cache/export" => {
            let most = received.param("most").and_then(|n| n.parse().ok()).unwrap_or(u64::MAX);
            Reply::json(&lock(&state.cache).export(most))
        }
        "/engine/cache/import" if received.body.starts_with(b"{") => take_over(state, received),
        "/engine/cache/import" => match serde_json::from_slice::<Vec<Segment>>(&received.body) {
            Ok(imported) => {
                state.keep(&imported);
                Reply::json(&imported.len())
            }
            Err(e) => Reply::new(400, e.to_string()),
        },
        "/engine/orders" => match serde_json::from_slice::<EngineOrder>(&received.body) {
            Ok(order) => take_order(state, order),
            Err(e) => Reply::new(400, e.to_string()),
        },
        _ => Reply::new(404, "unknown"),
    }
}

/// Fetches the contexts of chats from another engine.
fn take_over(state: &State, received: &Received) -> Reply {
    #[derive(Deserialize)]
    struct TakeOver {
        from: SocketAddr,
        chats: Vec<String>,
    }
    let Ok(TakeOver { from, chats }) = serde_json::from_slice(&received.body) else {
        return Reply::new(400, "not a list of chats");
    };
    let agent = agent(TAKE_OVER_TIME);
    for chat in chats {
        let url = format!("http://{from}/engine/cache/export?chat={chat}");
        let body = agent.get(url).call().ok().and_then(|mut r| r.body_mut().read_to_vec().ok());
        let Some(context) = body.and_then(|b| serde_json::from_slice::<Vec<Segment>>(&b).ok())
        else {
            return Reply::new(502, "the other engine does not hand over");
        };
        state.keep(&context);
        lock(&state.chats).insert(chat, context);
    }
    Reply::json(&true)
}

fn take_order(state: &State, order: EngineOrder) -> Reply {
    let mut current = lock(&state.order);
    if state.cfg.checks_fencing && order.fencing < current.fencing {
        return Reply::new(
            409,
            format!("fencing number {} is older than {}", order.fencing, current.fencing),
        );
    }
    if current.state != order.state {
        *lock(&state.loading_until) = Some(Instant::now() + state.cfg.load_time);
    }
    *current = order;
    state.orders.fetch_add(1, Ordering::SeqCst);
    Reply::json(&*current)
}
