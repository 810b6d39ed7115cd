//! Check of pooled connections, which no thread reads.
//!
//! Without it, a peer whose bytes go on after a response is read by nobody, and its connection stays open until it is
//! taken for the next request. Watching each connection from one request to the next would cost two system calls a
//! request; the check costs one for all connections of a pool.

use std::{collections::HashMap, time::Duration};

use rustix::{
    event::{PollFd, PollFlags, Timespec, poll},
    io::Errno,
};

use super::http1::Conn;

/// Time between two checks of a pool. It bounds for how long a peer's bytes fill the kernel's buffers; the shortest age of a
/// pooled connection is similar.
pub const POOL_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Removes the connections of a pool that are not fresh, that the peer has closed, or on which bytes have arrived; returns
/// them, so that they can be closed without a lock on the pool.
pub(crate) fn take_unusable<K, T>(
    pool: &mut HashMap<K, Vec<T>>,
    is_fresh: impl Fn(&T) -> bool,
    conn: impl Fn(&T) -> &Conn,
) -> Vec<T> {
    let expired = pool.values_mut().flat_map(|conns| conns.extract_if(.., |idle| !is_fresh(idle)));
    let mut unusable: Vec<T> = expired.collect();
    let mut quiet = are_quiet(pool.values().flatten().map(conn)).into_iter();
    for conns in pool.values_mut() {
        unusable.extend(conns.extract_if(.., |_| quiet.next() == Some(false)));
    }
    pool.retain(|_, conns| !conns.is_empty());
    unusable
}

/// Returns for each connection whether it is open and nothing has arrived on it. Does not wait.
fn are_quiet<'c>(conns: impl Iterator<Item = &'c Conn>) -> Vec<bool> {
    let events = PollFlags::IN | PollFlags::RDHUP;
    let mut fds: Vec<PollFd<'_>> = conns.map(|c| PollFd::new(c.stream(), events)).collect();
    if fds.is_empty() {
        return Vec::new();
    }
    match poll(&mut fds, Some(&Timespec::default())) {
        // A signal came first: nothing is known until the next check.
        Ok(_) | Err(Errno::INTR) => {}
        Err(error) => log::error!("event=pool_unchecked reason={error}"),
    }
    fds.iter().map(|fd| fd.revents().is_empty()).collect()
}
