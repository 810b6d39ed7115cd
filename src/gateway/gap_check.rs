//! Asks other instances whether the store was unreachable while this one received no list of backend servers.

use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{Gateway, roster_reader};
use crate::routing::{ReadSpan, Roster, StoreEra, StoreWitness, roster::RosterChange};

/// Path of the question.
pub(super) const LIST_READS_PATH: &str = "/list-reads";

/// Number of instances that are asked at once: if half of them were suspended as well, one of eight knows more in 255
/// of 256 cases.
const PEERS_ASKED_MAX: usize = 8;

/// Number of rounds without any reply after which the instance decides by itself.
const ROUNDS_MAX: usize = 5;

/// Time between two rounds.
const ROUND_PERIOD: Duration = Duration::from_millis(200);

/// Question when an instance has received lists. It has no contents.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct ListReadsQuery {}

/// Reply to a [`ListReadsQuery`]. Instances share no clock, so it has ages.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ListReadsReply {
    /// Milliseconds since the first of the lists that followed each other without a gap.
    since_ms: u64,
    /// Milliseconds since the last one.
    until_ms: u64,
    /// Whether own reads failed in the gap before.
    failed_before: bool,
    /// Whether own reads have failed since.
    failed_after: bool,
    /// Era of the store.
    era: StoreEra,
    /// Milliseconds since that era was first seen, unless it is the first one known.
    restored_ms: Option<u64>,
}

impl ListReadsReply {
    /// Returns the reply of an instance at `now`.
    fn of(witness: &StoreWitness, now: Instant) -> ListReadsReply {
        let age = |at: Instant| {
            u64::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u64::MAX)
        };
        ListReadsReply {
            since_ms: age(witness.span.since),
            until_ms: age(witness.span.until),
            failed_before: witness.span.failed_before,
            failed_after: witness.span.failed_after,
            era: witness.era,
            restored_ms: witness.restored_at.map(age),
        }
    }

    /// Returns what the reply says, on the clock of an instance that asked at `asked_at` and has the reply at `now`. The
    /// span is never longer than the other instance's. `None` if its ages reach back before the clock.
    fn witness(&self, asked_at: Instant, now: Instant) -> Option<StoreWitness> {
        let before = |at: Instant, age_ms: u64| at.checked_sub(Duration::from_millis(age_ms));
        let span = ReadSpan {
            since: before(now, self.since_ms)?,
            until: before(asked_at, self.until_ms)?,
            failed_before: self.failed_before,
            failed_after: self.failed_after,
        };
        let restored_at = self.restored_ms.and_then(|age_ms| before(now, age_ms));
        Some(StoreWitness { span, era: self.era, restored_at })
    }
}

/// The thread that asks, which runs only while the cause of a gap is not known.
#[derive(Default)]
pub(super) struct GapCheck {
    gateway: OnceLock<Weak<Gateway>>,
    is_running: AtomicBool,
}

impl GapCheck {
    /// Sets the instance that this is a part of; further calls do nothing.
    pub(super) fn attach(&self, gateway: &Arc<Gateway>) {
        self.gateway.get_or_init(|| Arc::downgrade(gateway));
    }

    /// Starts to ask, unless that is in progress or the instance has not been started.
    fn start(&self) {
        let Some(gateway) = self.gateway.get().and_then(Weak::upgrade) else { return };
        if self.is_running.swap(true, Ordering::SeqCst) {
            return;
        }
        let spawned = gateway.spawn_thread("gap", |gateway| {
            gateway.decide_list_gap();
            gateway.gap_check.is_running.store(false, Ordering::SeqCst);
            // A gap that was found in the meantime.
            gateway.check_list_gap();
        });
        if let Err(fault) = spawned {
            log::warn!("event=gap_not_checked reason={:?}", fault.to_string());
            self.is_running.store(false, Ordering::SeqCst);
        }
    }
}

impl Gateway {
    /// Starts to find out the cause of a gap between lists, if there is one and it is not known.
    pub(super) fn check_list_gap(&self) {
        let is_undecided = self.cluster_state.with_servers(|roster| roster.is_undecided());
        if is_undecided && self.is_running() {
            self.gap_check.start();
        }
    }

    /// Asks other instances until the cause of a gap is known.
    fn decide_list_gap(&self) {
        for round in 1..=ROUNDS_MAX {
            let peers = self.peers.random_peers(&[], PEERS_ASKED_MAX);
            self.ask_all(&peers);
            let asked = if round == ROUNDS_MAX { 0 } else { peers.len() };
            self.update_missing(|roster, now| roster.decide_missing(now, asked));
            let is_decided = !self.cluster_state.with_servers(|roster| roster.is_undecided());
            if is_decided || !self.is_running() {
                return;
            }
            thread::sleep(ROUND_PERIOD);
        }
    }

    /// Asks instances at the same time. One for which no thread can be started counts as silent.
    fn ask_all(&self, peers: &[SocketAddr]) {
        thread::scope(|scope| {
            for &peer in peers {
                let ask = move || self.ask_for_list_reads(peer);
                if let Err(fault) = thread::Builder::new().spawn_scoped(scope, ask) {
                    log::warn!("event=gap_not_checked reason={:?}", fault.to_string());
                }
            }
        });
    }

    fn ask_for_list_reads(&self, peer: SocketAddr) {
        let asked_at = self.clock.now();
        match self.peers.ask_list_reads(peer) {
            Ok(reply) => {
                let Some(witness) = reply.witness(asked_at, self.clock.now()) else { return };
                self.update_missing(|roster, now| roster.note_witness(now, &witness));
            }
            Err(reason) => log::info!("event=peer_silent peer={peer} reason={reason:?}"),
        }
    }

    /// Updates what is known of a gap, and removes the servers that need not be kept any longer.
    fn update_missing(&self, update: impl FnOnce(&mut Roster, Instant) -> RosterChange) {
        let now = self.clock.now();
        let (change, as_of) = self
            .cluster_state
            .with_roster_mut(|roster| (update(roster, now), roster.as_of().unwrap_or(now)));
        roster_reader::use_change(self, &change, "peers", as_of);
    }

    /// Returns the reply to another instance that asks when this one has received lists; `None` before the first one.
    pub(super) fn list_reads(&self) -> Option<ListReadsReply> {
        let now = self.clock.now();
        let witness = self.cluster_state.with_servers(|roster| roster.witness())?;
        Some(ListReadsReply::of(&witness, now))
    }
}
