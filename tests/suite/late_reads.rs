//! Bytes that arrive in time and are read late, as on a machine that is suspended or short of processor time.

use std::{
    io::Write,
    net::{TcpListener, TcpStream},
    time::Duration,
};

use cartvane::{
    clock::Clock,
    link::http1::{Conn, ReadError, conn::ConnState},
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
