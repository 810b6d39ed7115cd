//! Faults that a backend server's stand-in can be told to have, one a request.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use cartvane::utils::sync::lock;

use crate::endless::Endless;

/// What goes wrong with one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// The connection is closed before the request is read.
    CloseBeforeRead,
    /// The request is read and the connection closed; it is not run.
    CloseAfterRead,
    /// The request is run and the connection closed before the answer's head.
    CloseAfterRun,
    /// 503 with the statement that it was not run.
    RefuseNotRun,
    /// 503 with the statement that it was not run, and that nothing else is wanted for so long.
    RefuseFor(Duration),
    /// 503 without such a statement.
    RefusePlain,
    /// The request is run and no head comes for this long.
    StallHead(Duration),
    /// The answer stops half-way for this long.
    StallBody(Duration),
    /// The answer is cut half-way.
    CutBody,
    /// The answer carries the id of another attempt.
    Foreign,
    /// What comes is not HTTP.
    Garbage,
    /// The answer's head is larger than any router takes.
    Oversize,
    /// The answer comes twice on the same connection.
    Duplicate,
    /// The answer is whole and comes this late.
    Late(Duration),
    /// The request is run and fails: 500.
    ServerError,
    /// The answer lacks the server's signature.
    Unsigned,
    /// Another server has the address: the request is not run.
    WrongServer,
    /// A stream is cut in the middle of the event after this many.
    BreakAfter(usize),
    /// A stream is cut after this many events and this many bytes of the next one.
    BreakInside(usize, usize),
    /// A stream without chunks is closed in order inside an event.
    UnframedCut,
    /// A stream falls silent after this many events, for this long.
    SilentAfter(usize, Duration),
    /// A stream falls silent after this many events, for this long, and goes on.
    PauseAfter(usize, Duration),
    /// A stream falls silent after this many events, until [`Faults::release_streams`] is called, and goes on.
    HoldAfter(usize),
    /// An answer to another request comes before the right one.
    ForeignFirst,
    /// The answer states no length and ends with its connection.
    Unframed,
    /// Bytes come without end, and they are no answer, or follow one.
    Endless(Endless),
}

impl Fault {
    /// Returns whether a router that waits as long as it should gets the whole head of the answer.
    pub fn sends_head(self) -> bool {
        !matches!(
            self,
            Fault::CloseBeforeRead
                | Fault::CloseAfterRead
                | Fault::CloseAfterRun
                | Fault::StallHead(_)
                | Fault::Late(_)
                | Fault::Garbage
                | Fault::Oversize
                | Fault::Unframed
                | Fault::Endless(_)
        )
    }
}

/// Faults in line; one is taken for each request.
#[derive(Debug, Default)]
pub struct Faults {
    line: Arc<Mutex<VecDeque<Fault>>>,
    standing: Mutex<Option<Fault>>,
    held_streams: AtomicUsize,
    /// Whether streams are held no more.
    released: (Mutex<bool>, Condvar),
}

impl Faults {
    /// Returns faults that share their line with `other`: whichever server is asked first has the
    /// first of them.
    pub fn sharing(other: &Faults) -> Faults {
        Faults { line: Arc::clone(&other.line), ..Faults::default() }
    }

    /// Has a stream wait until [`Faults::release_streams`] is called.
    pub(crate) fn hold_stream(&self) {
        self.held_streams.fetch_add(1, Ordering::SeqCst);
        let (released, changed) = &self.released;
        let waited = changed.wait_while(lock(released), |released| !*released);
        drop(waited);
    }

    /// Returns how many streams were held.
    pub fn held_streams(&self) -> usize {
        self.held_streams.load(Ordering::SeqCst)
    }

    /// Has all streams that are held go on, and holds none from now on.
    pub fn release_streams(&self) {
        let (released, changed) = &self.released;
        *lock(released) = true;
        changed.notify_all();
    }

    /// Adds faults for the next requests.
    pub fn push(&self, faults: impl IntoIterator<Item = Fault>) {
        lock(&self.line).extend(faults);
    }

    /// Takes the fault for a request.
    pub fn take(&self) -> Fault {
        let standing = *lock(&self.standing);
        lock(&self.line).pop_front().or(standing).unwrap_or(Fault::None)
    }

    /// Returns whether the server takes no connection at all.
    pub fn is_down(&self) -> bool {
        *lock(&self.standing) == Some(Fault::CloseBeforeRead)
    }

    /// Forgets the faults in line.
    pub fn clear(&self) {
        lock(&self.line).clear();
        *lock(&self.standing) = None;
    }

    /// Gives every request without a fault of its own this one, or none.
    pub fn set_standing(&self, fault: Option<Fault>) {
        *lock(&self.standing) = fault;
    }
}
