//! A caller: sends one request on a new connection and tells exactly what came back.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use cartvane::{
    clock::Clock,
    link::http1::{BodyReader, Conn, HeadError, ReadError, ResponseHead},
};
use http::HeaderMap;

/// Largest head read.
const HEAD_MAX: usize = 64 << 10;

/// A request to be sent.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers beside host and length.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Longest wait for anything.
    pub timeout: Duration,
}

/// What came back.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// Status; zero when no head came.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the body came to the end that its framing announces.
    pub whole: bool,
    /// Time to the first byte of the body.
    pub first_byte: Option<Duration>,
    /// Times of the pieces of the body.
    pub pieces: Vec<Duration>,
}

impl Call {
    /// Returns a POST by a team.
    pub fn post(target: &str, key: &str, body: impl Into<Vec<u8>>) -> Call {
        Call {
            method: "POST".to_owned(),
            target: target.to_owned(),
            headers: vec![("authorization".to_owned(), format!("Bearer {key}"))],
            body: body.into(),
            timeout: Duration::from_secs(30),
        }
    }

    /// Returns the request with one more header.
    pub fn with(mut self, name: &str, value: impl ToString) -> Call {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    /// Returns the request's bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let mut buf =
            format!("{} {} HTTP/1.1\r\nhost: cartvane\r\n", self.method, self.target).into_bytes();
        for (name, value) in &self.headers {
            buf.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        buf.extend_from_slice(format!("content-length: {}\r\n\r\n", self.body.len()).as_bytes());
        buf.extend_from_slice(&self.body);
        buf
    }

    /// Sends the request on a new connection and reads what comes back.
    pub fn send(&self, to: SocketAddr) -> Answer {
        match Conn::connect(to, self.timeout, &Clock::system()) {
            Ok(mut conn) => self.send_on(&mut conn),
            Err(_) => Answer::default(),
        }
    }

    /// Sends the request on `conn` and reads what comes back.
    pub fn send_on(&self, conn: &mut Conn) -> Answer {
        let mut answer = Answer::default();
        let began = Instant::now();
        if conn.send(&self.bytes(), self.timeout).is_err() {
            return answer;
        }
        // What was read before a fault stays in the answer.
        let _ = self.read(conn, began, &mut answer);
        answer
    }

    fn read(&self, conn: &mut Conn, began: Instant, answer: &mut Answer) -> Result<(), HeadError> {
        let until = began + self.timeout;
        let head = ResponseHead::read(conn, HEAD_MAX, until, &mut || true)?;
        answer.status = head.status.as_u16();
        answer.headers = head.headers.clone();
        let method = http::Method::from_bytes(self.method.as_bytes()).unwrap_or_default();
        let mut reader = BodyReader::new(head.framing(&method)?);
        loop {
            match reader.next(conn, until, &mut || true) {
                Ok(Some(piece)) => {
                    answer.first_byte.get_or_insert_with(|| began.elapsed());
                    answer.pieces.push(began.elapsed());
                    answer.body.extend_from_slice(&piece);
                }
                Ok(None) => {
                    answer.whole = true;
                    return Ok(());
                }
                Err(fault) => return Err(ReadError::into(fault)),
            }
        }
    }
}

impl Answer {
    /// Returns a header as text; empty when it is not there.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns what the router says became of the request.
    pub fn outcome(&self) -> &str {
        self.header("cartvane-outcome")
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}
