//! Sends the records of streams to the instances that hold them, and receives those of others.
//!
//! The socket is open for as long as the instance runs: another instance may learn earlier that there is a second version,
//! and its first records must not be lost. Nothing is sent, and no thread waits at it, until then.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, OnceLock, Weak,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use indexmap::IndexMap;

use super::{messages::StreamDatagram, spawn};
use crate::{
    gateway::Gateway,
    link::{
        datagrams::{DatagramSocket, Received},
        idle::{IdleMonitor, WatchedSocket},
        traffic::Purpose,
    },
    routing::{HOLDERS, RecordSend, SentRecords, SightedVersion, StreamKey, StreamRecord},
    utils::sync::lock,
};

/// Period at which records that are not confirmed are looked through.
const RESEND_PERIOD: Duration = Duration::from_millis(50);

/// Time without a datagram after which the thread that receives them ends.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// Records in one datagram: with the longest names of versions they fit into one packet.
const RECORDS_PER_DATAGRAM: usize = 4;

/// Versions in one datagram, which fit into one packet as well.
const VERSIONS_PER_DATAGRAM: usize = 2;

/// The records that this instance has sent, and the socket for those of all.
pub(super) struct RecordLink {
    owner: OnceLock<Owner>,
    socket: OnceLock<RecordSocket>,
    sent: Mutex<SentRecords>,
    is_resending: AtomicBool,
}

struct Owner {
    gateway: Weak<Gateway>,
    /// Address at which records are received.
    address: SocketAddr,
    idle: IdleMonitor,
}

struct RecordSocket {
    socket: DatagramSocket,
    watch: WatchedSocket,
}

impl Owner {
    fn bind(&self) -> io::Result<RecordSocket> {
        let gateway = self.gateway.upgrade().ok_or(io::ErrorKind::NotConnected)?;
        let traffic = gateway.peers.traffic.clone();
        let socket =
            DatagramSocket::bind(self.address, Purpose::Streams, RECEIVE_TIMEOUT, traffic)?;
        let owner = Weak::clone(&self.gateway);
        let receive = move || {
            if let Some(gateway) = owner.upgrade() {
                spawn(&gateway, "origins", receive_datagrams);
            }
        };
        let watch = self.idle.watch_socket(&socket, receive)?;
        Ok(RecordSocket { socket, watch })
    }
}

impl Default for RecordLink {
    fn default() -> RecordLink {
        RecordLink {
            owner: OnceLock::new(),
            socket: OnceLock::new(),
            sent: Mutex::new(SentRecords::new(HOLDERS)),
            is_resending: AtomicBool::default(),
        }
    }
}

impl RecordLink {
    /// Sets the instance that this is a part of, and has it receive at `address`.
    pub(super) fn attach(&self, gateway: &Arc<Gateway>, address: SocketAddr, idle: IdleMonitor) {
        let gateway = Arc::downgrade(gateway);
        self.owner.get_or_init(|| Owner { gateway, address, idle });
        self.open();
    }

    /// Opens the socket, unless it is open.
    pub(super) fn open(&self) {
        let Some(owner) = self.owner.get() else { return };
        if self.socket.get().is_some() {
            return;
        }
        match owner.bind() {
            Ok(bound) => {
                self.socket.get_or_init(|| bound);
            }
            Err(error) => {
                log::error!("event=no_stream_records address={} reason={error}", owner.address);
            }
        }
    }

    pub(super) fn socket(&self) -> Option<&DatagramSocket> {
        self.socket.get().map(|bound| &bound.socket)
    }

    /// Returns the instance that this is a part of, while it is running.
    pub(super) fn gateway(&self) -> Option<Arc<Gateway>> {
        self.owner.get().and_then(|owner| owner.gateway.upgrade())
    }

    /// Starts the thread that sends records, unless it runs.
    pub(super) fn resend(&self) {
        let Some(gateway) = self.gateway() else { return };
        if !self.is_resending.swap(true, Ordering::SeqCst) {
            spawn(&gateway, "records", resend_records);
        }
    }
}

impl Gateway {
    /// Sends records to the instances that are to hold them, until they confirm.
    pub(super) fn send_records(&self, now: Instant, records: Vec<StreamRecord>) {
        let mut sent = lock(&self.stream_versions.link.sent);
        records.into_iter().for_each(|record| sent.add(now, record));
        drop(sent);
        self.send_due_records();
        self.stream_versions.link.resend();
    }

    fn send_due_records(&self) {
        let Some(socket) = self.stream_versions.link.socket() else { return };
        let now = self.clock.now();
        let due = {
            let mut sent = lock(&self.stream_versions.link.sent);
            let instances = lock(&self.peers.candidates).version();
            sent.take_due(now, instances, |key| self.addresses_by_rank(key))
        };
        for (to, records) in batches(due) {
            socket.send(to, &StreamDatagram::Records(records));
        }
    }

