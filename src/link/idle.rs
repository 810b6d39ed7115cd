//! Monitoring of all idle connections by a single thread.
//!
//! Nearly all connections of callers and of other instances are idle nearly all of the time. With a thread for each,
//! these would be most of the threads of the process.

use std::{
    collections::{BTreeSet, HashMap},
    io::{self, PipeReader, PipeWriter, Write as _},
    mem::MaybeUninit,
    os::fd::{AsFd, OwnedFd},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use rustix::{
    event::{Timespec, epoll},
    io::Errno,
};

use crate::{
    clock::Clock,
    link::http1::{Conn, conn::ConnState},
    utils::{supervisor, sync::lock},
};

/// Maximum number of events read at once.
const EVENTS_MAX: usize = 64;

/// Pause after `epoll_wait` failed, which happens only when memory is exhausted.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum duration of a single wait, which `epoll_wait` can represent.
const EPOLL_WAIT_MAX: Duration = Duration::from_secs(3600);

/// Token of the pipe that wakes the thread when a new connection has the earliest deadline.
const WAKE_TOKEN: u64 = 0;

/// Token of the pipe that becomes readable when idle connections of callers are to be closed.
const CLOSING_TOKEN: u64 = 1;

/// Token of the first connection.
const FIRST_CONN_TOKEN: u64 = 2;

/// An idle connection, which waits for its next request.
pub struct IdleConn {
    /// The connection, with an empty read buffer.
    pub conn: Conn,
    /// Time at which it became idle.
    pub since: Instant,
    /// Returns the deadline of a connection that became idle at the given time. When the deadline has passed, it is
    /// called again, as the timeout may have increased.
    pub deadline: Arc<dyn Fn(Instant) -> Instant + Send + Sync>,
    /// Whether it is closed when the idle connections of callers are to be closed.
    pub is_caller_conn: bool,
    /// Serves the connection once it is readable.
    pub resume: Box<dyn FnOnce(Conn) + Send>,
}

/// A socket without connections, whose owner is told once when it becomes readable.
pub struct WatchedSocket {
    monitor: Arc<Monitor>,
    token: u64,
}

/// Monitor of idle connections; clones share its thread.
#[derive(Clone)]
pub struct IdleMonitor {
    monitor: Arc<Monitor>,
}

struct Monitor {
    epoll: OwnedFd,
    clock: Clock,
    wake_writer: PipeWriter,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    conns: HashMap<u64, (IdleConn, Instant)>,
    /// What is called when a socket without connections is readable.
    sockets: HashMap<u64, Arc<dyn Fn() + Send + Sync>>,
    /// Deadlines in order, with the tokens of their connections.
    deadlines: BTreeSet<(Instant, u64)>,
    next_token: u64,
    /// Whether idle connections of callers are to be closed.
    closing: bool,
}

impl IdleMonitor {
    /// Starts the monitor. It closes the idle connections of callers when `closing` becomes readable.
    ///
    /// # Errors
    ///
    /// A pipe, the epoll instance or the thread cannot be created.
    pub fn spawn(clock: Clock, closing: PipeReader) -> io::Result<IdleMonitor> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let (wake_reader, wake_writer) = io::pipe()?;
        rustix::io::ioctl_fionbio(&wake_reader, true)?;
        let events = epoll::EventFlags::IN;
        epoll::add(&epoll, &wake_reader, epoll::EventData::new_u64(WAKE_TOKEN), events)?;
        let once = events | epoll::EventFlags::ONESHOT;
        epoll::add(&epoll, &closing, epoll::EventData::new_u64(CLOSING_TOKEN), once)?;
        let state = Mutex::new(State { next_token: FIRST_CONN_TOKEN, ..State::default() });
        let monitor = Arc::new(Monitor { epoll, clock, wake_writer, state });
        let thread_monitor = Arc::clone(&monitor);
        // The thread owns the read ends of the pipes and runs as long as the process.
        let run = move || thread_monitor.run(&wake_reader, &closing);
        supervisor::spawn("idle", &monitor.clock, || true, run)?;
        Ok(IdleMonitor { monitor })
    }

    /// Monitors a connection until it is readable, the peer closes it, or its deadline passes.
    pub fn watch(&self, idle: IdleConn) {
        self.monitor.watch(idle);
    }

    /// Monitors a socket without connections. `readable` is called on the monitor's thread when it is readable, and not
    /// again before [`WatchedSocket::rearm`] is called.
    ///
    /// # Errors
    ///
    /// The socket cannot be monitored.
    pub fn watch_socket(
        &self,
        socket: impl AsFd,
        readable: impl Fn() + Send + Sync + 'static,
    ) -> io::Result<WatchedSocket> {
        let monitor = Arc::clone(&self.monitor);
        let token = {
            let mut state = lock(&monitor.state);
            let token = state.next_token;
            state.next_token += 1;
            state.sockets.insert(token, Arc::new(readable));
            token
        };
        let data = epoll::EventData::new_u64(token);
        epoll::add(&monitor.epoll, socket, data, WatchedSocket::EVENTS)?;
        Ok(WatchedSocket { monitor, token })
    }
}

