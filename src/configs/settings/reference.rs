//! Reference of all settings; docs/SETTINGS.md contains it as a table.

use super::{Limits, Timeouts};

/// A setting in the reference.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingRow {
    /// Dotted key.
    pub key: &'static str,
    /// Default as written in a settings file; `needed` if the setting has none.
    pub default: String,
    /// Meaning of the setting.
    pub meaning: &'static str,
}

fn row(key: &'static str, default: impl ToString, meaning: &'static str) -> SettingRow {
    SettingRow { key, default: default.to_string(), meaning }
}

/// Returns all settings with their defaults and meanings.
pub fn rows() -> Vec<SettingRow> {
    let timeouts = Timeouts::default();
    let limits = Limits::default();
    vec![
        row("id", "needed", "name of the instance, unique in the fleet"),
        row("region", "needed", "region it runs in"),
        row("zone", "needed", "availability zone it runs in"),
        row("listen.callers", "needed", "address and port for callers"),
        row("listen.peers", "needed", "address and port for other instances"),
        row(
            "listen.operators",
            "needed",
            "address and port for operators, `/healthz`, `/readyz`, `/metrics`",
        ),
        row("listen.advertised", "listen.peers", "where other instances reach `listen.peers`"),
        row(
            "listen.seeds",
            "none",
            "peers' addresses of some other instances, asked while the membership list is out",
        ),
        row(
            "platform.embedded",
            "true without `[platform]`",
            "keep the platform's data in memory; for a lone instance",
        ),
        row("platform.table", "needed unless embedded", "address of the transactional table"),
        row("platform.objects", "needed unless embedded", "address of the object store"),
        row("platform.members", "needed unless embedded", "address of the membership list"),
        row(
            "credentials.peers",
            "needed",
            "credentials among instances, `env:NAME` or `file:PATH`; the first is shown, all are accepted",
        ),
        row("credentials.operators", "needed", "credentials of operators who may apply"),
        row("credentials.readers", "none", "credentials of operators who may only read"),
        row("credentials.platform", "none", "credential shown to the platform"),
        row(
            "credentials.placement",
            "the first of `credentials.peers`",
            "key of the placement hints given to callers",
        ),
        row("timeouts.head", timeouts.head, "most time for a caller to send a request's head"),
        row("timeouts.body", timeouts.body, "most time for a caller to send a request's body"),
        row("timeouts.idle", timeouts.idle, "most time a kept-alive connection stays idle"),
        row(
            "timeouts.slow_reader",
            timeouts.slow_reader,
            "most time a caller takes no byte of its answer",
        ),
        row(
            "timeouts.connect",
            timeouts.connect,
            "most time to connect to a backend server or instance",
        ),
        row(
            "timeouts.stall",
            timeouts.stall,
            "most time between two bytes of a backend server's answer",
        ),
        row("timeouts.peer", timeouts.peer, "most time for an exchange between instances"),
        row("timeouts.platform", timeouts.platform, "most time for an exchange with the platform"),
        row(
            "timeouts.heartbeat",
            timeouts.heartbeat,
            "period of the heartbeat to one other instance",
        ),
        row(
            "timeouts.revision_poll",
            timeouts.revision_poll,
            "mean period of the poll for a new revision",
        ),
        row(
            "timeouts.members_poll",
            timeouts.members_poll,
            "mean period of the poll of the membership list",
        ),
        row("timeouts.drain", timeouts.drain, "longest time that a drain lets requests finish"),
        row(
            "timeouts.drain_grace",
            timeouts.drain_grace,
            "time from the start of a drain in which new connections are answered",
        ),
        row("timeouts.claim", timeouts.claim, "life of the claim of an idempotency key"),
        row("limits.connections", limits.connections, "most connections of callers"),
        row("limits.requests", limits.requests, "most requests in flight"),
        row("limits.head", limits.head, "most bytes of a request's head"),
        row("limits.body", limits.body, "most bytes of a request's body"),
        row("limits.buffered", limits.buffered, "most bytes of request bodies held at once"),
        row(
            "limits.stored_answer",
            limits.stored_answer,
            "most bytes of an answer kept for repeats of an idempotency key",
        ),
        row("limits.remembered_chats", limits.remembered_chats, "chats remembered by each home"),
        row("logging.level", "info", "`off`, `error`, `warn`, `info`, `debug` or `trace`"),
        row("logging.format", "text", "`text`, or `json` for one object a line"),
    ]
}

/// Returns the reference as a Markdown table.
pub fn markdown() -> String {
    let mut page = String::from("| setting | default | meaning |\n| --- | --- | --- |\n");
    for SettingRow { key, default, meaning } in rows() {
        page.push_str(&format!("| `{key}` | {default} | {meaning} |\n"));
    }
    page
}
