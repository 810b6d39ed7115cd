//! What a router adds: to a call, to a chunk of a stream; its memory and its start.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    clock::Clock,
    link::{http1::Conn, listener::Listener},
};

use super::{Figure, figure, resident_mib, spread};
use crate::{
    caller::Call,
    engine::EngineConfig,
    fault::Faults,
    fleet::{Fleet, FleetSpec, any_port, team_key},
    load::measure::percentile,
    model::{ChatRequest, Message},
    server::{Next, Received, listen, send, send_chunk, send_last_chunk},
};

/// Threads that send calls.
const SENDERS: u32 = 10;

/// Length of a run.
const LENGTH: Duration = Duration::from_secs(8);

/// Chunks of a stream whose delay is measured.
const CHUNKS: u32 = 400;

/// Time between two chunks.
const CHUNK_PERIOD: Duration = Duration::from_millis(5);

/// Streams held at once for the memory.
const STREAMS: usize = 300;

/// Measures everything of this module.
///
/// # Errors
///
/// A fleet cannot be started.
pub fn measure(binary: &std::path::Path) -> anyhow::Result<Vec<Figure>> {
    let mut all = Vec::new();
    for routers in [1, 2] {
        all.extend(calls(binary, routers)?);
    }
    all.extend(chunks(binary)?);
    all.extend(memory(binary)?);
    all.extend(start(binary)?);
    Ok(all)
}

fn spec(binary: &std::path::Path) -> FleetSpec {
    let mut spec = FleetSpec::small(binary);
    spec.settings = "[logging]\nlevel = \"error\"".to_owned();
    spec
}

/// Sends 500 calls a second in turn straight to a server and through a router.
fn calls(binary: &std::path::Path, routers: usize) -> anyhow::Result<Vec<Figure>> {
    let mut spec = spec(binary);
    spec.routers = routers;
    let fleet = Fleet::start(spec)?;
    let (direct, through) = (fleet.plains[0].address(), fleet.routers[0].callers);
    let period = Duration::from_secs(1) * SENDERS / 500;
    let times: Vec<(Vec<Duration>, Vec<Duration>)> = thread::scope(|scope| {
        let senders: Vec<_> = (0..SENDERS)
            .map(|n| scope.spawn(move || sender(direct, through, period, period / SENDERS * n)))
            .collect();
        senders.into_iter().filter_map(|s| s.join().ok()).collect()
    });
    let direct: Vec<Duration> = times.iter().flat_map(|(d, _)| d.iter().copied()).collect();
    let through: Vec<Duration> = times.iter().flat_map(|(_, t)| t.iter().copied()).collect();
    let name = format!("call, {routers} router(s), 500/s");
    let [d50, d99] = spread(&format!("{name}, direct"), &direct);
    let [t50, t99] = spread(&format!("{name}, through"), &through);
    let added50 = figure(format!("{name}, added p50"), t50.value - d50.value, "ms");
    let added99 = figure(format!("{name}, added p99"), t99.value - d99.value, "ms");
    Ok(vec![d50, d99, t50, t99, added50, added99])
}

fn sender(
    direct: SocketAddr,
    through: SocketAddr,
    period: Duration,
    offset: Duration,
) -> (Vec<Duration>, Vec<Duration>) {
    let clock = Clock::system();
    let connect =
        |to| Conn::connect(to, Duration::from_secs(1), &clock).expect("the fleet listens");
    let mut ways = [(connect(direct), "/x"), (connect(through), "/app/x")];
    let mut times = [Vec::new(), Vec::new()];
    let start = Instant::now() + offset;
    let mut next = start;
    let mut turn = 0;
    while next < start + LENGTH {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        let (conn, target) = &mut ways[turn];
        let call = Call::post(target, &team_key("crew"), "two vans, one piano");
        let began = Instant::now();
        let answer = call.send_on(conn);
        assert!(answer.whole, "a call failed: {}", answer.text());
        times[turn].push(began.elapsed());
        turn = 1 - turn;
        next += period;
    }
    let [direct, through] = times;
    (direct, through)
}

/// A server whose chunks say when they were sent.
fn ticker() -> io::Result<Listener> {
    let start = Instant::now();
    listen(any_port(), Arc::<Faults>::default(), move |exchange| {
        let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n";
        if send(exchange.conn, head.as_bytes(), Next::KeepAlive) == Next::Close {
            return Next::Close;
        }
        let begin: u128 = began_at(&exchange.received);
        for _ in 0..CHUNKS {
            thread::sleep(CHUNK_PERIOD);
            let stamp = format!("{}\n", start.elapsed().as_nanos().wrapping_sub(begin));
            if !send_chunk(exchange.conn, stamp.as_bytes()) {
                return Next::Close;
            }
        }
        if send_last_chunk(exchange.conn) { Next::KeepAlive } else { Next::Close }
    })
}

