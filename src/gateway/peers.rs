//! The exchange between instances: each tells one of them what it has in flight, and is told what
//! the others have and what is new in the store.
//!
//! The one that is told (see `routing::candidates`) reads the store for the others. Every reply
//! carries ages, and an instance whose knowledge grows too old reads the store itself.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    Gateway, intent_reader, roster_reader,
    settings::GatewaySettings,
    spread::{self, OFFER_PATH, Offer, OfferReply},
};
use crate::{
    clock::Clock,
    configs::fleet::chunks::{decode, encode},
    link::{
        caller::Served,
        http1::Conn,
        peer::{self, PeerLinks, PeerService},
        traffic::{Purpose, Traffic},
    },
    names::Tag,
    routing::{
        Aggregate, BudgetSum, Candidates, Confirmed, Count, Crowded, FleetBudget, FleetPosition,
        Helper, InstanceInfo, ListNews, ListVersion, PackedChange, RosterRole, RunId, ServiceLoad,
        Spending, StoreVersion, WatchRole, helper,
    },
    utils::sync::lock,
};

/// Path of the exchange.
const EXCHANGE_PATH: &str = "/exchange";

/// Longest pause in an exchange with another instance: many round trips, and less than the news may age.
const EXCHANGE_TIME: Duration = Duration::from_millis(300);

/// Least pause between two exchanges: several within the time that a stream takes.
const PERIOD_MIN: Duration = Duration::from_millis(250);

/// Time that the instance asked has for each exchange: four hundred a second, a few hundredths of a
/// processor.
const PERIOD_PER_INSTANCE: Duration = Duration::from_micros(2500);

/// Longest pause between two exchanges: with it and the pause between two reads of the servers'
/// list, news are younger than the age at which an instance reads for itself.
const PERIOD_MAX: Duration = Duration::from_millis(900);

/// Age up to which a sum of all counts is told again: a small part of the exchange's pause.
const SUMMARY_AGE: Duration = Duration::from_millis(50);

/// Largest change of the intent passed on unasked, in bytes: a whole fleet's copies of a larger one would
/// fill the link of the one instance that sends them all.
const INTENT_PASSED_ON: usize = 16 << 10;

/// Instances asked when the store cannot be read.
const ASKED: usize = 2;

/// Least pause between two rounds of questions.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// How long a thread waits for the next message before the connection is left to the watch over idle ones: a new
/// connection's first message comes right behind it, and the next one an exchange's period later.
const BUSY: Duration = Duration::from_millis(20);

/// Time after its start from which an instance that knows no other counts as alone, whether it could learn of
/// others or not: what it read at its start is still young then.
const JOIN_MAX: Duration = Duration::from_millis(1500);

/// How long an instance that others turn to goes on to read the store for them.
const READS_FOR_OTHERS: Duration = Duration::from_millis(3000);

/// What an instance wants of the one that it asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Asks {
    /// What it knows, this once.
    Once,
    /// That it collects its counts, and reads the store for it.
    InTurn,
    /// That it reads the store for it, since the store turns it away.
    ToRead,
}

/// What an instance tells.
#[derive(Debug, Serialize, Deserialize)]
pub struct Report {
    /// Who tells.
    pub from: InstanceInfo,
    /// Its requests in flight, by server.
    pub counts: Vec<Count>,
    /// Servers that it finds silent.
    pub silent: Vec<Tag>,
    /// The run of its process.
    pub run: RunId,
    /// Repeats that it has spent.
    pub spending: Vec<Spending>,
    /// Version of the intent that it has in force.
    pub version: u64,
    /// Whether it wants a newer intent however large.
    pub wants_intent: bool,
    /// What the other is to it.
    pub asks: Asks,
    /// Its newest list of servers.
    pub list: Option<ListVersion>,
    /// Hash of the instances that it knows.
    pub instances: u64,
}

