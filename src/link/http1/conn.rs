//! A TCP connection with a read buffer and reads with an exact deadline.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    net::{RecvFlags, SendFlags, sockopt},
};

use crate::clock::Clock;

/// Initial size of the read buffer in bytes: most heads and events fit.
const BUFFER_INITIAL: usize = 4 << 10;

/// Minimum free space for a read in bytes. The buffer is doubled when it has less.
const READ_SPACE_MIN: usize = 1 << 10;

/// Maximum number of bytes by which the buffer grows at once, which also bounds the size of a single read.
const READ_SPACE_MAX: usize = 64 << 10;

/// Size in bytes above which an empty buffer is freed. Idle connections are many, and each would keep its buffer.
const IDLE_BUFFER_MAX: usize = 16 << 10;

/// Interval at which a waiting read checks its condition `keep_waiting`.
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum duration of a single `poll`. The kernel's timers stop while the machine is suspended, so after a suspension
/// a wait exceeds its deadline by at most this duration. Each wait costs two system calls.
const POLL_WAIT_MAX: Duration = Duration::from_secs(1);

/// Maximum number of bytes that are read after their deadline: more than the kernel receives ahead. What had arrived by
/// the deadline is delivered late, but a peer that never stops sending does not extend the deadline without an end.
const LATE_BYTES_MAX: usize = 8 << 20;

/// Minimum timeout set on a socket, which rejects a timeout of zero.
const SOCKET_TIMEOUT_MIN: Duration = Duration::from_millis(1);

/// Error of a read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed its sending direction.
    #[error("the connection was closed")]
    Closed,
    /// The deadline passed.
    #[error("the time ran out")]
    Timeout,
    /// The reader's condition to continue no longer holds, or the caller has disconnected.
    #[error("the reading was given up")]
    Cancelled,
    /// An event stream ended inside an event, so it was broken off.
    #[error("the stream ended inside an event")]
    CutEvent,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(io::Error),
    /// The received bytes violate the protocol.
    #[error("what came is not HTTP: {0}")]
    Protocol(&'static str),
    /// The received message exceeds the size limit.
    #[error("what came is too large")]
    TooLarge,
}

/// A TCP connection with its read buffer.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    clock: Clock,
    /// Fully initialized; the bytes read and not yet consumed are at `start..end`.
    buf: Vec<u8>,
    start: usize,
    end: usize,
    /// Number of bytes read since a deadline that has passed.
    late_bytes: usize,
    /// Current write timeout of the socket, so that it is set only when it changes.
    write_timeout: Option<Duration>,
}

