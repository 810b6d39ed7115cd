//! `[limits]`: limits that prevent one caller from exhausting an instance's resources.

use crate::{configs::reader::TableReader, units::Size};

/// Limits of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of callers' connections.
    pub connections: u32,
    /// Maximum number of requests in flight.
    pub requests: u32,
    /// Maximum size of a request's head.
    pub head: Size,
    /// Maximum size of a request's body.
    pub body: Size,
    /// Maximum total size of the request bodies in memory.
    pub buffered: Size,
    /// Maximum size of a response that is stored for retries with its idempotency key.
    pub stored_answer: Size,
    /// Maximum number of chats that each home remembers.
    pub remembered_chats: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            // Each active connection has a thread, whose stack takes memory only for the pages that are used.
            connections: 2000,
            requests: 1000,
            head: Size(32 << 10),
            // Well above the largest body expected from callers, an inventory with letters attached.
            body: Size(4 << 20),
            buffered: Size(64 << 20),
            stored_answer: Size(256 << 10),
            remembered_chats: 100_000,
        }
    }
}

impl Limits {
    /// Reads `[limits]`.
    pub fn read(root: &TableReader<'_, '_>) -> Limits {
        let mut limits = Limits::default();
        let Some(table) = root.table("limits") else { return limits };
        for (name, field) in [
            ("connections", &mut limits.connections),
            ("requests", &mut limits.requests),
            ("remembered_chats", &mut limits.remembered_chats),
        ] {
            if let Some(count) = table.integer(name, 1, 10_000_000) {
                *field = count as u32;
            }
        }
        for (name, field) in [
            ("head", &mut limits.head),
            ("body", &mut limits.body),
            ("buffered", &mut limits.buffered),
            ("stored_answer", &mut limits.stored_answer),
        ] {
            if let Some(size) = table.text(name) {
                *field = size;
            }
        }
        if limits.buffered < limits.body {
            table.add_error(
                "buffered",
                format!(
                    "is less than body ({}); raise it, as no body of that size can be accepted",
                    limits.body
                ),
            );
        }
        table.finish();
        limits
    }
}
