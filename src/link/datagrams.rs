//! Datagrams between instances, for messages whose loss does no harm: they need no connection, and a peer that does not
//! respond delays nobody.

use std::{
    io,
    net::{SocketAddr, UdpSocket},
};

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    configs::fleet::chunks::{decode, encode},
    link::traffic::{Purpose, TrafficCounter},
};

/// Maximum size of a message in bytes, which fits into one packet on all links.
const MESSAGE_MAX: usize = 1200;

/// A socket that sends and receives messages of one purpose.
pub struct DatagramSocket {
    socket: UdpSocket,
    purpose: Purpose,
    traffic: TrafficCounter,
}

impl DatagramSocket {
    /// Binds a socket.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        purpose: Purpose,
        traffic: TrafficCounter,
    ) -> io::Result<DatagramSocket> {
        Ok(DatagramSocket { socket: UdpSocket::bind(address)?, purpose, traffic })
    }

    /// Sends a message; it may be lost.
    pub fn send(&self, to: SocketAddr, message: &impl Serialize) {
        let bytes = encode(message);
        if bytes.len() > MESSAGE_MAX {
            log::warn!("event=datagram_too_large bytes={}", bytes.len());
            return;
        }
        match self.socket.send_to(&bytes, to) {
            Ok(_) => self.traffic.count_sent(self.purpose, bytes.len()),
            Err(error) => log::debug!("event=datagram_not_sent peer={to} reason={error}"),
        }
    }

    /// Waits for a datagram; returns its message, or `None` if it is none.
    ///
    /// # Errors
    ///
    /// The socket has failed.
    pub fn receive<T: DeserializeOwned>(&self) -> io::Result<Option<T>> {
        let mut buf = [0; MESSAGE_MAX];
        let (len, _) = self.socket.recv_from(&mut buf)?;
        self.traffic.count_received(self.purpose, len);
        Ok(decode(&buf[..len]).ok())
    }

    /// Wakes the thread that waits for a datagram.
    pub fn wake(&self) {
        // It fails only if the socket has failed, which wakes the thread too.
        let _ = self.socket.local_addr().and_then(|own| self.socket.send_to(&[], own));
    }
}