impl Conn {
    /// Wraps an accepted or connected stream.
    ///
    /// # Errors
    ///
    /// The stream's options cannot be set.
    pub fn new(stream: TcpStream, clock: Clock) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        Ok(Conn {
            stream,
            clock,
            buf: Vec::new(),
            start: 0,
            end: 0,
            late_bytes: 0,
            write_timeout: None,
        })
    }

    /// Connects to `address` within `timeout`.
    ///
    /// # Errors
    ///
    /// The connection is refused or not established in time. No byte has been sent then.
    pub fn connect(address: SocketAddr, timeout: Duration, clock: &Clock) -> io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&address, timeout.max(SOCKET_TIMEOUT_MIN))?;
        Conn::new(stream, clock.clone())
    }

    /// Returns the bytes read and not yet consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buf[self.start..self.end]
    }

    /// Removes `count` bytes from the front of the buffer.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.end {
            (self.start, self.end) = (0, 0);
            if self.buf.len() > IDLE_BUFFER_MAX {
                self.buf = Vec::new();
            }
        }
    }

    /// Frees the memory of an empty buffer, before the connection becomes idle: most connections are idle.
    pub fn release_buffer(&mut self) {
        if self.buffered().is_empty() {
            self.buf = Vec::new();
        }
    }

    /// Removes up to `max` bytes from the front of the buffer and returns them.
    pub fn take(&mut self, max: usize) -> Vec<u8> {
        let count = max.min(self.buffered().len());
        let bytes = self.buffered()[..count].to_vec();
        self.consume(count);
        bytes
    }

    /// Reads more bytes into the buffer.
    ///
    /// Waits until `deadline`, or until `keep_waiting`, which is called every 50 ms of waiting, returns false.
    ///
    /// # Errors
    ///
    /// See [`ReadError`]. The buffer keeps the bytes read before.
    pub fn fill(
        &mut self,
        deadline: Instant,
        keep_waiting: &mut dyn FnMut() -> bool,
    ) -> Result<(), ReadError> {
        loop {
            let remaining = deadline.saturating_duration_since(self.clock.now());
            let check_at = self.clock.now() + remaining.min(CONDITION_POLL_INTERVAL);
            match self.fill_watching(check_at, None) {
                Err(ReadError::Timeout) if remaining.is_zero() => return Err(ReadError::Timeout),
                Err(ReadError::Timeout) if !keep_waiting() => return Err(ReadError::Cancelled),
                Err(ReadError::Timeout) => {}
                filled => return filled,
            }
        }
    }

    /// Reads what has arrived into the buffer, without waiting; returns whether there was anything.
    ///
    /// # Errors
    ///
    /// The connection was closed or has failed.
    pub fn fill_arrived(&mut self) -> Result<bool, ReadError> {
        match self.fill_watching(self.clock.now(), None) {
            Ok(()) => Ok(true),
            Err(ReadError::Timeout) => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn read_once(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buf.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        if self.buf.len() - self.end < READ_SPACE_MIN {
            let space = self.buf.len().clamp(BUFFER_INITIAL, READ_SPACE_MAX);
            self.buf.resize(self.end + space, 0);
        }
        let read = self.stream.read(&mut self.buf[self.end..])?;
        self.end += read;
        Ok(read)
    }

    /// Reads more bytes into the buffer, waiting until `deadline`.
    ///
    /// With a `caller`, the wait ends as soon as the peer of that connection closes it.
    ///
    /// # Errors
    ///
    /// See [`ReadError`]. If the caller disconnects, the error is `Cancelled`.
    pub fn fill_until(
        &mut self,
        deadline: Instant,
        caller: Option<&Conn>,
    ) -> Result<(), ReadError> {
        let caller = caller.map(|caller| PollFd::new(&caller.stream, PollFlags::RDHUP));
        self.fill_watching(deadline, caller)
    }

    /// Waits until `deadline` for data; returns whether the buffer has any.
    ///
    /// # Errors
    ///
    /// The connection was closed or has failed.
    pub fn wait_for_data(&mut self, deadline: Instant) -> Result<bool, ReadError> {
        if !self.buffered().is_empty() {
            return Ok(true);
        }
        match self.fill_watching(deadline, None) {
            Ok(()) => Ok(true),
            Err(ReadError::Timeout) => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn fill_watching(
        &mut self,
        deadline: Instant,
        watched: Option<PollFd<'_>>,
    ) -> Result<(), ReadError> {
        let is_late = self.clock.now() >= deadline;
        match self.wait(deadline, watched, PollFlags::IN)? {
            Wake::Timeout => return Err(ReadError::Timeout),
            Wake::Watched => return Err(ReadError::Cancelled),
            Wake::Ready(_) if is_late && self.late_bytes >= LATE_BYTES_MAX => {
                return Err(ReadError::Timeout);
            }
            Wake::Ready(_) => {}
        }
        let read = match self.read_once() {
            Ok(0) => return Err(ReadError::Closed),
            Ok(read) => read,
            Err(e) => return Err(ReadError::Io(e)),
        };
        self.late_bytes = if is_late { self.late_bytes + read } else { 0 };
        Ok(())
    }

    /// Writes `bytes` until all are sent, or until the peer sends a response before that.
    ///
    /// Returns the number of bytes sent; fewer than all means that an early response can be read.
    ///
    /// # Errors
    ///
    /// The number of bytes sent before the error, and the error.
    pub fn send_until_response(
        &mut self,
        bytes: &[u8],
        deadline: Instant,
        caller: Option<&Conn>,
    ) -> Result<usize, (usize, ReadError)> {
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        let mut sent = 0;
        while sent < bytes.len() {
            match rustix::net::send(&self.stream, &bytes[sent..], flags) {
                Ok(count) => {
                    sent += count;
                    continue;
                }
                Err(rustix::io::Errno::INTR) => continue,
                Err(rustix::io::Errno::AGAIN) => {}
                Err(e) => return Err((sent, ReadError::Io(e.into()))),
            }
            let caller = caller.map(|caller| PollFd::new(&caller.stream, PollFlags::RDHUP));
            match self.wait(deadline, caller, PollFlags::IN | PollFlags::OUT) {
                Ok(Wake::Ready(events)) if events.contains(PollFlags::IN) => return Ok(sent),
                Ok(Wake::Ready(_)) => {}
                Ok(Wake::Timeout) => return Err((sent, ReadError::Timeout)),
                Ok(Wake::Watched) => return Err((sent, ReadError::Cancelled)),
                Err(error) => return Err((sent, error)),
            }
        }
        Ok(sent)
    }

    /// Sets how long sent bytes may remain unacknowledged before the connection fails (`TCP_USER_TIMEOUT`).
    ///
    /// # Errors
    ///
    /// The option cannot be set.
    pub fn set_unacknowledged_timeout(&self, timeout: Duration) -> io::Result<()> {
        let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        Ok(sockopt::set_tcp_user_timeout(&self.stream, millis)?)
    }

    /// Waits for one of `events` until `deadline`. What has happened by then counts, however late this thread looks: a
    /// machine that is short of processor time, or that was suspended, may not run it before the deadline has passed.
    fn wait(
        &self,
        deadline: Instant,
        watched: Option<PollFd<'_>>,
        events: PollFlags,
    ) -> Result<Wake, ReadError> {
        let mut fds = vec![PollFd::new(&self.stream, events)];
        fds.extend(watched);
        loop {
            let remaining = deadline.saturating_duration_since(self.clock.now());
            let timeout = Timespec::try_from(remaining.min(POLL_WAIT_MAX)).ok();
            match poll(&mut fds, timeout.as_ref()) {
                Ok(_) | Err(rustix::io::Errno::INTR) => {}
                Err(e) => return Err(ReadError::Io(e.into())),
            }
            if !fds[0].revents().is_empty() {
                return Ok(Wake::Ready(fds[0].revents()));
            }
            if fds.get(1).is_some_and(|fd| !fd.revents().is_empty()) {
                return Ok(Wake::Watched);
            }
            if remaining.is_zero() {
                return Ok(Wake::Timeout);
            }
        }
    }

    /// Writes all of `bytes`; no single wait for the peer takes longer than `stall`.
    ///
    /// # Errors
    ///
    /// The number of bytes sent before the error, and the error.
    pub fn send(&mut self, bytes: &[u8], stall: Duration) -> Result<(), (usize, io::Error)> {
        let stall = stall.max(SOCKET_TIMEOUT_MIN);
        if self.write_timeout != Some(stall) {
            self.stream.set_write_timeout(Some(stall)).map_err(|e| (0, e))?;
            self.write_timeout = Some(stall);
        }
        let mut sent = 0;
        while sent < bytes.len() {
            match self.stream.write(&bytes[sent..]) {
                Ok(0) => return Err((sent, io::ErrorKind::WriteZero.into())),
                Ok(count) => sent += count,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err((sent, e)),
            }
        }
        Ok(())
    }

    /// Sends as many of `bytes` as the socket accepts without waiting; returns their number, which may be zero.
    ///
    /// # Errors
    ///
    /// The connection has failed.
    pub fn send_now(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        match rustix::net::send(&self.stream, bytes, flags) {
            Ok(count) => Ok(count),
            Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR) => Ok(0),
            Err(e) => Err(e.into()),
        }
    }

    /// Waits until the socket accepts bytes or `deadline` has passed.
    ///
    /// # Errors
    ///
    /// The wait failed. A failed connection counts as accepting bytes, and the next send fails.
    pub fn wait_for_space(&self, deadline: Instant) -> Result<(), ReadError> {
        self.wait(deadline, None, PollFlags::OUT).map(drop)
    }

    /// Limits the bytes that the kernel holds until the peer has received them; the kernel doubles `bytes` for its own
    /// data. Must be called before more than that has been sent.
    pub fn limit_send_buffer(&self, bytes: usize) {
        // Without the limit, a slow peer only appears to accept bytes in larger steps.
        let _ = sockopt::set_socket_send_buffer_size(&self.stream, bytes);
    }

    /// Has the connection reset when it is closed, so that the peer does not take the end of the data for the end of the
    /// message.
    pub fn reset_on_close(&self) {
        if sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO)).is_err() {
            self.shutdown();
        }
    }

    /// Checks, without waiting, whether the peer has sent data or closed the connection, or the connection has failed.
    pub fn state(&self) -> ConnState {
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match rustix::net::recv(&self.stream, &mut [0; 1], flags) {
            Ok((_, 0)) => ConnState::HalfClosed,
            Ok(_) => ConnState::Readable,
            Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR) => ConnState::Open,
            Err(_) => ConnState::Broken,
        }
    }

    /// Closes the sending direction, so that the peer sees the end of the data and can still send.
    pub fn shutdown_write(&self) {
        // It fails only if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Closes both directions at once, so that the peer sees an unfinished message as truncated.
    pub fn shutdown(&self) {
        // It fails only if the connection is closed already.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Returns a second handle of the stream, for a thread that writes to it or shuts it down.
    ///
    /// # Errors
    ///
    /// The handle cannot be duplicated.
    pub fn try_clone_stream(&self) -> io::Result<TcpStream> {
        self.stream.try_clone()
    }

    /// Returns the stream, to register it for events.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the clock by which the connection measures its deadlines.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }
}

/// Event that ended a wait.
enum Wake {
    Ready(PollFlags),
    Watched,
    Timeout,
}

/// State of an idle or waiting connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnState {
    /// Open, nothing to read.
    Open,
    /// Data can be read.
    Readable,
    /// The peer has closed its sending direction; it may still read.
    HalfClosed,
    /// The connection has failed.
    Broken,
}
