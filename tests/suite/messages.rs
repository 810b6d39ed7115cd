//! The bytes of messages between instances, as this build writes them.
//!
//! Instances of two builds are there during an upgrade; one that does not understand the other's messages reads the store for
//! itself. Whoever changes a message sees it here, keeps the bytes of before among those that are still read, and says so in the
//! changelog.

use std::{fmt::Write as _, sync::Arc, time::Duration};

use cartvane::{
    configs::fleet::chunks::{decode, encode},
    gateway::{
        cold_permits::{PermitAsk, PermitReply},
        intent_relay::{Offer, OfferReply},
        messages::{ConfirmedAgo, ExchangePurpose, ExchangeReply, ExchangeReport},
    },
    names::Tag,
    routing::{
        BudgetSum, InstanceInfo, InstanceListUpdate, Intent, IntentChange, ListHistory,
        ListVersion, OrdersSnapshot, PackedChange, RetrySpending, RolloutOrder, RunId,
        ServerListUpdate, ServiceLoad, StoreEra, StoreVersion,
    },
};
use indexmap::IndexSet;
use serde::{Serialize, de::DeserializeOwned};

use crate::routing::server;

fn store() -> StoreVersion {
    StoreVersion { era: StoreEra(2), counter: 412 }
}

fn orders() -> OrdersSnapshot {
    let rollout =
        RolloutOrder { to: "v2".parse().expect("a version"), time_limit: Duration::from_secs(12) };
    OrdersSnapshot {
        as_of: store(),
        zones: ["north".parse().expect("a zone")].into(),
        rollouts: [("llm".parse().expect("a name"), rollout)].into(),
        unparsed: ["app".parse().expect("a name")].into(),
    }
}

fn instance() -> InstanceInfo {
    InstanceInfo {
        node: "edge-1".parse().expect("a name"),
        address: ([10, 0, 0, 1], 8229).into(),
        zone: "north".parse().expect("a zone"),
        cores: 0.5,
    }
}

fn report() -> ExchangeReport {
    ExchangeReport {
        from: instance(),
        counts: vec![(Tag(7), 3)],
        unresponsive: vec![Tag(9)],
        run: RunId(5),
        spending: Vec::<RetrySpending>::new(),
        rollouts: Vec::new(),
        rollout_states: Vec::new(),
        crash_suspects: Default::default(),
        intent_version: 12,
        wants_intent: false,
        purpose: ExchangePurpose::Aggregate,
        list_version: Some(ListVersion(77)),
        instances_hash: 8,
    }
}

fn news(list: ServerListUpdate) -> ExchangeReply {
    let service = "llm".parse().expect("a name");
    ExchangeReply {
        loads: vec![ServiceLoad {
            service,
            mean: 2.5,
            counts: vec![(Tag(7), 4)],
            is_complete: true,
        }],
        unresponsive: vec![Tag(9)],
        budgets: Vec::<BudgetSum>::new(),
        run: RunId(6),
        crash_alert: false,
        verdicts: Vec::new(),
        intent_version: 12,
        changes: Vec::new(),
        confirmed: Some(ConfirmedAgo { age_ms: 40, store: store() }),
        orders: orders(),
        rollout_states: Vec::new(),
        list,
        list_age_ms: Some(250),
        list_era: StoreEra(2),
        instances: Some(InstanceListUpdate::Whole(vec![instance()])),
    }
}

fn lists() -> ListHistory {
    let mut cold = server("b@1000", 2);
    cold.cold_for = Duration::from_millis(2500);
    let mut lists = ListHistory::default();
    lists.push(vec![server("a", 1)]);
    lists.push(vec![server("a", 1), cold]);
    lists
}

fn hex(message: &impl Serialize) -> String {
    encode(message).iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Returns whether a message is read as it was written.
fn comes_back<T: Serialize + DeserializeOwned>(message: &T) -> bool {
    let bytes = encode(message);
    decode::<T>(&bytes).is_ok_and(|read| encode(&read) == bytes)
}

#[test]
fn messages_have_the_bytes_that_this_build_has_always_written() {
    let first = ListVersion::of(&[server("a", 1)]);
    let changes = news(lists().since(Some(first)));
    let whole = news(lists().since(None));
    let offer = Offer {
        version: 12,
        orders: orders(),
        changes: vec![Arc::new(PackedChange::pack(&IntentChange::whole(&Intent::empty())))],
        relay_to: vec![([10, 0, 0, 2], 8229).into()],
    };
    let ask = PermitAsk { server: Tag(7), service: "llm".parse().expect("a name") };
    assert!(comes_back(&report()) && comes_back(&changes) && comes_back(&whole));
    assert!(comes_back(&offer) && comes_back(&OfferReply { version: 12 }));
    assert!(comes_back(&ask) && comes_back(&PermitReply { granted: true }));
    // Compressed bytes may differ with the library, and are left out.
    let lines = [
        ("report", hex(&report())),
        ("news, changes of the list", hex(&changes)),
        ("permit", hex(&ask)),
        ("permit reply", hex(&PermitReply { granted: true })),
        ("offer reply", hex(&OfferReply { version: 12 })),
        ("orders", hex(&orders())),
    ];
    let text = lines.map(|(name, bytes)| format!("{name}: {bytes}")).join("\n");
    insta::assert_snapshot!(text);
}

/// Messages as builds before wrote them.
const KEPT: [(&str, &str); 4] = [
    (
        "report",
        "9d94a6656467652d3181a2563492940a000001cd2025a56e6f727468ca3f00000091920703910905909090939090900cc2a6496e5475726e4d08",
    ),
    (
        "news",
        "9f9194a36c6c6dca4020000091920704c391099006c2900c9092289202cd019c939202cd019c91a56e6f72746881a36c6c6d92a27632920c009081a74368616e67657392919892a162cd03e8a36c6c6d81a2563492940a00000102a56e6f727468c2c0c09202ce1dcd650090ccfa0281a557686f6c659194a6656467652d3181a2563492940a000001cd2025a56e6f727468ca3f000000",
    ),
    ("permit", "9207a36c6c6d"),
    ("orders", "939202cd019c91a56e6f72746881a36c6c6d92a27632920c00"),
];

fn bytes_of(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal");
    (0..hex.len()).step_by(2).map(byte).collect()
}

#[test]
fn what_builds_before_have_written_is_understood() {
    let [report_bytes, news_bytes, permit, orders_bytes] = KEPT.map(|(_, hex)| bytes_of(hex));
    let same = |read: Vec<u8>, now: Vec<u8>| assert_eq!(read, now);
    same(encode(&decode::<ExchangeReport>(&report_bytes).expect("a report")), encode(&report()));
    let without = OrdersSnapshot { unparsed: IndexSet::new(), ..orders() };
    let read = decode::<ExchangeReply>(&news_bytes).expect("news");
    assert_eq!((read.intent_version, &read.orders), (12, &without));
    assert!(decode::<PermitAsk>(&permit).is_ok_and(|ask| ask.server == Tag(7)));
    assert_eq!(decode::<OrdersSnapshot>(&orders_bytes).expect("orders"), without);
}
