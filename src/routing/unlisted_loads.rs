//! Loads of backend servers that are not in the list, while requests of this instance are still in flight there.
//!
//! The entry of a server may expire although the server is still working, and come back. Its requests then count again,
//! and their ends are not mistaken for those of later ones.

use indexmap::IndexMap;

use super::{Incarnation, Load};

/// Loads of unlisted servers with requests in flight.
#[derive(Debug, Default)]
pub struct UnlistedLoads(IndexMap<Incarnation, Load>);

impl UnlistedLoads {
    /// Keeps the load of a server that is no longer listed, if requests are in flight there.
    pub fn keep(&mut self, id: Incarnation, load: Load) {
        if load.own() > 0 {
            self.0.insert(id, load);
        }
    }

    /// Removes and returns the load of a server that is listed again.
    pub fn take(&mut self, id: &Incarnation) -> Load {
        self.0.swap_remove(id).unwrap_or_default()
    }

    /// Counts a request that has ended at an unlisted server.
    pub fn finish_request(&mut self, id: &Incarnation) {
        let Some(load) = self.0.get_mut(id) else { return };
        load.finish_request();
        if load.own() == 0 {
            self.0.swap_remove(id);
        }
    }
}
