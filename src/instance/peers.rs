//! Answers other instances.

use crate::{
    configs::fleet::chunks::{decode, encode},
    contract::permit::{RefuseReason, Reply},
    instance::{gossip, shared::Shared, status},
    link::wire::{
        ASK, AskReply, AskRequest, DRAIN, FETCH, FetchReply, FetchRequest, HEARTBEAT, Heartbeat,
        LOADS, LoadsMessage, ReplyWire, STATUS, WAIT, WaitRequest,
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
        ASK => Ok(encode(&ask(shared, decode(body).map_err(bad)?))),
        WAIT => {
            let request: WaitRequest = decode(body).map_err(bad)?;
            shared.greeted(&request.hello);
            Ok(encode(&shared.homes.wait(request.hello.from)))
        }
        HEARTBEAT => {
            let heartbeat: Heartbeat = decode(body).map_err(bad)?;
            Ok(encode(&gossip::take_heartbeat(shared, &heartbeat)))
        }
        LOADS => {
            let message: LoadsMessage = decode(body).map_err(bad)?;
            shared.greeted(&message.hello);
            gossip::take_loads(shared, &message.loads);
            Ok(encode(&()))
        }
        FETCH => Ok(encode(&fetch(shared, &decode(body).map_err(bad)?))),
        STATUS => Ok(encode(&status::own(shared))),
        DRAIN => {
            shared.drain.start(shared.clock.now());
            Ok(encode(&()))
        }
        _ => Err(UNKNOWN),
    }
}

/// Answers an entry's batches for the shards whose home this is.
pub fn ask(shared: &Shared, request: AskRequest) -> AskReply {
    if request.hello.from != shared.tag {
        shared.greeted(&request.hello);
    }
    let hello = shared.hello();
    let mut reply = AskReply { hello, replies: Vec::new(), want_announcement: Vec::new() };
    let snapshot = shared.snapshot.load_full();
    for (at, batch) in request.batches.into_iter().enumerate() {
        let asks = batch.asks.len();
        let answer = snapshot.as_ref().and_then(|s| shared.homes.batch(&request.hello, batch, s));
        match answer {
            Some(answer) => {
                reply.replies.push(answer.replies);
                if answer.want_announcement {
                    reply.want_announcement.push(at as u16);
                }
            }
            // The sender's file is newer; it is being fetched.
            None => {
                let none = Reply::Refused { reason: RefuseReason::NoEngine, retry_after_ms: 1000 };
                reply.replies.push(vec![ReplyWire::of(none); asks]);
            }
        }
    }
    reply
}

fn fetch(shared: &Shared, request: &FetchRequest) -> FetchReply {
    match request {
        FetchRequest::Head => FetchReply::Head(lock(&shared.in_force).installed().cloned()),
        FetchRequest::Object(name) => FetchReply::Object(shared.objects.get(name).map(Into::into)),
    }
}
