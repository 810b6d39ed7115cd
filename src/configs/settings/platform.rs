//! Where the platform's services are.

use std::net::SocketAddr;

use crate::configs::reader::TableReader;

/// The platform's table, object store and membership list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Platform {
    /// Kept in the memory of this one instance; for a lone instance.
    #[default]
    Embedded,
    /// Reached over HTTP.
    Http {
        /// The transactional table.
        table: SocketAddr,
        /// The object store.
        objects: SocketAddr,
        /// The membership list.
        members: SocketAddr,
    },
}

impl Platform {
    /// Reads `platform`: the text `embedded` or a table of addresses.
    pub fn read(root: &TableReader<'_, '_>) -> Platform {
        let Some(table) = root.table("platform") else { return Platform::Embedded };
        if table.flag("embedded") == Some(true) {
            table.finish();
            return Platform::Embedded;
        }
        let table_address = table.required_address("table");
        let objects = table.required_address("objects");
        let members = table.required_address("members");
        table.finish();
        match (table_address, objects, members) {
            (Some(table), Some(objects), Some(members)) => {
                Platform::Http { table, objects, members }
            }
            _ => Platform::Embedded,
        }
    }
}
