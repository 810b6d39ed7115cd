//! The state of the cluster as an instance last received it: the operator's intent, operators' orders and the list of
//! backend servers, with their ages.

use std::{
    sync::{Arc, Condvar, Mutex, PoisonError},
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;
use indexmap::IndexSet;

use crate::{
    names::{ServiceName, ZoneName},
    routing::{
        ActiveIntent, BackendServer, Confirmation, Incarnation, Intent, IntentChange,
        IntentChangeError, IntentHistory, IntentWatch, ListHistory, ListVersion, OperatorOrders,
        OrderChange, OrdersSnapshot, PackedChange, Roster, ServerListUpdate, StoreEra,
        StoreVersion, roster::RosterChange,
    },
    utils::sync::lock,
};

/// The part of an exchange reply that concerns the list of backend servers.
#[derive(Debug)]
pub struct ServerListReply {
    /// Update from the version that the requester has.
    pub update: ServerListUpdate,
    /// Time since the list was current.
    pub age: Option<Duration>,
    /// Era of the store that the list was read from.
    pub era: StoreEra,
}

/// What came of applying a list of backend servers.
#[derive(Debug, Default)]
pub struct AppliedList {
    /// Version of the list; `None` if a list that is as new was known.
    pub version: Option<ListVersion>,
    /// What the list changed.
    pub change: RosterChange,
}

/// The newest intent, orders and servers that an instance has received, from the store or from other instances.
pub struct ClusterState {
    current: ArcSwapOption<Intent>,
    active: Mutex<ActiveIntent>,
    roster: Mutex<Roster>,
    /// When the active intent was last confirmed as the newest, and what to read next.
    watch: Mutex<IntentWatch>,
    /// Notified when another instance has reported a newer intent.
    newer_intent: Condvar,
    /// Operators' orders: evacuations and roll-outs, which are separate from the intent.
    orders: Mutex<OperatorOrders>,
    /// Recent changes of the intent, for replies to other instances.
    changes: Mutex<IntentHistory>,
    /// Recent lists of servers, for replies to other instances.
    lists: Mutex<ListHistory>,
    /// Whether an intent and a list of servers have been received.
    complete: Mutex<bool>,
    became_complete: Condvar,
}

impl ClusterState {
    /// Returns an empty state; changes of the intent are to become active within `bound`.
    pub fn new(bound: Duration) -> ClusterState {
        ClusterState {
            current: ArcSwapOption::empty(),
            active: Mutex::default(),
            roster: Mutex::default(),
            watch: Mutex::new(IntentWatch::new(bound)),
            newer_intent: Condvar::new(),
            orders: Mutex::default(),
            changes: Mutex::default(),
            lists: Mutex::default(),
            complete: Mutex::default(),
            became_complete: Condvar::new(),
        }
    }

    /// Waits until an intent and a list of servers have been received, up to `timeout`; returns whether they have.
    pub fn wait_complete(&self, timeout: Duration) -> bool {
        let complete = lock(&self.complete);
        if *complete {
            return true;
        }
        let waited = self.became_complete.wait_timeout_while(complete, timeout, |done| !*done);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Returns whether an intent and a list of servers have been received.
    pub fn is_complete(&self) -> bool {
        *lock(&self.complete)
    }

    fn update_complete(&self) {
        let listed = lock(&self.roster).servers().next().is_some();
        if listed && self.current.load().is_some() {
            *lock(&self.complete) = true;
            self.became_complete.notify_all();
        }
    }

    /// Returns the active intent.
    pub fn intent(&self) -> Option<Arc<Intent>> {
        self.current.load_full()
    }

    /// Returns the version of the active intent; 0 before the first one.
    pub fn version(&self) -> u64 {
        lock(&self.active).version()
    }

    /// Returns the idle timeout of callers' connections.
    pub fn idle_time(&self) -> Duration {
        lock(&self.active).idle_time()
    }

    /// Activates an intent that was the newest in the store; returns whether it is newer than the active one was.
    pub fn offer_intent(&self, intent: Intent, confirmed: Confirmation) -> bool {
        let version = intent.version;
        let old = self.intent();
        let new = self.activate(intent);
        self.confirm(version, confirmed);
        // The new intent already serves callers: computing the change takes tens of milliseconds with thousands of
        // routes.
        if let (Some(old), Some(new)) = (&old, &new) {
            let change = PackedChange::pack(&IntentChange::between(old, new));
            lock(&self.changes).push(Arc::new(change));
        }
        new.is_some()
    }

    /// Applies consecutive changes of the intent and activates the result; returns whether a newer version is active.
    ///
    /// # Errors
    ///
    /// A change cannot be applied. The changes before it have been applied.
    pub fn offer_changes(&self, changes: &[Arc<PackedChange>]) -> Result<bool, IntentChangeError> {
        let mut intent = self.intent().unwrap_or_else(|| Arc::new(Intent::empty()));
        let before = intent.version;
        let mut result = Ok(());
        let mut used = Vec::new();
        for change in changes.iter().filter(|change| change.to > before) {
            match change.unpack().and_then(|unpacked| unpacked.apply(&intent)) {
                Ok(later) => {
                    intent = Arc::new(later);
                    used.push(change);
                }
                Err(fault) => {
                    result = Err(fault);
                    break;
                }
            }
        }
        let newer = !used.is_empty() && self.activate(intent).is_some();
        if newer {
            let mut history = lock(&self.changes);
            used.into_iter().for_each(|change| history.push(Arc::clone(change)));
        }
        result.map(|()| newer)
    }

    /// Activates an intent, unless the active one is as new; returns it if it was activated.
    fn activate(&self, intent: impl Into<Arc<Intent>>) -> Option<Arc<Intent>> {
        let intent = intent.into();
        {
            let mut active = lock(&self.active);
            if !active.offer(Arc::clone(&intent)) {
                return None;
            }
            self.current.store(Some(Arc::clone(&intent)));
            lock(&self.watch).set_active(intent.version);
        }
        self.update_complete();
        Some(intent)
    }

    /// Notes that `version` was confirmed as the newest. Ignored if the active intent is older than `version`: it would
    /// count as up to date, and requests that the newer intent allows would be denied.
    pub fn confirm(&self, version: u64, confirmed: Confirmation) {
        if version <= self.version() {
            lock(&self.watch).confirm(confirmed);
        }
    }

    /// Notes that `version` of the intent exists, and wakes the reader of the intent if it is newer than the active
    /// one.
    pub fn note_version(&self, now: Instant, version: u64) {
        if lock(&self.watch).note_version(now, version) {
            self.newer_intent.notify_all();
        }
    }

    /// Runs `f` with the watch over the intent.
    pub fn with_watch<T>(&self, f: impl FnOnce(&mut IntentWatch) -> T) -> T {
        f(&mut lock(&self.watch))
    }

    /// Waits until another instance has reported a newer intent, up to `timeout`.
    pub fn wait_for_newer(&self, timeout: Duration) {
        let watch = lock(&self.watch);
        // The result is not needed: the watch decides the next step, whatever ended the wait.
        drop(self.newer_intent.wait_timeout_while(watch, timeout, |watch| !watch.is_outdated()));
    }

    /// Returns the time since the active intent was last confirmed as the newest.
    pub fn intent_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.watch).age(now)
    }

    /// Takes a snapshot of operators' orders that was read or received; returns whether it is newer than the last.
    pub fn offer_orders(&self, now: Instant, snapshot: OrdersSnapshot) -> bool {
        lock(&self.orders).take(now, snapshot)
    }

    /// Applies changes of operators' orders up to the store's version `as_of`; returns whether they were taken over.
    pub fn apply_order_changes(
        &self,
        now: Instant,
        as_of: StoreVersion,
        changes: impl IntoIterator<Item = OrderChange>,
    ) -> bool {
        lock(&self.orders).apply_changes(now, as_of, changes)
    }

    /// Returns the evacuated zones, which receive no new requests.
    pub fn evacuated_zones(&self, now: Instant) -> IndexSet<ZoneName> {
        lock(&self.orders).active(now).zones
    }

    /// Runs `apply` with the active orders, under the lock: no other thread can apply older ones at the same time.
    pub fn apply_orders<T>(&self, now: Instant, apply: impl FnOnce(OrdersSnapshot) -> T) -> T {
        let orders = lock(&self.orders);
        apply(orders.active(now))
    }

    /// Returns the newest snapshot of operators' orders, for other instances.
    pub fn orders(&self) -> OrdersSnapshot {
        lock(&self.orders).newest().clone()
    }

    /// Applies a list of backend servers that was current at `as_of`, in `era` of the store, if it is newer than the
    /// last.
    pub fn apply_server_list(
        &self,
        now: Instant,
        as_of: Instant,
        era: StoreEra,
        list: Vec<BackendServer>,
    ) -> AppliedList {
        let mut roster = lock(&self.roster);
        let is_newer = roster.as_of().is_none_or(|known| known < as_of);
        if !is_newer || !roster.note_era(now, era) {
            return AppliedList::default();
        }
        let change = roster.apply_list(now, as_of, list);
        // Other instances receive what was read: each decides itself whether missing servers may be alive.
        let listed = roster.listed().map(|server| (**server).clone()).collect();
        let version = Some(lock(&self.lists).push(listed));
        drop(roster);
        self.update_complete();
        AppliedList { version, change }
    }

    /// Notes that the list of `version` was current at `as_of`, in `era` of the store, without comparing its servers.
    /// Returns whether that suffices, which it does only if `version` is the newest list.
    pub fn confirm_list(
        &self,
        now: Instant,
        version: Option<ListVersion>,
        as_of: Instant,
        era: StoreEra,
    ) -> bool {
        let mut roster = lock(&self.roster);
        let newest = lock(&self.lists).newest().map(|(newest, _)| *newest);
        newest.is_some() && newest == version && roster.confirm(now, as_of, era)
    }

    /// Runs `f` with the list of servers, to note what is known of the store.
    pub fn with_roster_mut<T>(&self, f: impl FnOnce(&mut Roster) -> T) -> T {
        f(&mut lock(&self.roster))
    }

    /// Marks servers whose entries in the store have been overwritten by ones that cannot be parsed.
    pub fn mark_overwritten<'k>(&self, keys: impl Iterator<Item = &'k str>) {
        let mut roster = lock(&self.roster);
        keys.for_each(|key| roster.mark_overwritten(key));
    }

    /// Runs `f` with the current list of servers.
    pub fn with_servers<T>(&self, f: impl FnOnce(&Roster) -> T) -> T {
        f(&lock(&self.roster))
    }

    /// Treats the servers of a zone as cold for the time that `duration` returns for their service.
    pub fn assume_cold(
        &self,
        now: Instant,
        zone: &ZoneName,
        duration: impl Fn(&ServiceName) -> Option<Duration>,
    ) {
        lock(&self.roster).assume_cold(now, zone, duration);
    }

    /// Removes a server whose address now belongs to another one.
    pub fn remove_server(&self, id: &Incarnation) {
        lock(&self.roster).remove(id);
    }

    /// Returns the age of the list of servers.
    pub fn servers_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.roster).as_of().map(|at| now.saturating_duration_since(at))
    }

    /// Returns the changes that lead from `version` to the active intent; none if `version` is active.
    pub fn changes_since(&self, version: u64) -> Vec<Arc<PackedChange>> {
        let Some(newest) = self.intent() else { return Vec::new() };
        lock(&self.changes).since(version, &newest)
    }

    /// Returns the changes since `version`, or none if the history does not reach back that far or they exceed
    /// `max_bytes`.
    pub fn small_changes_since(&self, version: u64, max_bytes: usize) -> Vec<Arc<PackedChange>> {
        let Some(newest) = self.intent() else { return Vec::new() };
        let mut changes = lock(&self.changes).kept_since(version, &newest);
        if changes.iter().map(|change| change.len()).sum::<usize>() > max_bytes {
            changes.clear();
        }
        changes
    }

    /// Returns the last change of the intent.
    pub fn last_change(&self) -> Option<Arc<PackedChange>> {
        lock(&self.changes).last().cloned()
    }

    /// Returns the version of the newest list of servers.
    pub fn list_version(&self) -> Option<ListVersion> {
        lock(&self.lists).newest().map(|(version, _)| *version)
    }

    /// Returns the update of the list since `version`, and the age of the list.
    ///
    /// Both are taken under one lock: a list from just before a read with the age from just after it would count as
    /// current, and the receiver would reject the next update.
    pub fn server_list_reply(&self, now: Instant, version: Option<ListVersion>) -> ServerListReply {
        let roster = lock(&self.roster);
        let update = lock(&self.lists).since(version);
        let age = roster.as_of().map(|at| now.saturating_duration_since(at));
        ServerListReply { update, age, era: roster.era() }
    }

    /// Returns the result of applying `update`, which starts from `version`, to the newest list.
    pub fn apply_list_update(
        &self,
        version: Option<ListVersion>,
        update: ServerListUpdate,
    ) -> Option<Vec<BackendServer>> {
        let lists = lock(&self.lists);
        let list = match lists.newest() {
            Some((known, list)) if Some(*known) == version => update.apply(list),
            // The newest list is no longer the one that the update starts from; a whole list needs none.
            _ if matches!(update, ServerListUpdate::Whole(_)) => update.apply(&[]),
            _ => return None,
        };
        list.inspect_err(|fault| log::info!("event=list_skipped source=peer reason={fault}")).ok()
    }
}
