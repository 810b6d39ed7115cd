//! What an instance believes of the operator's intent and of the backend servers, and how old that
//! is.

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

/// A list of backend servers as another instance is told of it.
#[derive(Debug)]
pub struct ToldList {
    /// What is new in it.
    pub news: ServerListUpdate,
    /// How long ago it was current.
    pub age: Option<Duration>,
    /// Era of the store that it is from.
    pub era: StoreEra,
}

/// An instance's beliefs.
pub struct Knowledge {
    current: ArcSwapOption<Intent>,
    in_force: Mutex<ActiveIntent>,
    roster: Mutex<Roster>,
    /// How sure it is that the intent in force is the newest.
    watch: Mutex<IntentWatch>,
    /// Is told when the watch has something new to do.
    watch_told: Condvar,
    /// What operators order beside the intent.
    orders: Mutex<OperatorOrders>,
    /// Changes of the intent, for other instances.
    changes: Mutex<IntentHistory>,
    /// Lists of servers, for other instances.
    lists: Mutex<ListHistory>,
    /// Whether there is an intent and a list of servers.
    complete: Mutex<bool>,
    became_complete: Condvar,
}

impl Knowledge {
    /// Returns the beliefs of an instance that knows nothing; changes of the intent are to be in force
    /// within `bound`.
    pub fn new(bound: Duration) -> Knowledge {
        Knowledge {
            current: ArcSwapOption::empty(),
            in_force: Mutex::default(),
            roster: Mutex::default(),
            watch: Mutex::new(IntentWatch::new(bound)),
            watch_told: Condvar::new(),
            orders: Mutex::default(),
            changes: Mutex::default(),
            lists: Mutex::default(),
            complete: Mutex::default(),
            became_complete: Condvar::new(),
        }
    }

    /// Returns whether there is an intent and a list of servers; waits up to `patience` for that.
    pub fn wait_complete(&self, patience: Duration) -> bool {
        let complete = lock(&self.complete);
        if *complete {
            return true;
        }
        let waited = self.became_complete.wait_timeout_while(complete, patience, |done| !*done);
        *waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Returns whether there is an intent and a list of servers.
    pub fn is_complete(&self) -> bool {
        *lock(&self.complete)
    }

    fn note_progress(&self) {
        let listed = lock(&self.roster).servers().next().is_some();
        if listed && self.current.load().is_some() {
            *lock(&self.complete) = true;
            self.became_complete.notify_all();
        }
    }

    /// Returns the intent in force.
    pub fn intent(&self) -> Option<Arc<Intent>> {
        self.current.load_full()
    }

    /// Returns the version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        lock(&self.in_force).version()
    }

    /// Returns how long an idle connection of a caller stays open.
    pub fn idle_time(&self) -> Duration {
        lock(&self.in_force).idle_time()
    }

    /// Takes an intent that was the newest in the store; returns whether it is now in force.
    pub fn offer_intent(&self, intent: Intent, confirmed: Confirmation) -> bool {
        let version = intent.version;
        let old = self.intent();
        let new = self.put_in_force(intent);
        self.confirm(version, confirmed);
        // Callers are served by it already; what follows takes tens of milliseconds with thousands of routes.
        if let (Some(old), Some(new)) = (&old, &new) {
            let change = PackedChange::pack(&IntentChange::between(old, new));
            lock(&self.changes).push(Arc::new(change));
        }
        new.is_some()
    }