/// What it is told. Instances share no clock, so times are told as ages.
#[derive(Debug, Serialize, Deserialize)]
pub struct News {
    /// What all instances have in flight.
    pub loads: Vec<ServiceLoad>,
    /// Servers that several instances find silent.
    pub silent: Vec<Tag>,
    /// Repeats that all instances have spent.
    pub budgets: Vec<BudgetSum>,
    /// Version of the intent that the other has in force.
    pub version: u64,
    /// What has changed in the operator's intent, if that is small or wanted.
    pub changes: Vec<Arc<PackedChange>>,
    /// When the other's version was known to be the newest.
    pub confirmed: Option<ConfirmedAgo>,
    /// What is new in the list of servers.
    pub list: ListNews,
    /// Milliseconds since the list was current.
    pub list_age_ms: Option<u64>,
    /// All instances, if the asker knows others.
    pub instances: Option<Vec<InstanceInfo>>,
}

/// That a version of the intent was the newest in the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConfirmedAgo {
    /// Milliseconds since then.
    pub age_ms: u64,
    /// Version of the store at that moment.
    pub store: StoreVersion,
}

/// Other instances, and what they tell.
pub struct Peers {
    traffic: Traffic,
    links: PeerLinks,
    /// Instances known, in the order in which all turn to them.
    pub(super) candidates: Mutex<Candidates>,
    /// Requests in flight, as the instances told them to this one.
    pub(super) aggregate: Mutex<Aggregate>,
    /// Repeats spent, as the instances told them to this one.
    budget: Mutex<FleetBudget>,
    run: RunId,
    /// Whether the other instances are known.
    joined: AtomicBool,
    started: Instant,
    summary: Mutex<Option<(Instant, Arc<Vec<ServiceLoad>>)>>,
    last_round: Mutex<Option<Instant>>,
    /// The one that reads for this one while the store turns it away.
    helper: Mutex<Helper>,
}

impl Peers {
    /// Returns the peers of an instance that knows none yet.
    pub fn new(settings: &GatewaySettings, clock: &Clock, traffic: &Traffic) -> Peers {
        let own = InstanceInfo {
            node: settings.node.clone(),
            address: settings.addresses.peers,
            zone: settings.zone.clone(),
            cores: settings.cores,
        };
        let run = RunId(fastrand::u64(..));
        Peers {
            budget: Mutex::new(FleetBudget::new(run, settings.bounds.retries.window)),
            run,
            traffic: traffic.clone(),
            links: PeerLinks::new(clock.clone(), None, EXCHANGE_TIME, traffic.clone()),
            candidates: Mutex::new(Candidates::new(own)),
            aggregate: Mutex::default(),
            joined: AtomicBool::new(false),
            started: clock.now(),
            summary: Mutex::default(),
            last_round: Mutex::default(),
            helper: Mutex::default(),
        }
    }

    /// Sets the address at which this instance listens for others.
    pub fn advertise(&self, address: SocketAddr) {
        lock(&self.candidates).set_own_address(address);
    }

    /// Returns how many instances are known, this one included.
    pub fn instances(&self) -> usize {
        lock(&self.candidates).all().len()
    }

    /// Returns which of all known instances this one is.
    pub fn position(&self) -> FleetPosition {
        lock(&self.candidates).position()
    }

    /// Returns whether this instance reads the store at a pace: it has nobody to turn to, or others
    /// turn to it.
    pub fn is_reader(&self, now: Instant) -> bool {
        let alone = self.knows_others(now) && lock(&self.candidates).first(now).is_none();
        alone || self.is_read_from(now)
    }

    /// Notes that the other instances are known, as far as there are any.
    pub fn note_joined(&self) {
        self.joined.store(true, Ordering::Relaxed);
    }

