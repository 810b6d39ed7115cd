//! The platform's services over HTTP, by `ureq`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::Response;
use ureq::{Agent, Body, config::AutoHeaderValue};

use super::{
    MemberChanges, Members, Objects, Platform, PlatformError, Row, Table, TransactReply,
    Transaction,
};
use crate::utils::secret::Secret;

/// Largest reply read, in bytes.
const REPLY_MAX: u64 = 64 << 20;

/// Bytes of a request line and status line beside the path: `PUT  HTTP/1.1` and its like.
const REQUEST_LINE: usize = 15;

/// Where the services are and how they are reached.
pub struct HttpPlatform {
    /// The table.
    pub table: SocketAddr,
    /// The object store.
    pub objects: SocketAddr,
    /// The membership list.
    pub members: SocketAddr,
    /// Most time for one exchange.
    pub timeout: Duration,
    /// Credential shown.
    pub credential: Option<Secret>,
}

struct Client {
    agent: Agent,
    credential: Option<Secret>,
    count: Box<dyn Fn(usize, usize) + Send + Sync>,
}

/// A reply: status and body.
struct Reply {
    status: u16,
    body: Vec<u8>,
}

impl HttpPlatform {
    /// Returns the services; `count` is told the bytes sent and received of every exchange.
    pub fn connect(self, count: impl Fn(usize, usize) + Send + Sync + 'static) -> Platform {
        let agent = agent(self.timeout);
        let client = Client { agent, credential: self.credential, count: Box::new(count) };
        let clients: [Arc<Client>; 6] = {
            let client = Arc::new(client);
            std::array::from_fn(|_| Arc::clone(&client))
        };
        let [a, b, c, d, e, f] = clients;
        let (rows, objects, members) = (self.table, self.objects, self.members);
        Platform {
            table: Table::new(
                move |transaction| a.transact(rows, transaction),
                move |key| b.row(rows, key),
                move |prefix, after, most| c.scan(rows, prefix, after, most),
            ),
            objects: Objects::new(
                move |key, bytes| d.put_object(objects, key, bytes),
                move |key| e.get_object(objects, key),
            ),
            members: Members::new(move |version| f.members(members, version)),
        }
    }
}

/// Returns an agent that sends each request once: no redirects, no proxy, no added headers.
pub fn agent(timeout: Duration) -> Agent {
    Agent::config_builder()
        .timeout_global(Some(timeout))
        .max_redirects(0)
        .proxy(None)
        .http_status_as_error(false)
        .user_agent(AutoHeaderValue::None)
        .accept(AutoHeaderValue::None)
        .accept_encoding(AutoHeaderValue::None)
        .build()
        .new_agent()
}

impl Client {
    fn get(&self, address: SocketAddr, path: &str) -> Result<Reply, PlatformError> {
        let mut request = self.agent.get(format!("http://{address}{path}"));
        if let Some(credential) = &self.credential {
            request = request.header("authorization", format!("Bearer {}", credential.expose()));
        }
        self.finish(path, 0, request.call())
    }

    fn send(
        &self,
        put: bool,
        address: SocketAddr,
        path: &str,
        body: &[u8],
    ) -> Result<Reply, PlatformError> {
        let url = format!("http://{address}{path}");
        let mut request = if put { self.agent.put(url) } else { self.agent.post(url) };
        if let Some(credential) = &self.credential {
            request = request.header("authorization", format!("Bearer {}", credential.expose()));
        }
        self.finish(path, body.len(), request.send(body))
    }

    fn finish(
        &self,
        path: &str,
        sent: usize,
        result: Result<Response<Body>, ureq::Error>,
    ) -> Result<Reply, PlatformError> {
        let credential = self
            .credential
            .as_ref()
            .map_or(0, |c| "authorization: Bearer \r\n".len() + c.expose().len());
        let head = REQUEST_LINE
            + path.len()
            + "host: 127.0.0.1:00000\r\ncontent-length: 000\r\n\r\n".len();
        let mut response = match result {
            Ok(response) => response,
            Err(e) => {
                (self.count)(head + credential + sent, 0);
                return Err(fault(e));
            }
        };
        let head_back: usize =
            response.headers().iter().map(|(n, v)| n.as_str().len() + v.len() + 4).sum();
        let body =
            response.body_mut().with_config().limit(REPLY_MAX).read_to_vec().map_err(fault)?;
        (self.count)(head + credential + sent, REQUEST_LINE + head_back + body.len());
        let status = response.status().as_u16();
        if matches!(status, 429 | 503) {
            return Err(PlatformError::Unavailable(format!("status {status}")));
        }
        Ok(Reply { status, body })
    }

    fn transact(
        &self,
        at: SocketAddr,
        transaction: &Transaction,
    ) -> Result<TransactReply, PlatformError> {
        let body = serde_json::to_vec(transaction)
            .map_err(|e| PlatformError::Unavailable(e.to_string()))?;
        let reply = self.send(false, at, "/table/transact", &body)?;
        parse(&reply)
    }

    fn row(&self, at: SocketAddr, key: &str) -> Result<Option<Row>, PlatformError> {
        let reply = self.get(at, &format!("/table/rows/{key}"))?;
        if reply.status == 404 { Ok(None) } else { parse(&reply).map(Some) }
    }

    fn scan(
        &self,
        at: SocketAddr,
        prefix: &str,
        after: &str,
        most: usize,
    ) -> Result<Vec<Row>, PlatformError> {
        let path = format!("/table/rows?prefix={prefix}&after={after}&most={most}");
        parse(&self.get(at, &path)?)
    }

    fn put_object(&self, at: SocketAddr, key: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        let reply = self.send(true, at, &format!("/objects/{key}"), bytes)?;
        expect_done(&reply)
    }

    fn get_object(&self, at: SocketAddr, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let reply = self.get(at, &format!("/objects/{key}"))?;
        if reply.status == 404 {
            return Ok(None);
        }
        expect_done(&reply)?;
        Ok(Some(reply.body))
    }

    fn members(&self, at: SocketAddr, version: u64) -> Result<MemberChanges, PlatformError> {
        parse(&self.get(at, &format!("/members?since={version}"))?)
    }
}

fn expect_done(reply: &Reply) -> Result<(), PlatformError> {
    match reply.status {
        200..=299 => Ok(()),
        status => Err(PlatformError::InvalidReply(format!("status {status}"))),
    }
}

fn parse<T: serde::de::DeserializeOwned>(reply: &Reply) -> Result<T, PlatformError> {
    expect_done(reply)?;
    serde_json::from_slice(&reply.body).map_err(|e| PlatformError::InvalidReply(e.to_string()))
}

fn fault(e: ureq::Error) -> PlatformError {
    let refused = match &e {
        ureq::Error::Io(e) => e.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(t) => matches!(t, ureq::Timeout::Connect | ureq::Timeout::Resolve),
        _ => false,
    };
    if refused {
        PlatformError::Unavailable(e.to_string())
    } else {
        PlatformError::ReplyLost(e.to_string())
    }
}
