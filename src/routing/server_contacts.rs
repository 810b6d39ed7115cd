//! When servers were lost, and whether others were heard from since, by which an instance tells a server that has ended
//! from a path that it has lost itself, where no other instance can say.
//!
//! An instance that is cut off loses all servers at once, and hears from none of them then. Servers that end do so one
//! after the other, and the rest respond meanwhile.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use super::Incarnation;

/// Time after a loss from which on a response counts: bytes that had arrived before it are read by then.
const CONTACT_DELAY: Duration = Duration::from_millis(100);

/// Time after a loss within which another server has to be heard from.
pub const CONTACT_TIME: Duration = Duration::from_millis(350);

/// Losses that are no further apart than this are taken for one event.
const SIMULTANEITY: Duration = Duration::from_millis(25);

/// Number of servers that are lost at once if it is the path that is lost.
const LOST_AT_ONCE: usize = 3;

/// Longest time between two losses of a series of servers that end one after the other.
const SERIES_GAP: Duration = Duration::from_secs(1);

/// Time for which a loss is kept.
const RETENTION: Duration = Duration::from_secs(2);

/// A server that has refused a connection.
#[derive(Debug)]
struct Loss {
    server: Incarnation,
    at: Instant,
    /// Whether another server was heard from in time.
    is_other_alive: bool,
}

/// The latest losses of servers.
#[derive(Debug, Default)]
pub struct ServerContacts {
    losses: VecDeque<Loss>,
}

impl Loss {
    fn note_response(&mut self, now: Instant, server: &Incarnation) {
        let window = self.at + CONTACT_DELAY..=self.at + CONTACT_TIME;
        self.is_other_alive |= self.server.server != server.server && window.contains(&now);
    }

    fn distance(&self, other: &Loss) -> Duration {
        let (first, last) = (self.at.min(other.at), self.at.max(other.at));
        last.saturating_duration_since(first)
    }
}

impl ServerContacts {
    /// Notes that a server has refused a connection.
    pub fn note_lost(&mut self, now: Instant, server: &Incarnation) {
        let is_old = |loss: &Loss| now.saturating_duration_since(loss.at) > RETENTION;
        while self.losses.pop_front_if(|loss| is_old(loss)).is_some() {}
        self.losses.push_back(Loss { server: server.clone(), at: now, is_other_alive: false });
    }

    /// Notes that a server has responded on a connection of this instance, or has accepted one.
    pub fn note_response(&mut self, now: Instant, server: &Incarnation) {
        self.losses.iter_mut().for_each(|loss| loss.note_response(now, server));
    }

    /// Returns whether a server that was lost has ended, as far as other servers show: only few were lost at once, and
    /// another one was heard from soon after the loss, or was lost by itself before or after it.
    pub fn has_ended(&self, server: &Incarnation) -> bool {
        let latest = self.losses.iter().rfind(|loss| loss.server == *server);
        let Some(loss) = latest else { return false };
        let distances = || self.losses.iter().map(|other| other.distance(loss));
        let at_once = distances().filter(|distance| *distance <= SIMULTANEITY).count();
        let is_in_series = distances().any(|d| d > SIMULTANEITY && d <= SERIES_GAP);
        at_once < LOST_AT_ONCE && (loss.is_other_alive || is_in_series)
    }
}
