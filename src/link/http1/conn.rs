//! A connection with a read buffer and reads that end at an exact time.

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

/// Room for the first read of a connection: most heads and events fit.
const ROOM_FIRST: usize = 4 << 10;

/// Least room for a read; the buffer is doubled when there is less.
const ROOM_MIN: usize = 1 << 10;

/// Most bytes read from the socket at once.
const ROOM_MAX: usize = 64 << 10;

/// Size of an empty buffer above which it is given back, since idle connections are many.
const KEPT_MAX: usize = 16 << 10;

/// Longest single wait for a read before the caller's condition is looked at again.
const LOOK_PERIOD: Duration = Duration::from_millis(50);

/// Longest single wait of a thread that watches several connections: the kernel's timers stand still while the machine
/// is suspended, so a request is held this long after its time at most. Each wait costs two system calls.
const WAIT_MAX: Duration = Duration::from_secs(1);

/// Least time a socket time-out is set to.
const TIMEOUT_MIN: Duration = Duration::from_millis(1);

/// Why bytes could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The other side closed its sending direction.
    #[error("the connection was closed")]
    Closed,
    /// The time ran out.
    #[error("the time ran out")]
    Timeout,
    /// The reader's condition to go on no longer holds.
    #[error("the reading was given up")]
    Cancelled,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(io::Error),
    /// What came does not follow the protocol.
    #[error("what came is not HTTP: {0}")]
    Protocol(&'static str),
    /// What came is larger than allowed.
    #[error("what came is too large")]
    TooLarge,
}

/// A TCP connection with its read buffer.
#[derive(Debug)]
pub struct Conn {
    stream: TcpStream,
    clock: Clock,
    /// Initialised throughout; what has been read and not taken lies from `start` to `end`.
    buf: Vec<u8>,
    start: usize,
    end: usize,
    /// Write timeout that the socket has, so that it is set only when it changes.
    write_timeout: Option<Duration>,
}

impl Conn {
    /// Takes over an accepted or connected stream.
    ///
    /// # Errors
    ///
    /// The stream's options cannot be set.
    pub fn new(stream: TcpStream, clock: Clock) -> io::Result<Conn> {
        stream.set_nodelay(true)?;
        Ok(Conn { stream, clock, buf: Vec::new(), start: 0, end: 0, write_timeout: None })
    }

    /// Connects to `address` within `timeout`.
    ///
    /// # Errors
    ///
    /// The connection is refused or not made in time; no byte has been sent then.
    pub fn connect(address: SocketAddr, timeout: Duration, clock: &Clock) -> io::Result<Conn> {
        let stream = TcpStream::connect_timeout(&address, timeout.max(TIMEOUT_MIN))?;
        Conn::new(stream, clock.clone())
    }

    /// Returns the bytes read and not yet taken.
    pub fn buffered(&self) -> &[u8] {
        &self.buf[self.start..self.end]
    }

