//! A model engine's stand-in: continuous batching at a token rate, a prefix cache in limited
//! memory, priorities, streams that can be resumed and cancelled, cache export and import, cache
//! events late and with gaps, lagged load reports, orders with or without fencing.

mod board;
mod control;
mod stream;

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

use cartvane::{contract::orders::EngineOrder, link::listener::Listener, utils::sync::lock};
use serde::{Deserialize, Serialize};

pub use self::board::{Arrival, Board};
use self::{
    control::serve_control,
    stream::{Generation, serve_stream, serve_stream_control},
};
use crate::{
    cache::{PrefixCache, Segment, segments},
    fault::{Fault, Faults},
    model::{ChatRequest, Usage},
    server::{Exchange, Next, Received, Reply, Runs, answer, listen, send},
};

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
