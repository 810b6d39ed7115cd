//! Limits that keep one caller from taking the instance from the others.

use crate::{configs::reader::TableReader, units::Size};

/// Limits of an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Limits {
    /// Most connections of callers.
    pub connections: u32,
    /// Most requests in flight.
    pub requests: u32,
    /// Most bytes of one request's head.
    pub head: Size,
    /// Most bytes of one request's body.
    pub body: Size,
    /// Most bytes of request bodies held at once.
    pub buffered: Size,
    /// Most bytes of an answer kept to be repeated under an idempotency key.
    pub stored_answer: Size,
    /// Chats remembered by each home.
    pub remembered_chats: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            // A thread each; their stacks are touched only as deep as they are used.
            connections: 2000,
            requests: 1000,
            head: Size(32 << 10),
            // A family's inventory with letters stays well under this.
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
        for (name, slot) in [
            ("connections", &mut limits.connections),
            ("requests", &mut limits.requests),
            ("remembered_chats", &mut limits.remembered_chats),
        ] {
            if let Some(count) = table.integer(name, 1, 10_000_000) {
                *slot = count as u32;
            }
        }
        for (name, slot) in [
            ("head", &mut limits.head),
            ("body", &mut limits.body),
            ("buffered", &mut limits.buffered),
            ("stored_answer", &mut limits.stored_answer),
        ] {
            if let Some(size) = table.text(name) {
                *slot = size;
            }
        }
        if limits.buffered < limits.body {
            table.add_error(
                "buffered",
                format!("is under body ({}); raise it, or no such body can be taken", limits.body),
            );
        }
        table.finish();
        limits
    }
}
