//! Builds the state that the parts of an instance share.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, OnceLock, Weak, atomic::AtomicU64},
};

use arc_swap::ArcSwapOption;

use crate::{
    configs::settings::{Platform as PlatformSettings, Settings},
    context::Context,
    contract::{membership::Membership, revision::ActiveRevision},
    instance::{
        cluster_state::{config::Waker, objects::ObjectCache},
        homes::{
            order_state::Orders, permit_streams::PermitStreams, shards::HomeShards, streams,
            table::HomeTable,
        },
        requests::{
            claims::Claims,
            permit_client::{HomeTransport, PermitClient},
        },
        shared::{DrainState, Shared},
    },
    link::{
        backend::BackendPool,
        peer::PeerClient,
        traffic::{Purpose, TrafficCounter},
    },
    metrics::Metrics,
    platform::{Platform, embedded::EmbeddedPlatform, http::HttpPlatform},
    utils::{supervisor::RequiredThreads, usage::Usage},
    zone::homes::Candidate,
};

/// Opens the platform that the settings name; `traffic` counts the bytes of every call to it.
pub(super) fn open_platform(settings: &Settings, traffic: &TrafficCounter) -> Platform {
    match settings.platform {
        PlatformSettings::Embedded => EmbeddedPlatform::new().platform(),
        PlatformSettings::Http { table, objects, members } => {
            let timeout = settings.timeouts.platform.0;
            let credential = settings.credentials.platform.clone();
            let traffic = traffic.clone();
            HttpPlatform { table, objects, members, timeout, credential }.connect(
                move |sent, received| {
                    traffic.count_sent(Purpose::Platform, sent);
                    traffic.count_received(Purpose::Platform, received);
                },
            )
        }
    }
}

/// Builds the state that the parts of an instance share, and connects the permit client and the homes to each other.
pub(super) fn build_shared(
    settings: Settings,
    context: &Context,
    metrics: Metrics,
    platform: Platform,
    waker: &Arc<Waker>,
) -> Arc<Shared> {
    let clock = context.clock.clone();
    let traffic = metrics.traffic();
    let tag = settings.id.tag();
    let incarnation = u32::try_from(clock.wall_millis() / 1000).unwrap_or(u32::MAX);
    let credential = settings.credentials.peers[0].clone();
    let peers =
        PeerClient::new(clock.clone(), Some(credential), settings.timeouts.peer.0, traffic.clone());
    let own = Candidate { id: settings.id.clone(), tag, zone: settings.zone.clone() };
    let waker = Arc::clone(waker);
    // The permit client and the homes reach each other through the shared state, which owns both.
    let this: Arc<OnceLock<Weak<Shared>>> = Arc::default();
    let reply_timeout = settings.timeouts.peer.0;
    let permit_client =
        PermitClient::new(tag, incarnation, reply_timeout, clock.clone(), home_transport(&this));
    let homes_this = Arc::clone(&this);
    let chats_max = settings.limits.remembered_chats as usize;
    let homes = HomeShards::new(clock.clone(), chats_max, move |id, reply| {
        let Some(shared) = upgrade(&homes_this) else { return };
        if id.entry == tag {
            shared.permit_client.handle_own_reply(id, reply);
        } else {
            shared.permit_streams.send_reply(shared.hello(), id, reply);
        }
    });
    let shared = Arc::new(Shared {
        tag,
        incarnation,
        backends: BackendPool::new(clock.clone(), settings.timeouts.connect.0),
        claims: Claims::new(platform.table.clone(), clock.clone()),
        settings,
        clock,
        metrics,
        traffic,
        platform,
        peers,
        snapshot: ArcSwapOption::empty(),
        active_revision: Mutex::new(ActiveRevision::default()),
        objects: ObjectCache::default(),
        home_table: Mutex::new(HomeTable::default()),
        membership: Mutex::new(Membership::new(own)),
        permit_client,
        homes,
        permit_streams: PermitStreams::default(),
        orders: Orders::default(),
        installed_at: Mutex::new(None),
        budgets: Mutex::new(HashMap::new()),
        baselines: Mutex::new(HashMap::new()),
        advertised: OnceLock::new(),
        drain: DrainState::default(),
        required_threads: RequiredThreads::default(),
        usage: Usage::default(),
        request_counter: AtomicU64::new(1),
        wake_config: Arc::new(move || waker.wake()),
    });
    // Set once, here.
    let _ = this.set(Arc::downgrade(&shared));
    shared
}

fn upgrade(this: &OnceLock<Weak<Shared>>) -> Option<Arc<Shared>> {
    this.get()?.upgrade()
}

fn home_transport(this: &Arc<OnceLock<Weak<Shared>>>) -> HomeTransport {
    let (send_this, disconnect_this) = (Arc::clone(this), Arc::clone(this));
    HomeTransport {
        send: Box::new(move |home, batches| {
            let Some(shared) = upgrade(&send_this) else { return false };
            if home != shared.tag {
                return streams::send(&shared, home, batches);
            }
            let reply = streams::handle_batches(&shared, &shared.hello(), batches);
            shared.permit_client.handle_message(home, reply);
            true
        }),
        disconnect: Box::new(move |home| {
            if let Some(shared) = upgrade(&disconnect_this) {
                shared.permit_streams.close(home);
            }
        }),
    }
}
