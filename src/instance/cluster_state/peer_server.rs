//! Serves the calls of other instances.

use crate::{
    configs::fleet::chunks::{decode, encode},
    instance::{
        cluster_state::gossip,
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

/// HTTP status for a message that cannot be decoded.
const BAD_REQUEST: u16 = 400;

/// HTTP status for an unknown path.
const NOT_FOUND: u16 = 404;

/// Handles one call and returns the body of the response.
///
/// # Errors
///
/// The HTTP status to reject the call with.
pub fn handle_call(shared: &Shared, path: &str, body: &[u8]) -> Result<Vec<u8>, u16> {
    let bad_request = |_| BAD_REQUEST;
    match path {
        HEARTBEAT_PATH => {
            let heartbeat: Heartbeat = decode(body).map_err(bad_request)?;
            Ok(encode(&gossip::handle_heartbeat(shared, &heartbeat)))
        }
        LOADS_PATH => {
            let message: LoadsMessage = decode(body).map_err(bad_request)?;
            shared.note_hello(&message.hello);
            gossip::apply_loads(shared, &message.loads);
            Ok(encode(&()))
        }
        CHAT_LOCATIONS_PATH => {
            let message: ChatLocationsMessage = decode(body).map_err(bad_request)?;
            shared.note_hello(&message.hello);
            gossip::apply_replicated_chats(shared, message.shards);
            Ok(encode(&()))
        }
        FETCH_PATH => Ok(encode(&fetch(shared, &decode(body).map_err(bad_request)?))),
        STATUS_PATH => Ok(encode(&status::instance_status(shared))),
        EXPLAIN_PATH => {
            let name = decode(body).map_err(bad_request)?;
            explain::explain_locally(shared, &name)
                .map(|e| encode(&e))
                .map_err(|error| error.status())
        }
        DRAIN_PATH => {
            shared.drain.start(shared.clock.now());
            Ok(encode(&()))
        }
        _ => Err(NOT_FOUND),
    }
}

/// Returns the purpose of the messages on `path`, for the traffic metrics.
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
        FetchRequest::Head => FetchReply::Head(lock(&shared.active_revision).installed().cloned()),
        FetchRequest::Members(member) => {
            FetchReply::Members(gossip::handle_introduction(shared, member.clone()))
        }
        FetchRequest::Object(name) => FetchReply::Object(shared.objects.get(name).map(Into::into)),
    }
}