    /// Returns whether an instance that knows nobody has nobody to rely on: one that has just started has not
    /// learnt of the others yet.
    fn knows_others(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.started) >= JOIN_MAX;
        waited || self.joined.load(Ordering::Relaxed)
    }

    /// Returns whether others have turned to this instance lately.
    fn is_read_from(&self, now: Instant) -> bool {
        let own = lock(&self.candidates).own().node.clone();
        let heard = lock(&self.aggregate).last_heard(&own);
        heard.is_some_and(|at| now.saturating_duration_since(at) < READS_FOR_OTHERS)
    }

    /// Returns what this instance is to the others in the watch over the list of servers.
    pub fn roster_role(&self, now: Instant) -> RosterRole {
        RosterRole { reader: self.is_reader(now), position: self.position() }
    }

    /// Returns what this instance is to the others in the watch over the intent.
    pub fn watch_role(&self, now: Instant) -> WatchRole {
        WatchRole {
            reader: self.is_reader(now),
            position: self.position(),
            exchange_period: self.period(),
        }
    }

    /// Offers a change of the intent to another instance.
    ///
    /// # Errors
    ///
    /// Why it did not answer, for logs.
    pub fn offer(&self, to: SocketAddr, offer: &Offer) -> Result<OfferReply, String> {
        let reply = self.links.call(Purpose::Config, to, OFFER_PATH, offer);
        reply.map_err(|fault| fault.to_string())
    }

    fn period(&self) -> Duration {
        let instances = u32::try_from(self.instances()).unwrap_or(u32::MAX);
        PERIOD_PER_INSTANCE.saturating_mul(instances).clamp(PERIOD_MIN, PERIOD_MAX)
    }

    /// Returns up to `count` other addresses, drawn anew each time.
    fn draw(&self, seeds: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
        let candidates = lock(&self.candidates);
        let own = candidates.own().address;
        let known = candidates.all().iter().map(|i| i.address);
        let mut all: Vec<SocketAddr> = known.chain(seeds.iter().copied()).collect();
        all.sort();
        all.dedup();
        all.retain(|&address| address != own);
        fastrand::shuffle(&mut all);
        all.truncate(count);
        all
    }
}

/// Exchanges news until the process ends.
pub fn run(gateway: &Arc<Gateway>) {
    loop {
        exchange(gateway);
        let period = gateway.peers.period();
        thread::sleep(period.mul_f64(0.9 + 0.2 * fastrand::f64()));
    }
}

/// Tells the first instance that answers, and takes what it tells.
fn exchange(gateway: &Gateway) {
    let peers = &gateway.peers;
    for _ in 0..2 {
        let now = gateway.clock.now();
        let first = lock(&peers.candidates).first(now).cloned();
        let Some(first) = first else {
            take_loads(gateway, now, &summary(gateway, now), None);
            let silent = all_silent(gateway, now);
            lock(&gateway.picker).told_silent(now, &silent);
            gateway.set_budget_sums(now, budget_sums(gateway, now));
            return;
        };
        match ask(gateway, first.address, Asks::InTurn) {
            Ok(()) => {
                lock(&peers.candidates).note_heard(&first.node);
                return;
            }
            Err(fault) => {
                log::info!("event=peer_silent peer={} reason={fault:?}", first.node);
                lock(&peers.candidates).note_silent(gateway.clock.now(), &first.node);
            }
        }
    }
}

/// Learns from other instances what the store does not tell.
pub fn catch_up(gateway: &Gateway) {
    let now = gateway.clock.now();
    {
        let mut last = lock(&gateway.peers.last_round);
        if last.is_some_and(|at| now.saturating_duration_since(at) < ROUND_PAUSE) {
            return;
        }
        *last = Some(now);
    }
    if gateway.peers.is_read_from(now) {
        return ask_helper(gateway, now);
    }
    for address in gateway.peers.draw(&gateway.settings.seeds, ASKED) {
        if let Err(fault) = ask(gateway, address, Asks::Once) {
            log::info!("event=peer_silent peer={address} reason={fault:?}");
        }
    }
}

/// Has another instance read the store, for those that turn to this one.
fn ask_helper(gateway: &Gateway, now: Instant) {
    let peers = &gateway.peers;
    for _ in 0..helper::ASKED {
        let helper = lock(&peers.helper).pick(now, &lock(&peers.candidates));
        let Some(helper) = helper else { return };
        let Err(fault) = ask(gateway, helper.address, Asks::ToRead) else { return };
        log::info!("event=no_help peer={} reason={fault:?}", helper.node);
        lock(&peers.helper).failed();
    }
}

/// Asks an instance that the settings name, one after the other, for the others; returns whether one has told.
pub fn ask_seed(gateway: &Gateway) -> bool {
    let own = lock(&gateway.peers.candidates).own().address;
    let seeds = &gateway.settings.seeds;
    if seeds.contains(&own) {
        return false;
    }
    let mut seeds = seeds.clone();
    fastrand::shuffle(&mut seeds);
    seeds.into_iter().any(|seed| ask(gateway, seed, Asks::Once).is_ok())
}

