//! Tunnels: connections to backend servers through another instance, as HTTP proxies open them (RFC 9110, section 9.3.6).
//!
//! The instance in between copies bytes. All decisions about a request, and what is counted about it, stay with the
//! instance that received it; and since only listed backend servers are connected to, a tunnel is never longer than one
//! instance.

use std::{
    fmt, io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::StatusCode;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::http1::{Conn, ReadError, ResponseHead};

/// Beginning of the path of a request for a tunnel; the server's address follows.
pub const TUNNEL_PATH: &str = "/tunnel/";

/// Maximum size of the head of a reply in bytes.
const HEAD_MAX: usize = 1 << 10;

/// Maximum time for the origin to close a tunnel whose server has ended its response.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Header with the incarnation of the server that is meant: another one may listen at its address by now.
pub const SERVER_HEADER: &str = "server-id";

/// Header with the milliseconds for which a server wants no requests.
const PAUSE_HEADER: &str = "pause-ms";

/// Reply of an instance to a request for a tunnel.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TunnelStatus {
    /// The server has accepted a connection; the following bytes are the server's.
    Open,
    /// The server has not accepted a connection, although the instance reaches others of its service.
    ServerUnreachable,
    /// The instance has no path to the server, and does not know whether the server is up.
    NoPath,
    /// The instance opens no tunnels: it is partitioned from the service itself, draining or full.
    Declined,
    /// The server is leaving, by its own word or by the list.
    ServerLeaving,
    /// The server has asked the instance for no requests for that long.
    ServerPaused(Duration),
}

impl TunnelStatus {
    fn code(self) -> StatusCode {
        match self {
            TunnelStatus::Open => StatusCode::OK,
            TunnelStatus::ServerUnreachable => StatusCode::BAD_GATEWAY,
            TunnelStatus::NoPath => StatusCode::NOT_FOUND,
            TunnelStatus::Declined => StatusCode::SERVICE_UNAVAILABLE,
            TunnelStatus::ServerLeaving => StatusCode::GONE,
            TunnelStatus::ServerPaused(_) => StatusCode::TOO_MANY_REQUESTS,
        }
    }

    fn of(head: &ResponseHead) -> TunnelStatus {
        let pause_ms = head.header(PAUSE_HEADER).and_then(|value| value.parse().ok());
        match head.status {
            StatusCode::OK => TunnelStatus::Open,
            StatusCode::BAD_GATEWAY => TunnelStatus::ServerUnreachable,
            StatusCode::NOT_FOUND => TunnelStatus::NoPath,
            StatusCode::GONE => TunnelStatus::ServerLeaving,
            StatusCode::TOO_MANY_REQUESTS => {
                TunnelStatus::ServerPaused(Duration::from_millis(pause_ms.unwrap_or(0)))
            }
            _ => TunnelStatus::Declined,
        }
    }
}

/// Asks the instance at the other end of `conn` for a tunnel to the server `id` at `server`.
///
/// # Errors
///
/// The connection failed, or no reply arrived by `deadline`. No byte has reached the server then.
pub fn request(
    conn: &mut Conn,
    server: SocketAddr,
    id: &impl fmt::Display,
    deadline: Instant,
) -> Result<TunnelStatus, ReadError> {
    let head =
        format!("GET {TUNNEL_PATH}{server} HTTP/1.1\r\nhost:\r\n{SERVER_HEADER}:{id}\r\n\r\n");
    conn.send_until_response(head.as_bytes(), deadline, None).map_err(|(_, error)| error)?;
    loop {
        match ResponseHead::take_buffered(conn, HEAD_MAX) {
            Ok(Some(head)) => return Ok(TunnelStatus::of(&head)),
            Ok(None) => conn.fill_until(deadline, None)?,
            Err(_) => return Err(ReadError::Protocol("the reply is malformed")),
        }
    }
}

/// Replies to a request for a tunnel.
///
/// # Errors
///
/// The reply could not be sent within `timeout`.
pub fn reply(conn: &mut Conn, status: TunnelStatus, timeout: Duration) -> io::Result<()> {
    let pause = match status {
        TunnelStatus::ServerPaused(time) => format!("{PAUSE_HEADER}:{}\r\n", time.as_millis()),
        _ => String::new(),
    };
    let head = format!("HTTP/1.1 {} \r\n{pause}\r\n", status.code().as_u16());
    conn.send(head.as_bytes(), timeout).map_err(|(_, error)| error)
}

