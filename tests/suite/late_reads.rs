//! Bytes that arrive in time and are read late, as on a machine that is suspended or short of processor time.

use std::{
    io::Write,
    net::{TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    time::{Duration, Instant},
};

use cartvane::{
    clock::Clock,
    link::{
        http1::{Conn, ReadError, conn::ConnState},
        idle::{IdleConn, IdleMonitor},
    },
};

use crate::{support::eventually, suspended::AdvancingClock};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which the machine is suspended in these tests.
const SUSPENSION: Duration = Duration::from_secs(20);

/// Returns both ends of a connection; the first one measures its deadlines by `clock`.
fn connected(clock: &Clock) -> (Conn, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let conn = Conn::connect(address, TIMEOUT, clock).expect("a connection");
    let (peer, _) = listener.accept().expect("a connection");
    (conn, peer)
}

fn send(peer: &mut TcpStream, conn: &Conn, bytes: &[u8]) {
    peer.write_all(bytes).expect("sent");
    eventually("the bytes arrive", || conn.state() == ConnState::Readable);
}

// Guards against responses and streams that are cut at their deadline although their bytes have arrived: callers saw a
// 504, or a stream that ended early, with up to 190 KB of it unread.
#[test]
fn bytes_that_arrived_before_a_deadline_are_read_after_it() {
    let advancing = AdvancingClock::new();
    let (mut conn, mut peer) = connected(&advancing.clock);
    let deadline = advancing.clock.now() + TIMEOUT;
    send(&mut peer, &conn, b"until");
    advancing.advance(SUSPENSION);
    assert!(conn.fill_until(deadline, None).is_ok());
    assert_eq!(conn.take(10), b"until");
    send(&mut peer, &conn, b"while");
    assert!(conn.fill(deadline, &mut || false).is_ok(), "with a condition");
    assert_eq!(conn.take(10), b"while");
    assert!(matches!(conn.fill_until(deadline, None), Err(ReadError::Timeout)), "nothing is left");
    assert!(matches!(conn.fill(deadline, &mut || true), Err(ReadError::Timeout)));
}

// Guards against a peer that extends its deadline without an end, as bytes of it have always arrived.
#[test]
fn a_peer_that_never_stops_sending_is_read_for_a_limited_time_after_the_deadline() {
    const MAX: usize = 32 << 20;
    let clock = Clock::system();
    let (mut conn, mut peer) = connected(&clock);
    std::thread::spawn(move || while peer.write_all(&[b'x'; 64 << 10]).is_ok() {});
    let (deadline, mut read) = (clock.now(), 0);
    eventually("the first bytes arrive", || conn.state() == ConnState::Readable);
    let end = loop {
        match conn.fill_until(deadline, None) {
            Ok(()) => read += conn.take(usize::MAX).len(),
            Err(error) => break error,
        }
        assert!(read < MAX, "{read} bytes");
    };
    assert!(matches!(end, ReadError::Timeout), "{end}");
}

// Guards against requests that are closed unread on idle connections. The thread that monitors these handles 64 events at
// a time; when it was late, it closed all other connections whose timeout had passed, whether or not a request had
// arrived.
#[test]
fn requests_that_arrived_before_the_idle_timeout_are_served_when_the_monitor_is_late() {
    const CONNS: usize = 200;
    let advancing = AdvancingClock::new();
    let (closing, _open) = std::io::pipe().expect("a pipe");
    let monitor = IdleMonitor::spawn(advancing.clock.clone(), closing).expect("a monitor");
    let served = Arc::new(AtomicUsize::new(0));
    let watch = |conn: Conn, resume: Box<dyn FnOnce(Conn) + Send>| {
        let deadline: Arc<dyn Fn(Instant) -> Instant + Send + Sync> =
            Arc::new(|since| since + TIMEOUT);
        let since = advancing.clock.now();
        monitor.watch(IdleConn { conn, since, deadline, is_caller_conn: true, resume });
    };
    let (entered_tx, entered) = mpsc::channel();
    let (leave, leave_rx) = mpsc::channel::<()>();
    let (conn, mut stalling) = connected(&advancing.clock);
    let stall = move |_| {
        entered_tx.send(()).expect("the test waits");
        leave_rx.recv().expect("the test goes on");
    };
    watch(conn, Box::new(stall));
    let mut peers: Vec<TcpStream> = (0..CONNS)
        .map(|_| {
            let (conn, peer) = connected(&advancing.clock);
            let served = Arc::clone(&served);
            let serve = move |_| {
                served.fetch_add(1, Ordering::SeqCst);
            };
            watch(conn, Box::new(serve));
            peer
        })
        .collect();
    stalling.write_all(b"x").expect("sent");
    entered.recv().expect("the monitor is busy");
    peers.iter_mut().for_each(|peer| peer.write_all(b"GET").expect("sent"));
    advancing.advance(SUSPENSION);
    leave.send(()).expect("the monitor goes on");
    eventually("all requests are served", || served.load(Ordering::SeqCst) == CONNS);
}
