//! Connections on which nothing is asked, all watched by one thread.
//!
//! Nearly all connections of callers and of other instances are idle nearly all of the time. A thread for each
//! would be most of a process's threads.

use std::{
    collections::{BTreeSet, HashMap},
    io::{self, PipeReader, PipeWriter, Write as _},
    mem::MaybeUninit,
    os::fd::OwnedFd,
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
    utils::sync::lock,
};

/// Connections looked at in one go.
const EVENTS: usize = 64;

/// Pause after the watch itself failed, which it does only for want of memory.
const PAUSE_FAILED: Duration = Duration::from_millis(50);

/// Longest single wait, which the kernel's call can surely express.
const WAIT_MAX: Duration = Duration::from_secs(3600);

/// Number of the pipe by which the thread is told of an earlier end of waiting.
const WAKE: u64 = 0;

/// Number of the pipe that becomes readable when callers' idle connections are to close.
const CLOSING: u64 = 1;

/// Number of the first connection.
const FIRST: u64 = 2;

/// A connection that waits for its next request.
pub struct IdleConn {
    /// The connection; nothing read from it is left over.
    pub conn: Conn,
    /// Since when it has been idle.
    pub since: Instant,
    /// Returns until when a connection may wait that has been idle since then; asked again when that has passed.
    pub deadline: Arc<dyn Fn(Instant) -> Instant + Send + Sync>,
    /// Whether it ends when callers' idle connections are to close.
    pub is_callers: bool,
    /// Takes the connection when something has come on it.
    pub resume: Box<dyn FnOnce(Conn) + Send>,
}

/// The watch over idle connections.
#[derive(Clone)]
pub struct IdleMonitor {
    watch: Arc<Watch>,
}

struct Watch {
    epoll: OwnedFd,
    clock: Clock,
    wake: PipeWriter,
    waiting: Mutex<Waiting>,
}

#[derive(Default)]
struct Waiting {
    conns: HashMap<u64, (IdleConn, Instant)>,
    /// When each may wait no longer, first ones first.
    ends: BTreeSet<(Instant, u64)>,
    next: u64,
    /// Whether callers' idle connections are to close.
    closing: bool,
}

impl IdleMonitor {
    /// Starts the watch; callers' idle connections end when `closing` becomes readable.
    ///
    /// # Errors
    ///
    /// A pipe, the watch or its thread cannot be made.
    pub fn spawn(clock: Clock, closing: PipeReader) -> io::Result<IdleMonitor> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let (woken, wake) = io::pipe()?;
        rustix::io::ioctl_fionbio(&woken, true)?;
        let events = epoll::EventFlags::IN;
        epoll::add(&epoll, &woken, epoll::EventData::new_u64(WAKE), events)?;
        let once = events | epoll::EventFlags::ONESHOT;
        epoll::add(&epoll, &closing, epoll::EventData::new_u64(CLOSING), once)?;
        let waiting = Mutex::new(Waiting { next: FIRST, ..Waiting::default() });
        let watch = Arc::new(Watch { epoll, clock, wake, waiting });
        let watched = Arc::clone(&watch);
        // The pipes' ends live as long as the thread, which is as long as the process.
        thread::Builder::new()
            .name("idle".to_owned())
            .spawn(move || watched.run(&woken, &closing))?;
        Ok(IdleMonitor { watch })
    }

    /// Watches a connection until something comes on it, it is closed, or its time is over.
    pub fn watch(&self, idle: IdleConn) {
        self.watch.watch(idle);
    }
}

impl Watch {
    fn watch(&self, idle: IdleConn) {
        let end = (idle.deadline)(idle.since);
        let mut waiting = lock(&self.waiting);
        if idle.is_callers && waiting.closing {
            return;
        }
        let number = waiting.next;
        waiting.next += 1;
        let events = epoll::EventFlags::IN | epoll::EventFlags::RDHUP | epoll::EventFlags::ONESHOT;
        let added =
            epoll::add(&self.epoll, idle.conn.stream(), epoll::EventData::new_u64(number), events);
        if let Err(fault) = added {
            log::error!("event=idle_unwatched reason={fault}");
            return;
        }
        let is_first = waiting.ends.first().is_none_or(|(first, _)| end < *first);
        waiting.ends.insert((end, number));
        waiting.conns.insert(number, (idle, end));
        drop(waiting);
        if is_first {
            // A full pipe wakes the thread just as well.
            let _ = (&self.wake).write(&[0]);
        }
    }

    fn run(&self, woken: &PipeReader, _closing: &PipeReader) {
        loop {
            let timeout = self.next_end().map(|end| {
                let left = end.saturating_duration_since(self.clock.now()).min(WAIT_MAX);
                // Rounded up, so that the end has passed when the wait is over.
                Timespec::try_from(left + Duration::from_millis(1)).unwrap_or_default()
            });
            let mut room = [MaybeUninit::<epoll::Event>::uninit(); EVENTS];
            let events = match epoll::wait(&self.epoll, &mut room, timeout.as_ref()) {
                Ok((events, _)) => &*events,
                Err(Errno::INTR) => continue,
                Err(fault) => {
                    log::error!("event=idle_watch_failed reason={fault}");
                    thread::sleep(PAUSE_FAILED);
                    continue;
                }
            };
            for event in events {
                match event.data.u64() {
                    WAKE => {
                        // Whatever was written only says that there is a new first end.
                        let _ = rustix::io::read(woken, &mut [0; 16]);
                    }
                    CLOSING => self.close_callers(),
                    number => self.resume(number),
                }
            }
            self.end_overdue();
        }
    }

    fn next_end(&self) -> Option<Instant> {
        lock(&self.waiting).ends.first().map(|(end, _)| *end)
    }

    fn take(&self, number: u64) -> Option<IdleConn> {
        let mut waiting = lock(&self.waiting);
        let (idle, end) = waiting.conns.remove(&number)?;
        waiting.ends.remove(&(end, number));
        drop(waiting);
        if let Err(fault) = epoll::delete(&self.epoll, idle.conn.stream()) {
            log::error!("event=idle_still_watched reason={fault}");
        }
        Some(idle)
    }

    fn resume(&self, number: u64) {
        let Some(idle) = self.take(number) else { return };
        match idle.conn.state() {
            ConnState::Readable => (idle.resume)(idle.conn),
            ConnState::HalfClosed | ConnState::Broken => {}
            // Woken for nothing.
            ConnState::Open => self.watch(idle),
        }
    }

    fn close_callers(&self) {
        let numbers: Vec<u64> = {
            let mut waiting = lock(&self.waiting);
            waiting.closing = true;
            let callers = waiting.conns.iter().filter(|(_, (idle, _))| idle.is_callers);
            callers.map(|(number, _)| *number).collect()
        };
        // A request that crosses the close is not read, so its caller may send it again.
        numbers.into_iter().for_each(|number| drop(self.take(number)));
    }

    /// Closes the connections that may wait no longer.
    fn end_overdue(&self) {
        let now = self.clock.now();
        loop {
            let number = match lock(&self.waiting).ends.first() {
                Some(&(end, number)) if end <= now => number,
                _ => return,
            };
            let Some(idle) = self.take(number) else { return };
            // The limit may have grown meanwhile.
            if (idle.deadline)(idle.since) > now {
                self.watch(idle);
            }
        }
    }
}