    /// Takes `count` buffered bytes away.
    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start >= self.end {
            (self.start, self.end) = (0, 0);
            if self.buf.len() > KEPT_MAX {
                self.buf = Vec::new();
            }
        }
    }

    /// Gives an empty buffer's memory back, before a connection is left idle: most connections are.
    pub fn release_buffer(&mut self) {
        if self.buffered().is_empty() {
            self.buf = Vec::new();
        }
    }

    /// Takes up to `most` buffered bytes.
    pub fn take(&mut self, most: usize) -> Vec<u8> {
        let count = most.min(self.buffered().len());
        let bytes = self.buffered()[..count].to_vec();
        self.consume(count);
        bytes
    }

    /// Reads more bytes into the buffer.
    ///
    /// Waits until `until` and gives up earlier when `go_on` says so; `go_on` is asked every
    /// 50 ms of waiting.
    ///
    /// # Errors
    ///
    /// See [`ReadError`]; the buffer keeps what was read before.
    pub fn fill(
        &mut self,
        until: Instant,
        go_on: &mut dyn FnMut() -> bool,
    ) -> Result<(), ReadError> {
        loop {
            let left = until.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                return Err(ReadError::Timeout);
            }
            let wait = left.min(LOOK_PERIOD).max(TIMEOUT_MIN);
            self.stream.set_read_timeout(Some(wait)).map_err(ReadError::Io)?;
            match self.read_once() {
                Ok(0) => return Err(ReadError::Closed),
                Ok(_) => return Ok(()),
                Err(e) if is_wait(&e) => {
                    if !go_on() {
                        return Err(ReadError::Cancelled);
                    }
                }
                Err(e) => return Err(ReadError::Io(e)),
            }
        }
    }

    fn read_once(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buf.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        if self.buf.len() - self.end < ROOM_MIN {
            let room = self.buf.len().clamp(ROOM_FIRST, ROOM_MAX);
            self.buf.resize(self.end + room, 0);
        }
        let read = self.stream.read(&mut self.buf[self.end..])?;
        self.end += read;
        Ok(read)
    }

    /// Reads more bytes into the buffer, waiting until `until` without looking up in between.
    ///
    /// With a `caller`, the wait ends as soon as that connection is closed by its other side.
    ///
    /// # Errors
    ///
    /// See [`ReadError`]; a caller that left is `Cancelled`.
    pub fn fill_until(&mut self, until: Instant, caller: Option<&Conn>) -> Result<(), ReadError> {
        let caller = caller.map(|caller| PollFd::new(&caller.stream, PollFlags::RDHUP));
        self.fill_watching(until, caller)
    }

    /// Waits until `until` for the first byte of what comes next; returns whether it has come.
    ///
    /// # Errors
    ///
    /// The connection is closed or has failed.
    pub fn wait_for_data(&mut self, until: Instant) -> Result<bool, ReadError> {
        if !self.buffered().is_empty() {
            return Ok(true);
        }
        match self.fill_watching(until, None) {
            Ok(()) => Ok(true),
            Err(ReadError::Timeout) => Ok(false),
            Err(fault) => Err(fault),
        }
    }

    fn fill_watching(
        &mut self,
        until: Instant,
        watched: Option<PollFd<'_>>,
    ) -> Result<(), ReadError> {
        match self.wait(until, watched, PollFlags::IN)? {
            Wake::Timeout => Err(ReadError::Timeout),
            Wake::Watched => Err(ReadError::Cancelled),
            Wake::Ready(_) => match self.read_once() {
                Ok(0) => Err(ReadError::Closed),
                Ok(_) => Ok(()),
                Err(e) => Err(ReadError::Io(e)),
            },
        }
    }

    /// Writes `bytes` until all are handed over, or until the other side answers before that.
    ///
    /// Returns the count handed over; fewer than all means that an early answer waits.
    ///
    /// # Errors
    ///
    /// The count of bytes handed over before the failure, and the failure.
    pub fn send_until_response(
        &mut self,
        bytes: &[u8],
        until: Instant,
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
            match self.wait(until, caller, PollFlags::IN | PollFlags::OUT) {
                Ok(Wake::Ready(events)) if events.contains(PollFlags::IN) => return Ok(sent),
                Ok(Wake::Ready(_)) => {}
                Ok(Wake::Timeout) => return Err((sent, ReadError::Timeout)),
                Ok(Wake::Watched) => return Err((sent, ReadError::Cancelled)),
                Err(fault) => return Err((sent, fault)),
            }
        }
        Ok(sent)
    }

    /// Sets how long bytes may stay unacknowledged before the connection counts as broken.
    ///
    /// # Errors
    ///
    /// The option cannot be set.
    pub fn set_unacknowledged_timeout(&self, timeout: Duration) -> io::Result<()> {
        let millis = u32::try_from(timeout.as_millis()).unwrap_or(u32::MAX);
        Ok(sockopt::set_tcp_user_timeout(&self.stream, millis)?)
    }

    fn wait(
        &self,
        until: Instant,
        watched: Option<PollFd<'_>>,
        events: PollFlags,
    ) -> Result<Wake, ReadError> {
        let mut fds = vec![PollFd::new(&self.stream, events)];
        fds.extend(watched);
        loop {
            let left = until.saturating_duration_since(self.clock.now());
            if left.is_zero() {
                return Ok(Wake::Timeout);
            }
            let timeout = Timespec::try_from(left.min(WAIT_MAX)).ok();
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
        }
    }

    /// Writes all of `bytes`; no single wait for the other side takes longer than `stall`.
    ///
    /// # Errors
    ///
    /// The count of bytes handed over before the failure, and the failure.
    pub fn send(&mut self, bytes: &[u8], stall: Duration) -> Result<(), (usize, io::Error)> {
        let stall = stall.max(TIMEOUT_MIN);
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

    /// Looks, without waiting, whether the other side has closed or broken the connection.
    pub fn state(&self) -> ConnState {
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        match rustix::net::recv(&self.stream, &mut [0; 1], flags) {
            Ok((_, 0)) => ConnState::HalfClosed,
            Ok(_) => ConnState::Readable,
            Err(rustix::io::Errno::AGAIN | rustix::io::Errno::INTR) => ConnState::Open,
            Err(_) => ConnState::Broken,
        }
    }

    /// Closes the own direction, so that the other side sees the end of what was sent and may send on.
    pub fn shutdown_write(&self) {
        // A connection that is already gone needs no closing.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Closes both directions at once, so that the other side sees a cut.
    pub fn shutdown(&self) {
        // A connection that is already gone needs no cutting.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Returns a second handle of the stream, with which another thread may cut it.
    ///
    /// # Errors
    ///
    /// The handle cannot be duplicated.
    pub fn try_clone_stream(&self) -> io::Result<TcpStream> {
        self.stream.try_clone()
    }

    /// Returns the stream, to be watched.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Returns the clock of the connection.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }
}

/// What ended a wait.
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
    /// Bytes wait to be read.
    Readable,
    /// The other side sends no more; it may still read.
    HalfClosed,
    /// Failed.
    Broken,
}

fn is_wait(e: &io::Error) -> bool {
    matches!(
        e.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}
