//! Answers other instances.

use crate::{
    configs::fleet::chunks::{decode, encode},
    instance::{
        knowledge::gossip,
        operators::{explain, status},
        shared::Shared,
    },
    link::{
        traffic::Purpose,
        wire::{
            CHAT_LOCATIONS_PATH, ChatLocationsMessage, DRAIN_PATH, EXPLAIN_PATH, FETCH_PATH,
            FetchReply, FetchRequest, HEARTBEAT_PATH, Heartbeat, LOADS_PATH, LoadsMessage,
            STATUS_PATH,
        },
    },
    utils::sync::lock,
};

/// Status told to a peer whose message cannot be read.
const BAD_MESSAGE: u16 = 400;

/// Status told to a peer that asks for something unknown.
const UNKNOWN: u16 = 404;

/// Answers one message.
///
/// # Errors
///
/// The HTTP status to refuse it with.
pub fn answer(shared: &Shared, path: &str, body: &[u8]) -> Result<Vec<u8>, u16> {
    let bad = |_| BAD_MESSAGE;
    match path {
        HEARTBEAT_PATH => {
            let heartbeat: Heartbeat = decode(body).map_err(bad)?;
            Ok(encode(&gossip::take_heartbeat(shared, &heartbeat)))
        }
        LOADS_PATH => {
            let message: LoadsMessage = decode(body).map_err(bad)?;
            shared.greeted(&message.hello);
            gossip::take_loads(shared, &message.loads);
            Ok(encode(&()))
        }
        CHAT_LOCATIONS_PATH => {
            let message: ChatLocationsMessage = decode(body).map_err(bad)?;
            shared.greeted(&message.hello);
            gossip::take_memories(shared, message.shards);
            Ok(encode(&()))
        }
        FETCH_PATH => Ok(encode(&fetch(shared, &decode(body).map_err(bad)?))),
        STATUS_PATH => Ok(encode(&status::instance_status(shared))),
        EXPLAIN_PATH => {
            let name = decode(body).map_err(bad)?;
            explain::explain_locally(shared, &name)
                .map(|e| encode(&e))
                .map_err(|fault| fault.status())
        }
        DRAIN_PATH => {
            shared.drain.start(shared.clock.now());
            Ok(encode(&()))
        }
        _ => Err(UNKNOWN),
    }
}

/// Returns what a message on `path` is for.
pub fn purpose(path: &str) -> Purpose {
    match path {
        HEARTBEAT_PATH => Purpose::Heartbeat,
        LOADS_PATH => Purpose::Loads,
        CHAT_LOCATIONS_PATH => Purpose::ChatLocations,
        FETCH_PATH => Purpose::Config,
        STATUS_PATH | DRAIN_PATH | EXPLAIN_PATH => Purpose::Operators,
        _ => Purpose::Permits,
    }
}

fn fetch(shared: &Shared, request: &FetchRequest) -> FetchReply {
    match request {
        FetchRequest::Head => FetchReply::Head(lock(&shared.in_force).installed().cloned()),
        FetchRequest::Members(member) => {
            FetchReply::Members(gossip::take_introduction(shared, member.clone()))
        }
        FetchRequest::Object(name) => FetchReply::Object(shared.objects.get(name).map(Into::into)),
    }
}
