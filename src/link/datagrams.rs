//! Datagrams between instances, for messages whose loss does no harm: they need no connection, and a peer that does not
//! respond delays nobody.

use std::{
    io::{self, ErrorKind},
    net::{SocketAddr, UdpSocket},
    os::fd::{AsFd, BorrowedFd},
    time::Duration,
};

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    configs::fleet::chunks::{decode, encode},
    link::traffic::{Purpose, TrafficCounter},
};

/// Maximum size of a message in bytes, which fits into one packet on all links.
const MESSAGE_MAX: usize = 1200;

/// What a wait for a datagram brought.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received<T> {
    /// A message, and the address that it came from.
    Message(T, SocketAddr),
    /// A datagram that is no message.
    Invalid,
    /// Nothing in time.
    Nothing,
}

/// A socket that sends and receives messages of one purpose.
pub struct DatagramSocket {
    socket: UdpSocket,
    purpose: Purpose,
    traffic: TrafficCounter,
}

impl DatagramSocket {
    /// Binds a socket, at which a wait for a datagram takes `receive_timeout` at most.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn bind(
        address: SocketAddr,
        purpose: Purpose,
        receive_timeout: Duration,
        traffic: TrafficCounter,
    ) -> io::Result<DatagramSocket> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(receive_timeout))?;
        Ok(DatagramSocket { socket, purpose, traffic })
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

    /// Waits for a datagram.
    ///
    /// # Errors
    ///
    /// The socket has failed.
    pub fn receive<T: DeserializeOwned>(&self) -> io::Result<Received<T>> {
        let mut buf = [0; MESSAGE_MAX];
        let (len, from) = match self.socket.recv_from(&mut buf) {
            Ok(received) => received,
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Ok(Received::Nothing);
            }
            Err(error) => return Err(error),
        };
        self.traffic.count_received(self.purpose, len);
        let message = decode(&buf[..len]);
        Ok(message.map_or(Received::Invalid, |message| Received::Message(message, from)))
    }
}

impl AsFd for DatagramSocket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.socket.as_fd()
    }
}
