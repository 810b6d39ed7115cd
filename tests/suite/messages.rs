//! The encoding of messages between instances.
//!
//! During an upgrade instances of two builds run side by side. An instance that cannot decode the messages of the other
//! build reads the store itself. A change of a message fails here: add its earlier bytes to those that must still be
//! decoded, and mention the change in the changelog.

use std::{fmt::Write as _, sync::Arc, time::Duration};

use cartvane::{
    configs::fleet::chunks::{decode, encode},
    gateway::{
        cold_permits::{PermitReply, PermitRequest},
        crash_suspects::CrashSuspectsReport,
        intent_relay::{Offer, OfferReply},
        messages::{ConfirmedAgo, ExchangePurpose, ExchangeReply, ExchangeReport},
    },
    names::Tag,
    routing::{
        BudgetSum, InstanceInfo, InstanceListUpdate, Intent, IntentChange, ListHistory,
        ListVersion, OrdersSnapshot, PackedChange, PromptCount, PromptTag, RetrySpending,
        RolloutOrder, RunId, ServerListUpdate, ServiceDemand, ServiceLimits, ServiceLoad, StoreEra,
        StoreVersion,
        admission::{CentiRate, PerMille, TeamRate},
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
        team_demands: Vec::new(),
        prompts: Vec::new(),
    }
}

fn reply(list: ServerListUpdate) -> ExchangeReply {
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
        team_limits: None,
        popular_prompts: Vec::new(),
    }
}

/// Returns the demand of the same `teams` teams at two services.
fn team_demands(teams: u32) -> Vec<ServiceDemand> {
    let rate = |number: u32| TeamRate {
        team: Tag(u32::MAX - number),
        demand: CentiRate::of(2.0 + f64::from(number)),
        attempts: CentiRate::of(2.5 + f64::from(number)),
    };
    let demand = |service: &str| ServiceDemand {
        service: service.parse().expect("a name"),
        demand: CentiRate::of(40.0),
        attempts: CentiRate::of(44.0),
        slot_time_us: 61_000,
        teams: (0..teams).map(rate).collect(),
    };
    ["llm", "app"].map(demand).into()
}

/// Returns limits of the same `teams` teams at two services.
fn team_limits(teams: u32) -> Option<Vec<ServiceLimits>> {
    let limit =
        |number: u32| (Tag(u32::MAX - number), PerMille::of(0.3 + f64::from(number) / 100.0));
    let limits = |service: &str| ServiceLimits {
        service: service.parse().expect("a name"),
        level: CentiRate::of(20.5),
        teams: (0..teams).map(limit).collect(),
    };
    Some(["llm", "app"].map(limits).into())
}

fn popular_prompts(prompts: u32) -> Vec<PromptCount> {
    (0..prompts).map(|number| (PromptTag(u32::MAX - number), 12 + number)).collect()
}

// Guards against prompts that take up the control traffic of an instance, a few KB a second.
#[test]
fn popular_prompts_add_few_bytes_to_an_exchange() {
    let with_prompts =
        ExchangeReply { popular_prompts: popular_prompts(64), ..reply(lists().since(None)) };
    let added = encode(&with_prompts).len() - encode(&reply(lists().since(None))).len();
    assert!(added <= 500, "{added} bytes");
}

