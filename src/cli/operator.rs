//! Speaks to an instance's operator address.

use std::{net::SocketAddr, time::Duration};

use http::Response;
use serde::de::DeserializeOwned;
use ureq::{Agent, Body};

use super::{CommandError, Options, options::read_file};
use crate::{context::Context, instance::operators::api::Problem, platform::http::agent};

/// Longest wait for an answer; an apply of a large file stores many objects.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Largest answer read.
const RESPONSE_BYTES_MAX: u64 = 256 << 20;

/// An instance as an operator reaches it.
pub(super) struct OperatorClient {
    agent: Agent,
    address: SocketAddr,
    credential: String,
    name: String,
}

impl OperatorClient {
    /// Takes the address, credential and name from options and environment.
    pub(super) fn from_options(
        options: &mut Options,
        cx: &Context,
    ) -> Result<OperatorClient, CommandError> {
        let address: Option<SocketAddr> = options.value("--at")?;
        let address = match (address, cx.variable("CARTVANE_AT")) {
            (Some(address), _) => address,
            (None, Some(text)) => text.parse().map_err(|_| {
                CommandError::Usage(format!("CARTVANE_AT={text:?} is no address; write IP:PORT"))
            })?,
            (None, None) => {
                return Err(CommandError::Usage(
                    "state an instance's operator address with --at or CARTVANE_AT".to_owned(),
                ));
            }
        };
        let file: Option<String> = options.value("--credential-file")?;
        let credential = match (file, cx.variable("CARTVANE_CREDENTIAL")) {
            (Some(path), _) => read_file(&path)?.trim().to_owned(),
            (None, Some(credential)) => credential,
            (None, None) => {
                return Err(CommandError::Usage(
                    "state the credential with --credential-file or CARTVANE_CREDENTIAL".to_owned(),
                ));
            }
        };
        let name: Option<String> = options.value("--as")?;
        let name = name.or_else(|| cx.variable("USER")).unwrap_or_else(|| "operator".to_owned());
        Ok(OperatorClient { agent: agent(TIMEOUT), address, credential, name })
    }

    /// Gets `path`.
    pub(super) fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, &str)],
    ) -> Result<T, CommandError> {
        let mut request = self.agent.get(self.url(path));
        for (name, value) in query {
            request = request.query(name, value);
        }
        let request = request
            .header("authorization", format!("Bearer {}", self.credential))
            .header("cartvane-operator", &self.name);
        self.parse_response(request.call())
    }

    /// Posts `body` to `path`.
    pub(super) fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &[(&str, &str)],
        body: &str,
    ) -> Result<T, CommandError> {
        let mut request = self.agent.post(self.url(path));
        for (name, value) in query {
            request = request.query(name, value);
        }
        let request = request
            .header("authorization", format!("Bearer {}", self.credential))
            .header("cartvane-operator", &self.name)
            .header("content-type", "text/plain; charset=utf-8");
        self.parse_response(request.send(body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn parse_response<T: DeserializeOwned>(
        &self,
        result: Result<Response<Body>, ureq::Error>,
    ) -> Result<T, CommandError> {
        let address = self.address;
        let unreachable = |e: ureq::Error| {
            CommandError::Unreachable(format!(
                "no answer from the instance at {address} ({e}); check --at and that it runs"
            ))
        };
        let mut response = result.map_err(unreachable)?;
        let status = response.status().as_u16();
        let body = response
            .body_mut()
            .with_config()
            .limit(RESPONSE_BYTES_MAX)
            .read_to_vec()
            .map_err(unreachable)?;
        if status == 200 {
            return serde_json::from_slice(&body).map_err(|e| {
                CommandError::Unreachable(format!(
                    "the instance at {address} speaks another version ({e})"
                ))
            });
        }
        let problem: Option<Problem> = serde_json::from_slice(&body).ok();
        let detail = problem.map_or_else(|| format!("status {status}"), |p| p.detail);
        Err(if status == 503 {
            CommandError::Unreachable(detail)
        } else {
            CommandError::Refused(detail)
        })
    }
}