    fn addresses_by_rank(&self, key: StreamKey) -> Vec<SocketAddr> {
        let candidates = lock(&self.peers.candidates);
        key.others_by_rank(&candidates).into_iter().map(|instance| instance.address).collect()
    }

    /// Tells all other instances that services have several versions in sight.
    pub(super) fn announce_versions(&self, several: &[SightedVersion]) {
        for versions in several.chunks(VERSIONS_PER_DATAGRAM) {
            self.send_to_all(&StreamDatagram::Listed(versions.to_vec()));
        }
    }

    /// Tells all other instances that this one has started.
    pub(super) fn announce_start(&self) {
        self.send_to_all(&StreamDatagram::Started);
    }

    fn send_to_all(&self, message: &StreamDatagram) {
        let Some(socket) = self.stream_versions.link.socket() else { return };
        let others: Vec<SocketAddr> = {
            let candidates = lock(&self.peers.candidates);
            let own = &candidates.own().node;
            let others = candidates.all().iter().filter(|instance| instance.node != *own);
            others.map(|instance| instance.address).collect()
        };
        others.into_iter().for_each(|other| socket.send(other, message));
    }

    fn apply_datagram(&self, socket: &DatagramSocket, message: StreamDatagram, from: SocketAddr) {
        let now = self.clock.now();
        let link = &self.stream_versions.link;
        match message {
            StreamDatagram::Records(records) => {
                let keys = records.iter().map(|record| record.key).collect();
                let mut origins = lock(&self.stream_versions.origins);
                records.into_iter().for_each(|record| origins.record(now, record));
                drop(origins);
                socket.send(from, &StreamDatagram::Confirmed(keys));
            }
            StreamDatagram::Confirmed(keys) => {
                let mut sent = lock(&link.sent);
                keys.into_iter().for_each(|key| sent.confirm(key, from));
            }
            StreamDatagram::Listed(versions) => self.note_versions_elsewhere(versions, from),
            StreamDatagram::Started => {
                lock(&link.sent).note_restarted(from);
                lock(&self.stream_versions.checkpoints.requests).note_restarted(from);
            }
            StreamDatagram::Write(records) => self.write_requested(now, &records, from),
            StreamDatagram::Written(keys) => self.note_written_by(from, &keys),
            StreamDatagram::WritesLate => self.note_late_writer(from),
            StreamDatagram::Complete(key) => {
                lock(&self.stream_versions.checkpoints.own).note_complete(key);
            }
        }
    }
}

/// Receives datagrams until none arrive for a while, or the instance is stopped.
fn receive_datagrams(gateway: &Gateway) {
    let Some(RecordSocket { socket, watch }) = gateway.stream_versions.link.socket.get() else {
        return;
    };
    while gateway.is_running() {
        match socket.receive() {
            Ok(Received::Message(message, from)) => gateway.apply_datagram(socket, message, from),
            Ok(Received::Invalid) => log::debug!("event=record_not_understood"),
            Ok(Received::Nothing) => break,
            Err(error) => {
                log::warn!("event=records_not_received reason={error}");
                thread::sleep(RECEIVE_TIMEOUT);
                break;
            }
        }
    }
    if gateway.is_running()
        && let Err(error) = watch.rearm(socket)
    {
        log::error!("event=no_stream_records reason={error}");
    }
}

/// Returns what goes into one datagram each.
pub(super) fn batches(due: Vec<RecordSend>) -> Vec<(SocketAddr, Vec<StreamRecord>)> {
    let mut by_receiver: IndexMap<SocketAddr, Vec<StreamRecord>> = IndexMap::new();
    for RecordSend { to, record } in due {
        by_receiver.entry(to).or_default().push(record);
    }
    let chunks = |(to, records): (SocketAddr, Vec<StreamRecord>)| {
        let chunks = records.chunks(RECORDS_PER_DATAGRAM);
        chunks.map(|chunk| (to, chunk.to_vec())).collect::<Vec<_>>()
    };
    by_receiver.into_iter().flat_map(chunks).collect()
}

/// Sends records again until all have expired, or the instance is stopped.
fn resend_records(gateway: &Gateway) {
    let link = &gateway.stream_versions.link;
    let requests = &gateway.stream_versions.checkpoints.requests;
    let has_records = || !lock(&link.sent).is_empty() || !lock(requests).is_empty();
    while gateway.is_running() && has_records() {
        thread::sleep(RESEND_PERIOD);
        gateway.send_due_records();
        gateway.request_due_writes();
    }
    link.is_resending.store(false, Ordering::SeqCst);
    // A record that was added in the meantime.
    if gateway.is_running() && has_records() {
        link.resend();
    }
}
