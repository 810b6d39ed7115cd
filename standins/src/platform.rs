//! The platform's stand-in: table, objects and membership list over HTTP, with outages, slowness,
//! replies lost after the effect, rate limits and a lagging list.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    contract::token_bucket::TokenBucket,
    link::listener::Listener,
    platform::{Member, MemberChanges, Transaction, embedded::EmbeddedPlatform},
    units::Rate,
    utils::sync::lock,
};

use crate::{
    fault::Faults,
    server::{Exchange, Next, Received, Reply, listen, send},
};

/// What is wrong with the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PlatformFaults {
    /// Everything is answered with 503.
    pub down: bool,
    /// Connections are cut without an answer and without effect.
    pub cut: bool,
    /// The next so many writes take effect and their replies are lost.
    pub lose_replies: u32,
    /// Every answer comes this late.
    pub slow: Duration,
}

struct State {
    data: Arc<EmbeddedPlatform>,
    faults: Mutex<PlatformFaults>,
    writes: Mutex<Option<TokenBucket>>,
    list: Mutex<Vec<(Instant, Member)>>,
    lag: Mutex<Duration>,
    write_count: AtomicU64,
    read_count: AtomicU64,
}

/// A running platform.
pub struct PlatformServer {
    listener: Listener,
    state: Arc<State>,
}

impl PlatformServer {
    /// Starts the platform on `address`.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn spawn(address: SocketAddr) -> io::Result<PlatformServer> {
        let state = Arc::new(State {
            data: EmbeddedPlatform::new(),
            faults: Mutex::default(),
            writes: Mutex::default(),
            list: Mutex::default(),
            lag: Mutex::default(),
            write_count: AtomicU64::new(0),
            read_count: AtomicU64::new(0),
        });
        let served = Arc::clone(&state);
        let listener =
            listen(address, Arc::<Faults>::default(), move |exchange| serve(&served, exchange))?;
        Ok(PlatformServer { listener, state })
    }

    /// Returns the address of all three services.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Changes what is wrong.
    pub fn set_faults(&self, faults: PlatformFaults) {
        *lock(&self.state.faults) = faults;
    }

    /// Limits writes.
    pub fn set_write_rate(&self, rate: Rate) {
        *lock(&self.state.writes) = Some(TokenBucket::new(rate, Instant::now()));
    }

    /// Sets how far the membership list lags.
    pub fn set_lag(&self, lag: Duration) {
        *lock(&self.state.lag) = lag;
    }

    /// Enters a member or changes its entry; the list shows it after the lag.
    pub fn set_member(&self, member: Member) {
        lock(&self.state.list).push((Instant::now(), member));
    }

    /// Returns the data.
    pub fn data(&self) -> &Arc<EmbeddedPlatform> {
        &self.state.data
    }

    /// Returns the numbers of reads and writes so far.
    pub fn counts(&self) -> (u64, u64) {
        (
            self.state.read_count.load(Ordering::SeqCst),
            self.state.write_count.load(Ordering::SeqCst),
        )
    }
}

fn serve(state: &State, exchange: Exchange<'_>) -> Next {
    let Exchange { conn, received, .. } = exchange;
    let faults = *lock(&state.faults);
    if !faults.slow.is_zero() {
        thread::sleep(faults.slow);
    }
    if faults.cut {
        conn.shutdown();
        return Next::Close;
    }
    if faults.down {
        return send(conn, &Reply::new(503, "down").bytes(), Next::KeepAlive);
    }
    let writes = matches!(received.head.method.as_str(), "POST" | "PUT");
    let counter = if writes { &state.write_count } else { &state.read_count };
    counter.fetch_add(1, Ordering::SeqCst);
    if writes && over_rate(state) {
        return send(conn, &Reply::new(429, "too many writes").bytes(), Next::KeepAlive);
    }
    let reply = answer(state, &received);
    if writes && lose_reply(state) {
        conn.shutdown();
        return Next::Close;
    }
    send(conn, &reply.bytes(), Next::KeepAlive)
}

fn over_rate(state: &State) -> bool {
    lock(&state.writes).as_mut().is_some_and(|bucket| bucket.take(Instant::now()).is_err())
}

fn lose_reply(state: &State) -> bool {
    let mut faults = lock(&state.faults);
    let lose = faults.lose_replies > 0;
    faults.lose_replies = faults.lose_replies.saturating_sub(1);
    lose
}

fn answer(state: &State, received: &Received) -> Reply {
    let path = received.path();
    let method = received.head.method.as_str();
    if let Some(key) = path.strip_prefix("/objects/") {
        return match method {
            "PUT" => {
                state.data.put_object(key, &received.body);
                Reply::new(200, "")
            }
            _ => state
                .data
                .get_object(key)
                .map_or_else(|| Reply::new(404, ""), |bytes| Reply::new(200, bytes)),
        };
    }
    if let Some(key) = path.strip_prefix("/table/rows/") {
        return state.data.get(key).map_or_else(|| Reply::new(404, ""), |row| Reply::json(&row));
    }
    match path {
        "/table/transact" => match serde_json::from_slice::<Transaction>(&received.body) {
            Ok(transaction) => Reply::json(&state.data.transact(&transaction)),
            Err(e) => Reply::new(400, e.to_string()),
        },
        "/table/rows" => {
            let param = |name| received.param(name).unwrap_or_default();
            let most = param("most").parse().unwrap_or(100);
            Reply::json(&state.data.scan(param("prefix"), param("after"), most))
        }
        "/members" => Reply::json(&members(state, received)),
        _ => Reply::new(404, ""),
    }
}

fn members(state: &State, received: &Received) -> MemberChanges {
    let lag = *lock(&state.lag);
    let mut list = lock(&state.list);
    // Entries that are old enough become visible, in their order.
    while list.first().is_some_and(|(at, _)| at.elapsed() >= lag) {
        let (_, member) = list.remove(0);
        state.data.set_member(member);
    }
    let since = received.param("since").and_then(|n| n.parse().ok()).unwrap_or(0);
    state.data.members_since(since)
}