/// Makes one exchange.
fn ask(gateway: &Gateway, address: SocketAddr, asks: Asks) -> Result<(), String> {
    let peers = &gateway.peers;
    let asked = gateway.clock.now();
    let (list, version) = (gateway.knowledge.list_version(), gateway.knowledge.version());
    let (from, instances) = {
        let candidates = lock(&peers.candidates);
        (candidates.own().clone(), candidates.version())
    };
    let (counts, silent) = {
        let picker = lock(&gateway.picker);
        (picker.own_counts(), picker.own_silent(asked))
    };
    let report = Report {
        from,
        counts: counts.clone(),
        silent,
        run: peers.run,
        spending: if asks == Asks::InTurn { gateway.spending(asked) } else { Vec::new() },
        version,
        // An instance that starts takes what it can get, and so does one that asks.
        wants_intent: asks != Asks::InTurn || version == 0,
        asks,
        list,
        instances,
    };
    let mut news: News = peers
        .links
        .call(Purpose::Loads, address, EXCHANGE_PATH, &report)
        .map_err(|e| e.to_string())?;
    let told = gateway.clock.now();
    if asks == Asks::InTurn {
        // Others than the one that all turn to know only a part.
        take_loads(gateway, told, &news.loads, Some(counts));
        lock(&gateway.picker).told_silent(told, &news.silent);
        gateway.set_budget_sums(told, std::mem::take(&mut news.budgets));
    }
    take(gateway, news, list, asked);
    Ok(())
}

/// Takes what all instances have in flight; `told` is what this one had told of its own, where that is
/// not what it has now.
fn take_loads(gateway: &Gateway, now: Instant, loads: &[ServiceLoad], told: Option<Vec<Count>>) {
    let crowded = {
        let mut picker = lock(&gateway.picker);
        let own = told.unwrap_or_else(|| picker.own_counts());
        picker.set_fleet_loads(now, loads, &own)
    };
    for Crowded { server, load, limit } in crowded {
        log::info!("event=server_crowded server={server} load={load:.1} limit={limit:.1}");
    }
}

fn take(gateway: &Gateway, news: News, list: Option<ListVersion>, asked: Instant) {
    intent_reader::take_changes(gateway, &news.changes);
    let then = |age_ms: u64| asked.checked_sub(Duration::from_millis(age_ms));
    if let Some(ConfirmedAgo { age_ms, store }) = news.confirmed
        && let Some(at) = then(age_ms)
    {
        gateway.knowledge.confirm(news.version, Confirmed { at, store });
    }
    gateway.knowledge.told_of(gateway.clock.now(), news.version);
    if let Some(as_of) = news.list_age_ms.and_then(then)
        && let Some(servers) = gateway.knowledge.apply_list_news(list, news.list)
    {
        roster_reader::take(gateway, servers, as_of, "peer");
    }
    if let Some(instances) = news.instances {
        lock(&gateway.peers.candidates).set(instances);
        gateway.instances_changed();
    }
}

/// Answers another instance.
fn answer(gateway: &Gateway, report: Report) -> News {
    let now = gateway.clock.now();
    let knowledge = &gateway.knowledge;
    let millis = |age: Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let asks = report.asks;
    knowledge.told_of(now, report.version);
    let changes = if report.wants_intent {
        knowledge.changes_since(report.version)
    } else {
        knowledge.small_changes_since(report.version, INTENT_PASSED_ON)
    };
    let (instances, is_news) = {
        let mut candidates = lock(&gateway.peers.candidates);
        let before = candidates.version();
        candidates.add(report.from.clone());
        let after = candidates.version();
        ((after != report.instances).then(|| candidates.all().to_vec()), after != before)
    };
    if is_news {
        gateway.instances_changed();
    }
    if report.asks == Asks::InTurn {
        let began = !gateway.peers.is_read_from(now);
        let mut aggregate = lock(&gateway.peers.aggregate);
        aggregate.take(now, report.from.node.clone(), report.counts);
        aggregate.take_silent(now, report.from.node.clone(), report.silent);
        drop(aggregate);
        lock(&gateway.peers.budget).take(now, &report.from.node, report.run, report.spending);
        if began {
            log::info!("event=reads_for_others servers_age_ms={}", age_ms(gateway, now));
            gateway.reader_wanted.set();
        }
    }
    let (list, list_age) = knowledge.list_told(now, report.list);
    News {
        loads: summary(gateway, now).to_vec(),
        silent: all_silent(gateway, now),
        budgets: if asks == Asks::InTurn { budget_sums(gateway, now) } else { Vec::new() },
        version: knowledge.version(),
        changes,
        confirmed: knowledge.with_watch(|watch| watch.confirmed()).map(|confirmed| ConfirmedAgo {
            age_ms: millis(now.saturating_duration_since(confirmed.at)),
            store: confirmed.store,
        }),
        list,
        list_age_ms: list_age.map(millis),
        instances,
    }
}