// Guards against fields that take up the control traffic of the median instance, 12 KB a second.
#[test]
fn shares_of_teams_add_few_bytes_to_an_exchange() {
    let with_demands = ExchangeReport { team_demands: team_demands(8), ..report() };
    let with_limits = ExchangeReply { team_limits: team_limits(8), ..reply(lists().since(None)) };
    let added_to_report = encode(&with_demands).len() - encode(&report()).len();
    let added_to_reply = encode(&with_limits).len() - encode(&reply(lists().since(None))).len();
    println!("a report gains {added_to_report} bytes, a reply {added_to_reply}");
    assert!(added_to_report <= 256 && added_to_reply <= 256);
    assert!(survives_round_trip(&with_demands) && survives_round_trip(&with_limits));
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

/// Returns whether a decoded message is encoded to the same bytes again.
fn survives_round_trip<T: Serialize + DeserializeOwned>(message: &T) -> bool {
    let bytes = encode(message);
    decode::<T>(&bytes).is_ok_and(|read| encode(&read) == bytes)
}

// Guards against a change of a message that instances of two builds cannot exchange.
#[test]
fn message_bytes_are_stable() {
    let first = ListVersion::of(&[server("a", 1)]);
    let changes = reply(lists().since(Some(first)));
    let whole = reply(lists().since(None));
    let offer = Offer {
        version: 12,
        orders: orders(),
        changes: vec![Arc::new(PackedChange::pack(&IntentChange::whole(&Intent::empty())))],
        relay_to: vec![([10, 0, 0, 2], 8229).into()],
    };
    let request = PermitRequest { server: Tag(7), service: "llm".parse().expect("a name") };
    assert!(
        survives_round_trip(&report())
            && survives_round_trip(&changes)
            && survives_round_trip(&whole)
    );
    assert!(survives_round_trip(&offer) && survives_round_trip(&OfferReply { version: 12 }));
    assert!(survives_round_trip(&request) && survives_round_trip(&PermitReply { granted: true }));
    // Compressed bytes are left out, since they depend on the version of the compression library.
    let lines = [
        ("report", hex(&report())),
        ("reply with changes of the list", hex(&changes)),
        ("permit", hex(&request)),
        ("permit reply", hex(&PermitReply { granted: true })),
        ("offer reply", hex(&OfferReply { version: 12 })),
        ("orders", hex(&orders())),
        ("demand of teams", hex(&team_demands(1))),
        ("limits of teams", hex(&team_limits(1))),
        ("popular prompts", hex(&popular_prompts(1))),
    ];
    let text = lines.map(|(name, bytes)| format!("{name}: {bytes}")).join("\n");
    insta::assert_snapshot!(text);
}

/// Messages as written by earlier builds.
const EARLIER_BUILDS: [(&str, &str); 8] = [
    (
        "report",
        "9d94a6656467652d3181a2563492940a000001cd2025a56e6f727468ca3f00000091920703910905909090939090900cc2a6496e5475726e4d08",
    ),
    (
        "reply",
        "9f9194a36c6c6dca4020000091920704c391099006c2900c9092289202cd019c939202cd019c91a56e6f72746881a36c6c6d92a27632920c009081a74368616e67657392919892a162cd03e8a36c6c6d81a2563492940a00000102a56e6f727468c2c0c09202ce1dcd650090ccfa0281a557686f6c659194a6656467652d3181a2563492940a000001cd2025a56e6f727468ca3f000000",
    ),
    (
        "reply without limits of teams",
        "9f9194a36c6c6dca4020000091920704c391099006c2900c9092289202cd019c949202cd019c91a56e6f72746881a36c6c6d92a27632920c0091a36170709081a74368616e67657392919892a162cd03e8a36c6c6d81a2563492940a00000102a56e6f727468c2c0c09202ce1dcd650090ccfa0281a557686f6c659194a6656467652d3181a2563492940a000001cd2025a56e6f727468ca3f000000",
    ),
    (
        "report without prompt parts",
        "9e94a6656467652d3181a2563492940a000001cd2025a56e6f727468ca3f00000091920703910905909090939090900cc2a6496e5475726e4d0890",
    ),
    (
        "report without prompts",
        "9e94a6656467652d3181a2563492940a000001cd2025a56e6f727468ca3f00000091920703910905909090949090909290900cc2a6496e5475726e4d0890",
    ),
    // A crash with one request in flight, and a verdict on it.
    ("crash without prompt parts", "93919407a36c6c6d0591930102c29091940201a448656c6408"),
    ("permit", "9207a36c6c6d"),
    ("orders", "939202cd019c91a56e6f72746881a36c6c6d92a27632920c00"),
];

fn bytes_of(hex: &str) -> Vec<u8> {
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("hexadecimal digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

// Guards against messages of earlier builds that are no longer decoded.
#[test]
fn messages_of_earlier_builds_are_decoded() {
    let [
        report_bytes,
        reply_bytes,
        without_teams,
        without_parts,
        without_prompts,
        crash,
        permit,
        orders_bytes,
    ] = EARLIER_BUILDS.map(|(_, hex)| bytes_of(hex));
    let same = |read: Vec<u8>, now: Vec<u8>| assert_eq!(read, now);
    same(encode(&decode::<ExchangeReport>(&report_bytes).expect("a report")), encode(&report()));
    let read = decode::<ExchangeReport>(&without_prompts).expect("a report");
    same(encode(&read), encode(&report()));
    same(encode(&decode::<ExchangeReport>(&without_parts).expect("a report")), encode(&report()));
    let suspects: CrashSuspectsReport = decode(&crash).expect("a report of crashes");
    assert_eq!((suspects.crashes[0].in_flight[0].parts.len(), suspects.verdicts.len()), (0, 1));
    let orders_before = OrdersSnapshot { unparsed: IndexSet::new(), ..orders() };
    let decoded = decode::<ExchangeReply>(&reply_bytes).expect("a reply");
    assert_eq!((decoded.intent_version, &decoded.orders), (12, &orders_before));
    let decoded = decode::<ExchangeReply>(&without_teams).expect("a reply");
    assert_eq!((decoded.intent_version, decoded.team_limits), (12, None));
    assert!(decode::<PermitRequest>(&permit).is_ok_and(|request| request.server == Tag(7)));
    assert_eq!(decode::<OrdersSnapshot>(&orders_bytes).expect("orders"), orders_before);
}
