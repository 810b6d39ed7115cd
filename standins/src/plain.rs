//! A plain service's stand-in: answers with a text made from the request, and counts runs.

use std::{io, net::SocketAddr, sync::Arc};

use cartvane::link::listener::Listener;

use crate::{
    fault::Faults,
    server::{Received, Reply, Runs, answer, listen},
};

/// A running plain server.
pub struct Plain {
    listener: Listener,
    /// Faults of the next requests.
    pub faults: Arc<Faults>,
    /// Runs by id.
    pub runs: Arc<Runs>,
}

impl Plain {
    /// Starts a server on `address` with the faults given.
    ///
    /// # Errors
    ///
    /// The address cannot be listened on.
    pub fn spawn(address: SocketAddr, faults: Faults) -> io::Result<Plain> {
        let faults = Arc::new(faults);
        let runs: Arc<Runs> = Arc::default();
        let counted = Arc::clone(&runs);
        let listener = listen(address, Arc::clone(&faults), move |exchange| {
            answer(exchange, |received| {
                counted.add(received);
                Reply::new(200, expected(received)).with("content-type", "text/plain")
            })
        })?;
        Ok(Plain { listener, faults, runs })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops taking connections.
    pub fn stop(&mut self) {
        self.listener.stop();
    }
}

fn expected(received: &Received) -> String {
    expected_answer(received.head.method.as_str(), &received.head.target, &received.body)
}

/// Returns the answer to a request.
pub fn expected_answer(method: &str, target: &str, body: &[u8]) -> String {
    let hash = xxhash_rust::xxh3::xxh3_64(body);
    format!("{method} {target} {} {hash:016x}\n{}", body.len(), "answer ".repeat(20))
}