/// Returns the age of the list of servers, for log lines; -1 where there is none.
fn age_ms(gateway: &Gateway, now: Instant) -> i64 {
    let age = gateway.knowledge.servers_age(now);
    age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
}

/// Returns what all instances have in flight; summed anew only now and then, whoever asks.
fn summary(gateway: &Gateway, now: Instant) -> Arc<Vec<ServiceLoad>> {
    let mut kept = lock(&gateway.peers.summary);
    if let Some((at, loads)) = &*kept
        && now.saturating_duration_since(*at) < SUMMARY_AGE
    {
        return Arc::clone(loads);
    }
    let own_counts = lock(&gateway.picker).own_counts();
    let mut aggregate = lock(&gateway.peers.aggregate);
    aggregate.take(now, gateway.settings.node.clone(), own_counts);
    let loads = gateway.knowledge.with_servers(|roster| {
        Arc::new(aggregate.summary(now, roster.servers().map(|server| &**server)))
    });
    *kept = Some((now, Arc::clone(&loads)));
    loads
}

/// Returns the repeats that all instances have spent, this one among them.
fn budget_sums(gateway: &Gateway, now: Instant) -> Vec<BudgetSum> {
    let own = gateway.spending(now);
    let mut budget = lock(&gateway.peers.budget);
    budget.take(now, &gateway.settings.node, gateway.peers.run, own);
    budget.sums(now)
}

/// Returns the servers that several instances find silent, this one among them.
fn all_silent(gateway: &Gateway, now: Instant) -> Vec<Tag> {
    let own = lock(&gateway.picker).own_silent(now);
    let mut aggregate = lock(&gateway.peers.aggregate);
    aggregate.take_silent(now, gateway.settings.node.clone(), own);
    aggregate.silent()
}

/// Reads the store for an instance that it turns away.
///
/// # Errors
///
/// The status that tells that it turns this one away too.
fn read_for_another(gateway: &Arc<Gateway>) -> Result<(), u16> {
    let servers = roster_reader::read(gateway);
    let intent = servers.and_then(|()| intent_reader::look(gateway));
    intent.map_err(|fault| {
        gateway.store_failed("for_another", &fault);
        503
    })
}

/// Serves a connection of another instance as long as one message closely follows the other.
pub fn serve(gateway: &Arc<Gateway>, conn: Conn) -> Served {
    let service = PeerService {
        accepted: None,
        timeout: EXCHANGE_TIME,
        traffic: &gateway.peers.traffic,
        answer: |path: &str, body: &[u8]| {
            if gateway.drain.is_draining() {
                // The others turn to the next instance before this one is gone.
                return Err(503);
            }
            match path {
                EXCHANGE_PATH => {
                    let report: Report = decode(body).map_err(|_| 400_u16)?;
                    if report.asks == Asks::ToRead {
                        read_for_another(gateway)?;
                    }
                    Ok(encode(&answer(gateway, report)))
                }
                OFFER_PATH => {
                    let offer = decode(body).map_err(|_| 400_u16)?;
                    Ok(encode(&spread::take_offer(gateway, offer)))
                }
                _ => Err(404),
            }
        },
        stream: |_, _| {},
        purpose: |path| if path == OFFER_PATH { Purpose::Config } else { Purpose::Loads },
    };
    peer::serve_while_busy(conn, &service, BUSY)
}