fn began_at(received: &Received) -> u128 {
    received.param("began").and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Delays of chunks: from the server's stamp to the caller's read.
///
/// Stamps count from the ticker's start and reads from the call's; the smallest difference of a
/// stream is taken as its offset, so what is measured is the spread above the fastest chunk.
fn delays(to: SocketAddr, target: &str) -> Vec<Duration> {
    let answer = Call::post(target, &team_key("crew"), "x").send(to);
    let stamps = answer.text();
    let stamps: Vec<f64> = stamps.lines().filter_map(|line| line.parse::<f64>().ok()).collect();
    let reads: Vec<f64> = answer.pieces.iter().map(|t| t.as_nanos() as f64).collect();
    let differences: Vec<f64> =
        reads.iter().zip(&stamps).map(|(read, stamp)| read - stamp).collect();
    let offset = differences.iter().copied().fold(f64::INFINITY, f64::min);
    differences.iter().map(|d| Duration::from_nanos((d - offset) as u64)).collect()
}

fn chunks(binary: &std::path::Path) -> anyhow::Result<Vec<Figure>> {
    let ticker = ticker()?;
    let mut spec = spec(binary);
    spec.routers = 1;
    let fleet = Fleet::start(spec)?;
    // The ticker takes the place of the plain servers.
    let file = fleet.file();
    let file = fleet.plains.values().fold(file, |file, plain| {
        file.replacen(&plain.address().to_string(), &ticker.address().to_string(), 1)
    });
    let file = drop_second_plain(&file);
    let _: cartvane::instance::cluster_state::apply::Applied = fleet.post(0, "/v1/apply", &file)?;
    let through_at = fleet.routers[0].callers;
    // The same streams at the same time, so that both meet the same machine.
    let (direct, through): (Vec<Duration>, Vec<Duration>) = thread::scope(|scope| {
        let ticker_at = ticker.address();
        let direct: Vec<_> =
            (0..10).map(|_| scope.spawn(move || delays(ticker_at, "/x"))).collect();
        let through: Vec<_> =
            (0..10).map(|_| scope.spawn(move || delays(through_at, "/app/x"))).collect();
        let join = |all: Vec<thread::ScopedJoinHandle<'_, Vec<Duration>>>| {
            all.into_iter().filter_map(|d| d.join().ok()).flatten().collect()
        };
        (join(direct), join(through))
    });
    let [d50, d99] = spread("chunk above the fastest, direct", &direct);
    let [t50, t99] = spread("chunk above the fastest, through", &through);
    let added = figure("chunk, added p50 (spread)", t50.value - d50.value, "ms");
    Ok(vec![d50, d99, t50, t99, added])
}

/// Leaves one plain server in the file, since two may not have the same address.
fn drop_second_plain(file: &str) -> String {
    match file.find("[[backend_server]]\nid = \"plain-01\"") {
        Some(at) => file[..at].to_owned(),
        None => file.to_owned(),
    }
}

fn memory(binary: &std::path::Path) -> anyhow::Result<Vec<Figure>> {
    let mut spec = spec(binary);
    spec.routers = 1;
    spec.engines = 10;
    spec.capacity = 64;
    spec.engine =
        EngineConfig { slots: 64, step: Duration::from_millis(50), ..EngineConfig::default() };
    let fleet = Fleet::start(spec)?;
    let idle = resident_mib(fleet.routers[0].pid());
    let to = fleet.routers[0].callers;
    let held = thread::scope(|scope| {
        for n in 0..STREAMS {
            scope.spawn(move || {
                let message = Message { role: "user".to_owned(), content: format!("stream {n}") };
                let chat =
                    ChatRequest { messages: vec![message], stream: true, max_tokens: Some(60) };
                let body = serde_json::to_vec(&chat).unwrap_or_default();
                Call::post("/llm/v1/chat/completions", &team_key("crew"), body).send(to)
            });
        }
        thread::sleep(Duration::from_secs(3));
        let in_flight = fleet.status(0).map_or(0, |s| s.instances[0].requests);
        (resident_mib(fleet.routers[0].pid()), in_flight)
    });
    Ok(vec![
        figure("resident memory, idle", idle, "MiB"),
        figure(format!("resident memory, {} streams", held.1), held.0, "MiB"),
    ])
}

fn start(binary: &std::path::Path) -> anyhow::Result<Vec<Figure>> {
    let mut fleet = Fleet::start(spec(binary))?;
    let mut times = Vec::new();
    for n in 0..10 {
        fleet.routers[1].kill();
        let began = Instant::now();
        fleet.replace_router(1, &format!("start-{n}"))?;
        while !fleet.is_ready(1) {
            thread::sleep(Duration::from_millis(1));
        }
        times.push(began.elapsed().as_secs_f64() * 1000.0);
    }
    Ok(vec![
        figure("start to ready, median of 10", percentile(&mut times, 0.5), "ms"),
        figure("start to ready, slowest of 10", percentile(&mut times, 1.0), "ms"),
    ])
}
