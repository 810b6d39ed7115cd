//! The bytes of a tunnel, and the choice of the instance that opens it.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use cartvane::{
    clock::Clock,
    link::{http1::Conn, tunnel},
    routing::{Candidates, InstanceInfo, TunnelPeers, TunnelReply},
};
use rustix::net::sockopt::set_socket_linger;

use crate::{routing::server, testbed::port};

/// A tunnel whose two ends are in the hands of the test.
struct Ends {
    origin: TcpStream,
    server: TcpStream,
    copying: thread::JoinHandle<()>,
}

/// Returns both ends of a connection.
fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind(port(0)).expect("a listener");
    let near = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    (near, listener.accept().expect("accepted").0)
}

fn open() -> Ends {
    let ((origin, from_origin), (to_server, server)) = (connection(), connection());
    let conn = |stream| Conn::new(stream, Clock::system()).expect("a connection");
    let (from_origin, to_server) = (conn(from_origin), conn(to_server));
    let copying =
        thread::spawn(move || tunnel::copy(from_origin, to_server, Duration::from_secs(20)));
    Ends { origin, server, copying }
}

/// Guards against a cut response that looks complete: one without a length ends where its connection ends in order.
#[test]
fn the_end_of_a_response_is_passed_on_as_it_came() {
    for is_reset in [false, true] {
        let Ends { mut origin, mut server, copying } = open();
        origin.write_all(b"request").expect("sent");
        let mut request = [0; 7];
        server.read_exact(&mut request).expect("the request");
        server.write_all(b"half").expect("sent");
        let mut half = [0; 4];
        origin.read_exact(&mut half).expect("the first bytes");
        if is_reset {
            set_socket_linger(&server, Some(Duration::ZERO)).expect("a reset");
        }
        drop(server);
        let end = origin.read(&mut [0; 1]);
        assert_eq!(end.is_err(), is_reset, "{end:?}");
        drop(origin);
        copying.join().expect("the tunnel ends");
    }
}

/// Guards against tunnels that fill the memory of the instance in between while one side reads nothing, and lose bytes.
#[test]
fn a_slow_side_gets_all_bytes_and_holds_up_the_other() {
    const BYTES: usize = 24 << 20;
    let Ends { mut origin, mut server, copying } = open();
    server.set_write_timeout(Some(Duration::from_millis(300))).expect("a timeout");
    let block = [b'x'; 64 << 10];
    let mut sent = 0;
    while sent < BYTES {
        match server.write(&block) {
            Ok(count) => sent += count,
            Err(_) => break,
        }
    }
    assert!(sent < BYTES, "the tunnel reads no more than it can pass on");
    drop(server);
    let mut received = Vec::new();
    origin.read_to_end(&mut received).expect("all bytes");
    assert_eq!(received.len(), sent);
    drop(origin);
    copying.join().expect("the tunnel ends");
}

/// Guards against a server that is kept busy for an origin that has closed.
#[test]
fn a_tunnel_ends_as_its_origin_closes() {
    let Ends { origin, mut server, copying } = open();
    drop(origin);
    assert_eq!(server.read(&mut [0; 1]).expect("the end"), 0);
    copying.join().expect("the tunnel ends");
}

fn instance(number: u16, zone: &str) -> InstanceInfo {
    let node = format!("i{number}").parse().expect("a name");
    let address = SocketAddr::from(([10, 0, 0, 1], number));
    InstanceInfo { node, address, zone: zone.parse().expect("a zone"), cores: 1.0 }
}

fn candidates(others: u16) -> Candidates {
    let mut candidates = Candidates::new(instance(0, "north"));
    let zone = |number| if number % 2 == 0 { "north" } else { "south" };
    candidates.set((1..=others).map(|number| instance(number, zone(number))));
    candidates
}

/// Guards against one instance that carries the requests of all that are partitioned, and against needless traffic
/// between zones.
#[test]
fn requests_spread_over_the_other_instances_of_the_own_zone_first() {
    let (candidates, mut peers, now) = (candidates(8), TunnelPeers::default(), Instant::now());
    let server = server("s", 9);
    let mut counts = indexmap::IndexMap::<String, usize>::new();
    for n in 0..2000_u64 {
        let spread = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let chosen = peers.choose(now, &candidates, &server, spread).expect("an instance");
        assert_ne!(chosen.node, candidates.own().node);
        *counts.entry(format!("{}-{}", chosen.zone, chosen.node)).or_default() += 1;
    }
    let of_zone: Vec<usize> =
        counts.iter().filter(|(node, _)| node.starts_with("north")).map(|(_, n)| *n).collect();
    assert_eq!(of_zone.len(), 4);
    assert!(of_zone.iter().all(|&count| (340..570).contains(&count)), "{counts:?}");
    assert!(of_zone.iter().sum::<usize>() > 1700, "{counts:?}");
}

/// Guards against questions by each request to instances that cannot help, and against a fleet of which all instances
/// are partitioned and ask each other all the time.
#[test]
fn instances_that_decline_are_skipped_for_a_while() {
    let (candidates, mut peers, now) = (candidates(40), TunnelPeers::default(), Instant::now());
    let server = server("s", 9);
    let mut asked = 0;
    while let Some(chosen) = peers.choose(now, &candidates, &server, asked) {
        peers.note_reply(now, &chosen.node, &server, TunnelReply::Declined);
        asked += 1;
    }
    assert_eq!(asked, 16, "then one in 50 ms");
    let soon = now + Duration::from_millis(60);
    let chosen = peers.choose(soon, &candidates, &server, 1).expect("one more");
    peers.note_reply(soon, &chosen.node, &server, TunnelReply::Opened);
    let again = (0..100).all(|n| peers.choose(soon, &candidates, &server, n).is_some());
    assert!(again, "an instance that helps may be asked at once");
}
