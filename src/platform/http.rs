//! The platform's services over HTTP, with `ureq`.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::Response;
use ureq::{Agent, Body, config::AutoHeaderValue};

use super::{
    MemberChanges, Members, Objects, Platform, PlatformError, Row, Table, TransactReply,
    Transaction,
};
use crate::utils::secret::Secret;

/// Maximum size of a reply's body.
const REPLY_MAX_BYTES: u64 = 64 << 20;

/// Approximate length of a request line without the path (`PUT  HTTP/1.1`), or of a status line.
const START_LINE_BYTES: usize = 15;

/// Addresses of the platform's services, and how to connect to them.
pub struct HttpPlatform {
    /// Address of the table.
    pub table: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the membership list.
    pub members: SocketAddr,
    /// Timeout for a whole call.
    pub timeout: Duration,
    /// Credential sent as a bearer token.
    pub credential: Option<Secret>,
}

struct Client {
    agent: Agent,
    credential: Option<Secret>,
    record_bytes: Box<dyn Fn(usize, usize) + Send + Sync>,
}

struct Reply {
    status: u16,
    body: Vec<u8>,
}

impl HttpPlatform {
    /// Returns clients of the services. `record_bytes` is called for every call with the approximate number of bytes
    /// sent and received.
    pub fn connect(self, record_bytes: impl Fn(usize, usize) + Send + Sync + 'static) -> Platform {
        let agent = agent(self.timeout);
        let client =
            Client { agent, credential: self.credential, record_bytes: Box::new(record_bytes) };
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

/// Returns an HTTP client that sends each request once: it follows no redirects, uses no proxy and adds no optional
/// headers.
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
        let head = START_LINE_BYTES
            + path.len()
            + "host: 127.0.0.1:00000\r\ncontent-length: 000\r\n\r\n".len();
        let mut response = match result {
            Ok(response) => response,
            Err(error) => {
                (self.record_bytes)(head + credential + sent, 0);
                return Err(platform_error(error));
            }
        };
        let response_headers: usize = response
            .headers()
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len() + 4)
            .sum();
        let body = response
            .body_mut()
            .with_config()
            .limit(REPLY_MAX_BYTES)
            .read_to_vec()
            .map_err(platform_error)?;
        (self.record_bytes)(
            head + credential + sent,
            START_LINE_BYTES + response_headers + body.len(),
        );
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
        check_status(&reply)
    }

    fn get_object(&self, at: SocketAddr, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let reply = self.get(at, &format!("/objects/{key}"))?;
        if reply.status == 404 {
            return Ok(None);
        }
        check_status(&reply)?;
        Ok(Some(reply.body))
    }

    fn members(&self, at: SocketAddr, version: u64) -> Result<MemberChanges, PlatformError> {
        parse(&self.get(at, &format!("/members?since={version}"))?)
    }
}

fn check_status(reply: &Reply) -> Result<(), PlatformError> {
    match reply.status {
        200..=299 => Ok(()),
        status => Err(PlatformError::InvalidReply(format!("status {status}"))),
    }
}

fn parse<T: serde::de::DeserializeOwned>(reply: &Reply) -> Result<T, PlatformError> {
    check_status(reply)?;
    serde_json::from_slice(&reply.body).map_err(|e| PlatformError::InvalidReply(e.to_string()))
}

fn platform_error(error: ureq::Error) -> PlatformError {
    let not_sent = match &error {
        ureq::Error::Io(error) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(timeout) => {
            matches!(timeout, ureq::Timeout::Connect | ureq::Timeout::Resolve)
        }
        _ => false,
    };
    if not_sent {
        PlatformError::Unavailable(error.to_string())
    } else {
        PlatformError::ReplyLost(error.to_string())
    }
}