/// Copies bytes in both directions until the server or the origin closes, or nothing moves for `idle_timeout`.
///
/// The origin sees the end of the server's bytes as the server sent it: a connection that was reset, also because this
/// process ended, does not look like the end of a response.
pub fn copy(mut origin: Conn, mut server: Conn, idle_timeout: Duration) {
    // Otherwise the end of this process would close the connection in order.
    origin.reset_on_close();
    if copy_until_end(&mut origin, &mut server, idle_timeout).is_ok() {
        origin.shutdown_write();
        let deadline = origin.clock().now() + CLOSE_TIMEOUT;
        while origin.fill_until(deadline, None).is_ok() {
            origin.consume(origin.buffered().len());
        }
    }
}

/// A tunnel that ends without the end of a response.
struct End;

/// Copies until the server has closed in order and all of its bytes have been sent.
fn copy_until_end(origin: &mut Conn, server: &mut Conn, idle_timeout: Duration) -> Result<(), End> {
    let mut server_ended = false;
    loop {
        send_buffered(origin, server)?;
        send_buffered(server, origin)?;
        if server_ended && server.buffered().is_empty() {
            return Ok(());
        }
        let ready = wait(origin, server, server_ended, idle_timeout)?;
        if ready.origin_closed {
            return Err(End);
        }
        if ready.origin_readable {
            origin.fill_arrived().map_err(|_| End)?;
        }
        if ready.server_readable {
            match server.fill_arrived() {
                Ok(_) => {}
                Err(ReadError::Closed) => server_ended = true,
                Err(_) => return Err(End),
            }
        }
    }
}

/// Sends what was read from one connection to the other, as far as that accepts it.
fn send_buffered(from: &mut Conn, to: &mut Conn) -> Result<(), End> {
    while !from.buffered().is_empty() {
        let sent = to.send_now(from.buffered()).map_err(|_| End)?;
        if sent == 0 {
            break;
        }
        from.consume(sent);
    }
    Ok(())
}

/// What a wait has found.
struct Ready {
    origin_readable: bool,
    /// The origin has closed the tunnel, as its caller has left or it needs no more of the response.
    origin_closed: bool,
    server_readable: bool,
}

/// Waits until bytes can be moved. A connection is not read while its last bytes wait for the other one.
fn wait(
    origin: &Conn,
    server: &Conn,
    server_ended: bool,
    idle_timeout: Duration,
) -> Result<Ready, End> {
    let mut origin_events = PollFlags::RDHUP;
    origin_events.set(PollFlags::IN, origin.buffered().is_empty());
    origin_events.set(PollFlags::OUT, !server.buffered().is_empty());
    let mut server_events = PollFlags::empty();
    server_events.set(PollFlags::IN, server.buffered().is_empty() && !server_ended);
    server_events.set(PollFlags::OUT, !origin.buffered().is_empty() && !server_ended);
    let mut fds = vec![PollFd::new(origin.stream(), origin_events)];
    // The failure of a connection is always reported, and could not be handled before its last bytes are sent.
    if !server_events.is_empty() {
        fds.push(PollFd::new(server.stream(), server_events));
    }
    let timeout = Timespec::try_from(idle_timeout).ok();
    match poll(&mut fds, timeout.as_ref()) {
        Ok(0) => return Err(End),
        Ok(_) | Err(rustix::io::Errno::INTR) => {}
        Err(_) => return Err(End),
    }
    let broken = PollFlags::ERR | PollFlags::HUP;
    let on_origin = fds[0].revents();
    let on_server = fds.get(1).map_or(PollFlags::empty(), PollFd::revents);
    Ok(Ready {
        origin_readable: on_origin.contains(PollFlags::IN),
        origin_closed: on_origin.intersects(PollFlags::RDHUP | broken),
        server_readable: server.buffered().is_empty()
            && on_server.intersects(PollFlags::IN | broken),
    })
}
