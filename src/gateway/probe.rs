//! Probes an instance of higher rank that does not reply within the timeout of an exchange: calls it once more, with a
//! longer timeout, before this instance polls the store in its place.
//!
//! A reply shows that the other instance is only slow, and says how recently the intent was read. The probe has its own
//! thread, so that the exchanges of this instance go on.

use std::{
    sync::{Arc, atomic::Ordering},
    thread,
};

use super::{
    Gateway,
    exchange::{ExchangeOptions, exchange_for, log_silent},
    messages::ExchangePurpose,
};
use crate::utils::{supervisor, sync::lock};

/// Probes a silent instance of higher rank, if there is one and no probe is in progress.
pub(super) fn probe_silent(gateway: &Arc<Gateway>) {
    let peers = &gateway.peers;
    let silent = {
        let candidates = lock(&peers.candidates);
        lock(&peers.takeover).probe(candidates.higher()).cloned()
    };
    let Some(silent) = silent else { return };
    if peers.is_probing.swap(true, Ordering::Relaxed) {
        return;
    }
    let for_thread = Arc::clone(gateway);
    let probe = move || {
        let peers = &for_thread.peers;
        let purpose = ExchangePurpose::Query;
        let options = ExchangeOptions::PROBE;
        let ask = || match exchange_for(&for_thread, silent.address, purpose, options) {
            Ok(()) => lock(&peers.takeover).note_reply(&silent.node),
            Err(fault) => log_silent(&silent.node, &fault),
        };
        supervisor::catch("probe", ask);
        peers.is_probing.store(false, Ordering::Relaxed);
    };
    if let Err(fault) = thread::Builder::new().name("probe".to_owned()).spawn(probe) {
        log::warn!("event=not_probed reason={:?}", fault.to_string());
        peers.is_probing.store(false, Ordering::Relaxed);
    }
}
