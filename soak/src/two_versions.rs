//! A service of its own for each event that lists servers of a second software version.

use std::{io, ops::Range, sync::Arc};

use cartvane::utils::sync::lock;
use standins::{fault::Faults, listed::Listed};

use crate::fleet::Fleet;

/// Number of such services.
pub(crate) const SERVICES: usize = 3;

/// Version of the servers that are listed from the start of the run.
pub(crate) const FIRST: &str = "v1";

/// Version of the servers that an event lists.
pub(crate) const SECOND: &str = "v2";

/// Number of servers of each version.
const SERVERS: usize = 2;

/// Slots of each server: more than there are streams, so that none is rejected for lack of a slot.
const SLOTS: u32 = 500;

/// Returns the name of a service and of its route.
pub(crate) fn service(number: usize) -> String {
    format!("versions-{number}")
}

/// A service whose servers, all with the same faults, have two versions.
pub(crate) struct TwoVersions {
    service: String,
    /// Faults of the next requests at any of the servers.
    pub(crate) faults: Arc<Faults>,
    /// Indexes of the servers in [`Fleet::servers`], those of the first version first.
    servers: Range<usize>,
}

impl TwoVersions {
    /// Starts the servers and adds them to `all`; none is listed.
    pub(crate) fn spawn(number: usize, all: &mut Vec<Listed>) -> io::Result<TwoVersions> {
        let (service, faults) = (service(number), Arc::default());
        let servers = all.len()..all.len() + 2 * SERVERS;
        for version in [FIRST, SECOND] {
            for server in 0..SERVERS {
                let id = format!("{service}-{version}-{server}");
                let server = Listed::spawn_sharing(&id, Arc::clone(&faults))?;
                server.set_version(version);
                all.push(server);
            }
        }
        Ok(TwoVersions { service, faults, servers })
    }

    /// Lists the servers of a version.
    pub(crate) fn list(&self, fleet: &Fleet, version: &str) {
        for server in self.of_version(&lock(&fleet.servers), version) {
            let mut entry = server.entry(&self.service, "ready");
            entry["slots"] = SLOTS.into();
            fleet.list(&server.id, entry);
        }
    }

    /// Removes the entries of the servers of a version.
    pub(crate) fn unlist(&self, fleet: &Fleet, version: &str) {
        self.of_version(&lock(&fleet.servers), version).for_each(|server| fleet.unlist(&server.id));
    }

    fn of_version<'s>(&self, all: &'s [Listed], version: &str) -> impl Iterator<Item = &'s Listed> {
        all[self.servers.clone()].iter().filter(move |server| server.version() == version)
    }
}
