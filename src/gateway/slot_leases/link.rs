//! The stream to one broker.

use std::{net::SocketAddr, sync::Mutex, time::Instant};

use super::messages::ToBroker;
use crate::{link::peer::StreamSender, names::NodeName, routing::BrokerSilence, utils::sync::lock};

enum LinkState {
    /// The stream is being opened; these messages are sent as soon as it is open.
    Opening(Vec<ToBroker>),
    Open(StreamSender),
    Closed,
}

/// A stream to a broker, from the moment at which it is first needed until it ends.
pub(super) struct BrokerLink {
    /// The broker.
    pub(super) node: NodeName,
    /// Its address.
    pub(super) address: SocketAddr,
    state: Mutex<LinkState>,
    silence: Mutex<BrokerSilence>,
}

impl BrokerLink {
    /// Returns a link whose stream is to be opened.
    pub(super) fn new(now: Instant, node: NodeName, address: SocketAddr) -> BrokerLink {
        BrokerLink {
            node,
            address,
            state: Mutex::new(LinkState::Opening(Vec::new())),
            silence: Mutex::new(BrokerSilence::new(now)),
        }
    }

    /// Sends a message, or keeps it until the stream is open; returns false if the stream has ended.
    pub(super) fn send(&self, now: Instant, message: ToBroker) -> bool {
        if matches!(message, ToBroker::Acquire(_) | ToBroker::Ping) {
            lock(&self.silence).note_sent(now);
        }
        match &mut *lock(&self.state) {
            LinkState::Opening(kept) => {
                kept.push(message);
                true
            }
            LinkState::Open(sender) => sender.send(&message),
            LinkState::Closed => false,
        }
    }

    /// Sends `hello` and what was kept on the stream that has been opened; returns false if the link was closed
    /// meanwhile or the stream has failed.
    pub(super) fn opened(&self, sender: StreamSender, hello: ToBroker) -> bool {
        let mut state = lock(&self.state);
        let LinkState::Opening(kept) = &mut *state else {
            sender.shutdown();
            return false;
        };
        let sent = [hello].iter().chain(kept.iter()).all(|message| sender.send(message));
        *state = LinkState::Open(sender);
        sent
    }

    /// Closes the stream; the thread that reads it ends.
    pub(super) fn close(&self) {
        if let LinkState::Open(sender) =
            std::mem::replace(&mut *lock(&self.state), LinkState::Closed)
        {
            sender.shutdown();
        }
    }

    /// Records a message of the broker.
    pub(super) fn note_received(&self, now: Instant) {
        lock(&self.silence).note_received(now);
    }

    /// Returns whether the broker does not respond.
    pub(super) fn is_silent(&self, now: Instant) -> bool {
        lock(&self.silence).is_silent(now)
    }

    /// Returns whether the broker is to be sent a ping, while a request waits.
    pub(super) fn needs_ping(&self, now: Instant) -> bool {
        lock(&self.silence).needs_ping(now)
    }
}