impl WatchedSocket {
    const EVENTS: epoll::EventFlags = epoll::EventFlags::IN.union(epoll::EventFlags::ONESHOT);

    /// Has the owner of the socket called again when it is readable.
    ///
    /// # Errors
    ///
    /// The socket cannot be monitored.
    pub fn rearm(&self, socket: impl AsFd) -> io::Result<()> {
        let data = epoll::EventData::new_u64(self.token);
        Ok(epoll::modify(&self.monitor.epoll, socket, data, WatchedSocket::EVENTS)?)
    }
}

impl Monitor {
    fn watch(&self, idle: IdleConn) {
        let deadline = (idle.deadline)(idle.since);
        let mut state = lock(&self.state);
        if idle.is_caller_conn && state.closing {
            return;
        }
        let token = state.next_token;
        state.next_token += 1;
        let events = epoll::EventFlags::IN | epoll::EventFlags::RDHUP | epoll::EventFlags::ONESHOT;
        let added =
            epoll::add(&self.epoll, idle.conn.stream(), epoll::EventData::new_u64(token), events);
        if let Err(error) = added {
            log::error!("event=idle_unwatched reason={error}");
            return;
        }
        let is_earliest = state.deadlines.first().is_none_or(|(first, _)| deadline < *first);
        state.deadlines.insert((deadline, token));
        state.conns.insert(token, (idle, deadline));
        drop(state);
        if is_earliest {
            // The write fails only if the pipe is full, and then the thread is woken anyway.
            let _ = (&self.wake_writer).write(&[0]);
        }
    }

    fn run(&self, wake_reader: &PipeReader, _closing: &PipeReader) {
        loop {
            let timeout = self.next_deadline().map(|deadline| {
                let remaining =
                    deadline.saturating_duration_since(self.clock.now()).min(EPOLL_WAIT_MAX);
                // Rounded up, so that the deadline has passed when the wait ends.
                Timespec::try_from(remaining + Duration::from_millis(1)).unwrap_or_default()
            });
            let mut buffer = [MaybeUninit::<epoll::Event>::uninit(); EVENTS_MAX];
            let events = match epoll::wait(&self.epoll, &mut buffer, timeout.as_ref()) {
                Ok((events, _)) => &*events,
                Err(Errno::INTR) => continue,
                Err(error) => {
                    log::error!("event=idle_watch_failed reason={error}");
                    thread::sleep(RETRY_PAUSE);
                    continue;
                }
            };
            for event in events {
                match event.data.u64() {
                    WAKE_TOKEN => {
                        // The bytes have no meaning: the loop computes the earliest deadline anew.
                        let _ = rustix::io::read(wake_reader, &mut [0; 16]);
                    }
                    CLOSING_TOKEN => self.close_caller_conns(),
                    token => self.resume(token),
                }
            }
            self.close_expired();
        }
    }

    fn next_deadline(&self) -> Option<Instant> {
        lock(&self.state).deadlines.first().map(|(deadline, _)| *deadline)
    }

    fn take(&self, token: u64) -> Option<IdleConn> {
        let mut state = lock(&self.state);
        let (idle, deadline) = state.conns.remove(&token)?;
        state.deadlines.remove(&(deadline, token));
        drop(state);
        if let Err(error) = epoll::delete(&self.epoll, idle.conn.stream()) {
            log::error!("event=idle_still_watched reason={error}");
        }
        Some(idle)
    }

    fn resume(&self, token: u64) {
        let socket = lock(&self.state).sockets.get(&token).cloned();
        if let Some(readable) = socket {
            return readable();
        }
        let Some(idle) = self.take(token) else { return };
        match idle.conn.state() {
            ConnState::Readable => (idle.resume)(idle.conn),
            ConnState::HalfClosed | ConnState::Broken => {}
            // A spurious wake-up.
            ConnState::Open => self.watch(idle),
        }
    }

    fn close_caller_conns(&self) {
        let tokens: Vec<u64> = {
            let mut state = lock(&self.state);
            state.closing = true;
            let callers = state.conns.iter().filter(|(_, (idle, _))| idle.is_caller_conn);
            callers.map(|(token, _)| *token).collect()
        };
        // A request that is in transit when its connection is closed is not read, so its caller may retry it.
        tokens.into_iter().for_each(|token| drop(self.take(token)));
    }

    /// Closes the connections whose deadlines have passed.
    fn close_expired(&self) {
        let now = self.clock.now();
        loop {
            let token = match lock(&self.state).deadlines.first() {
                Some(&(deadline, token)) if deadline <= now => token,
                _ => return,
            };
            let Some(idle) = self.take(token) else { return };
            // The timeout may have increased in the meantime.
            if (idle.deadline)(idle.since) > now {
                self.watch(idle);
                continue;
            }
            // This thread may run late, and a request that has arrived would be lost with its connection.
            match idle.conn.state() {
                ConnState::Readable => (idle.resume)(idle.conn),
                ConnState::Open => log::debug!("event=idle_closed"),
                ConnState::HalfClosed | ConnState::Broken => {}
            }
        }
    }
}
