//! `[platform]`: addresses of the platform's services.

use std::net::SocketAddr;

use crate::configs::reader::TableReader;

/// The platform's table, object store and membership list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub enum Platform {
    /// In the memory of the instance itself, for a fleet of one instance.
    #[default]
    Embedded,
    /// Accessed over HTTP.
    Http {
        /// Address of the transactional table.
        table: SocketAddr,
        /// Address of the object store.
        objects: SocketAddr,
        /// Address of the membership list.
        members: SocketAddr,
    },
}

impl Platform {
    /// Reads `[platform]`: `embedded = true`, or the addresses of the services. Without it the platform is embedded.
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