    /// Takes changes that lead to a later version, one after the other; returns whether one is now in force.
    ///
    /// # Errors
    ///
    /// A change cannot be used; those before it are in force.
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
        let newer = !used.is_empty() && self.put_in_force(intent).is_some();
        if newer {
            let mut history = lock(&self.changes);
            used.into_iter().for_each(|change| history.push(Arc::clone(change)));
        }
        result.map(|()| newer)
    }

    /// Puts an intent in force unless one as new already is; returns it if it now is.
    fn put_in_force(&self, intent: impl Into<Arc<Intent>>) -> Option<Arc<Intent>> {
        let intent = intent.into();
        {
            let mut in_force = lock(&self.in_force);
            if !in_force.offer(Arc::clone(&intent)) {
                return None;
            }
            self.current.store(Some(Arc::clone(&intent)));
            lock(&self.watch).set_active(intent.version);
        }
        self.note_progress();
        Some(intent)
    }

    /// Notes that `version` was the newest, which says something of an intent in force that is no older: one that is
    /// behind would count as sure, and deny what the newer one allows.
    pub fn confirm(&self, version: u64, confirmed: Confirmation) {
        if version <= self.version() {
            lock(&self.watch).confirm(confirmed);
        }
    }

    /// Notes that there is `version` of the intent.
    pub fn told_of(&self, now: Instant, version: u64) {
        if lock(&self.watch).note_version(now, version) {
            self.watch_told.notify_all();
        }
    }

    /// Runs `f` with the watch.
    pub fn with_watch<T>(&self, f: impl FnOnce(&mut IntentWatch) -> T) -> T {
        f(&mut lock(&self.watch))
    }

    /// Waits until a newer intent is told of, `longest` at most.
    pub fn wait_told(&self, longest: Duration) {
        let watch = lock(&self.watch);
        // Whatever ended the wait, the watch says what is next.
        drop(self.watch_told.wait_timeout_while(watch, longest, |watch| !watch.is_outdated()));
    }

    /// Returns how long ago the intent in force was known to be the newest.
    pub fn intent_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.watch).age(now)
    }

    /// Takes what was told of operators' orders; returns whether it is news.
    pub fn offer_orders(&self, now: Instant, told: OrdersSnapshot) -> bool {
        lock(&self.orders).take(now, told)
    }

    /// Takes changes of operators' orders, up to the store's version `as_of`.
    pub fn follow_orders(
        &self,
        now: Instant,
        as_of: StoreVersion,
        changes: impl IntoIterator<Item = OrderChange>,
    ) -> bool {
        lock(&self.orders).apply_changes(now, as_of, changes)
    }

    /// Returns the zones that get nothing new.
    pub fn evacuated(&self, now: Instant) -> IndexSet<ZoneName> {
        lock(&self.orders).active(now).zones
    }

    /// Runs `apply` with the orders in force; no other thread puts older ones in force meanwhile.
    pub fn apply_orders<T>(&self, now: Instant, apply: impl FnOnce(OrdersSnapshot) -> T) -> T {
        let orders = lock(&self.orders);
        apply(orders.active(now))
    }

    /// Returns what other instances are told of operators' orders.
    pub fn orders_told(&self) -> OrdersSnapshot {
        lock(&self.orders).newest().clone()
    }

    /// Takes a list of backend servers that was current at `as_of`, in an era of the store.
    pub fn observe_servers(
        &self,
        now: Instant,
        as_of: Instant,
        era: StoreEra,
        list: Vec<BackendServer>,
    ) -> RosterChange {
        let mut roster = lock(&self.roster);
        let is_newer = roster.as_of().is_none_or(|known| known < as_of);
        if !is_newer || !roster.note_era(now, era) {
            return RosterChange::default();
        }
        let change = roster.apply_list(now, as_of, list);
        // Others are told what is believed, which is more than the list after an outage of the store.
        lock(&self.lists).push(roster.servers().map(|server| (**server).clone()).collect());
        drop(roster);
        self.note_progress();
        change
    }

    /// Notes that the list of `version` was current at `as_of`, in an era of the store, without looking at its servers; returns
    /// whether that is enough, as it is while this is the newest list.
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

    /// Notes that the entries of servers have been overwritten by something that is not understood.
    pub fn mark_overwritten<'k>(&self, keys: impl Iterator<Item = &'k str>) {
        let mut roster = lock(&self.roster);
        keys.for_each(|key| roster.mark_overwritten(key));
    }

    /// Runs `f` with the servers in force.
    pub fn with_servers<T>(&self, f: impl FnOnce(&Roster) -> T) -> T {
        f(&lock(&self.roster))
    }

    /// Has the servers of a zone count as cold for what `lasts` says of their service.
    pub fn assume_cold(
        &self,
        now: Instant,
        zone: &ZoneName,
        lasts: impl Fn(&ServiceName) -> Option<Duration>,
    ) {
        lock(&self.roster).assume_cold(now, zone, lasts);
    }

    /// Forgets a server whose address answered as another one.
    pub fn forget_server(&self, id: &Incarnation) {
        lock(&self.roster).remove(id);
    }

    /// Returns how old the servers' list is.
    pub fn servers_age(&self, now: Instant) -> Option<Duration> {
        lock(&self.roster).as_of().map(|at| now.saturating_duration_since(at))
    }

    /// Returns what turns `version` into the intent in force; nothing for an instance that has it.
    pub fn changes_since(&self, version: u64) -> Vec<Arc<PackedChange>> {
        let Some(newest) = self.intent() else { return Vec::new() };
        lock(&self.changes).since(version, &newest)
    }

    /// Returns the changes since `version`, if that is not too long ago and they have at most `most` bytes.
    pub fn small_changes_since(&self, version: u64, most: usize) -> Vec<Arc<PackedChange>> {
        let Some(newest) = self.intent() else { return Vec::new() };
        let mut kept = lock(&self.changes).kept_since(version, &newest);
        if kept.iter().map(|change| change.len()).sum::<usize>() > most {
            kept.clear();
        }
        kept
    }

    /// Returns the last change of the intent.
    pub fn last_change(&self) -> Option<Arc<PackedChange>> {
        lock(&self.changes).last().cloned()
    }

    /// Returns the version of the newest list.
    pub fn list_version(&self) -> Option<ListVersion> {
        lock(&self.lists).newest().map(|(version, _)| *version)
    }

    /// Returns what has changed in the list since `version`, and how old the list is.
    ///
    /// Both are of one moment: a list from just before a read, told with the age from just after it, would count
    /// as current and keep the next news out.
    pub fn list_told(&self, now: Instant, version: Option<ListVersion>) -> ToldList {
        let roster = lock(&self.roster);
        let news = lock(&self.lists).since(version);
        let age = roster.as_of().map(|at| now.saturating_duration_since(at));
        ToldList { news, age, era: roster.era() }
    }

    /// Returns the list that the newest one becomes by `news`, which is of `version`.
    pub fn apply_list_news(
        &self,
        version: Option<ListVersion>,
        news: ServerListUpdate,
    ) -> Option<Vec<BackendServer>> {
        let lists = lock(&self.lists);
        let list = match lists.newest() {
            Some((known, list)) if Some(*known) == version => news.apply(list),
            // The news are of another list than the newest by now.
            _ if matches!(news, ServerListUpdate::Whole(_)) => news.apply(&[]),
            _ => return None,
        };
        list.inspect_err(|fault| log::info!("event=list_skipped source=peer reason={fault}")).ok()
    }
}
