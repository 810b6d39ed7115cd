//! Starts the threads of an instance.

use std::{io, sync::Arc, thread};

use super::Gateway;
use crate::utils::supervisor;

impl Gateway {
    /// Starts a thread of the instance, whose work is started again after a panic until the instance stops.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub(super) fn spawn_thread(
        self: &Arc<Self>,
        name: &'static str,
        work: impl Fn(&Arc<Gateway>) + Send + 'static,
    ) -> io::Result<()> {
        let (gateway, running) = (Arc::clone(self), Arc::clone(self));
        supervisor::spawn(name, &self.clock, move || running.is_running(), move || work(&gateway))
    }

    /// As [`Gateway::spawn_thread`], for a thread without which the instance must not get new callers.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub(super) fn spawn_required_thread(
        self: &Arc<Self>,
        name: &'static str,
        work: impl Fn(&Arc<Gateway>) + Send + 'static,
    ) -> io::Result<()> {
        let gateway = Arc::clone(self);
        let run = move || {
            let (threads, is_running) = (&gateway.required_threads, || gateway.is_running());
            threads.keep_running(name, &gateway.clock, is_running, || work(&gateway));
        };
        thread::Builder::new().name(name.to_owned()).spawn(run).map(drop)
    }
}
