//! Streams that end inside an event, however they are framed: callers never get them as complete, and streams that
//! arrive whole are passed on whole.

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use standins::{
    caller::Answer,
    fault::Fault,
    listed::{EVENTS, large_event},
};

use crate::testbed::{KEY, Testbed, call, start_sharing};

/// Queries for all line ends, and the line ends.
const LINE_ENDS: [(&str, &str); 3] = [("lf", "\n"), ("crlf", "\r\n"), ("cr", "\r")];

/// Bytes by which events are longer than usual: held until they are complete, beyond the bytes held for each request,
/// and passed on in parts.
const EXTRA_BYTES: [usize; 4] = [0, 5_000, 70_000, 160_000];

/// Size from which an event is passed on in parts.
const SPLIT_FROM: usize = 64 << 10;

/// Where a stream breaks off: after some events, and inside the next one.
#[derive(Debug, Clone, Copy)]
enum Part {
    FirstBytes,
    Half,
    /// All but the last byte, which is half of the event's end.
    AllButLast,
}

impl Part {
    fn len(self, event: usize) -> usize {
        match self {
            Part::FirstBytes => 5,
            Part::Half => event / 2,
            Part::AllButLast => event - 1,
        }
    }
}

const PLACES: [(usize, Part); 5] = [
    (0, Part::FirstBytes),
    (0, Part::AllButLast),
    (3, Part::Half),
    (3, Part::AllButLast),
    (EVENTS - 1, Part::AllButLast),
];

/// A stream as a caller asks for it.
#[derive(Debug, Clone, Copy)]
struct Form {
    route: &'static str,
    lines: (&'static str, &'static str),
    extra: usize,
    is_unframed: bool,
}

impl Form {
    fn event(&self, number: usize) -> String {
        large_event(number, self.extra).replace('\n', self.lines.1)
    }

    fn whole(&self) -> String {
        (1..=EVENTS).map(|number| self.event(number)).collect()
    }

    fn target(&self) -> String {
        let framing = if self.is_unframed { "&unframed=1" } else { "" };
        format!("/{}/stream?lines={}&bytes={}{framing}", self.route, self.lines.0, self.extra)
    }

    fn send(&self, testbed: &Testbed, id: &str) -> Answer {
        testbed.send(&call(&self.target(), id).with("connection", "close"))
    }
}

fn forms(route: &'static str) -> impl Iterator<Item = Form> {
    let framings = [true, false];
    LINE_ENDS.into_iter().flat_map(move |lines| {
        EXTRA_BYTES.into_iter().flat_map(move |extra| {
            framings.map(move |is_unframed| Form { route, lines, extra, is_unframed })
        })
    })
}

/// Sends a request of which one run breaks off for each form and place; returns what `check` finds wrong.
fn break_off(
    route: &'static str,
    check: impl Fn(&Form, &Answer) -> Result<(), &'static str>,
) -> Vec<String> {
    let mut wrong = Vec::new();
    for form in forms(route) {
        // Each form has a retry budget of its own.
        let testbed = start_sharing(3);
        for (after, part) in PLACES {
            let fault = Fault::BreakInside(after, part.len(form.event(after + 1).len()));
            testbed.servers[0].faults.push([fault]);
            let answer = form.send(&testbed, &format!("r{}", wrong.len()));
            testbed.servers[0].faults.clear();
            if let Err(what) = check(&form, &answer) {
                let (status, bytes) = (answer.status, answer.body.len());
                wrong.push(format!("{what}: {status}, {bytes} bytes, {form:?} {after} {part:?}"));
            }
        }
    }
    wrong
}

fn is_beginning(form: &Form, answer: &Answer) -> bool {
    answer.status != 200 || form.whole().as_bytes().starts_with(&answer.body)
}

/// Guards against a stream that broke off inside an event and reaches its caller with an end that says it is complete.
#[test]
fn a_stream_that_ends_inside_an_event_never_looks_complete() {
    let wrong = break_off("stream", |form, answer| {
        if answer.status == 200 && answer.whole {
            return Err("looks complete");
        }
        if is_beginning(form, answer) { Ok(()) } else { Err("is no beginning") }
    });
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards against a resumable stream that broke off inside an event and is not resumed after its last complete event.
#[test]
fn a_resumable_stream_that_ends_inside_an_event_is_resumed() {
    let wrong = break_off("stream-resumable", |form, answer| {
        if form.extra > SPLIT_FROM {
            // A part of the event may have been passed on: such a stream ends visibly.
            let is_whole = answer.body == form.whole().as_bytes();
            let is_sound = if answer.whole { is_whole } else { is_beginning(form, answer) };
            return if is_sound { Ok(()) } else { Err("looks complete") };
        }
        let is_whole = answer.whole && answer.body == form.whole().as_bytes();
        if is_whole { Ok(()) } else { Err("is not whole") }
    });
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards against an event stream on a route for whole responses that is collected although it broke off.
#[test]
fn a_collected_event_stream_that_ends_inside_an_event_is_retried() {
    let wrong = break_off("idem", |form, answer| {
        let is_whole = answer.whole && answer.body == form.whole().as_bytes();
        if answer.whole && !is_whole {
            return Err("looks complete");
        }
        let may_be_cut = form.extra > SPLIT_FROM && is_beginning(form, answer);
        if is_whole || may_be_cut { Ok(()) } else { Err("is not whole") }
    });
    assert!(wrong.is_empty(), "{} wrong:\n{}", wrong.len(), wrong.join("\n"));
}

/// Guards against a check that takes sound streams for broken ones, and against events that wait for the stream's end.
#[test]
fn sound_streams_arrive_whole_and_event_by_event() {
    let testbed = start_sharing(3);
    for form in forms("stream").chain(forms("stream-resumable")) {
        let answer = form.send(&testbed, "r");
        assert_eq!((answer.status, answer.whole), (200, true), "{form:?}");
        assert!(answer.body == form.whole().as_bytes(), "{form:?}: {} bytes", answer.body.len());
        assert!(answer.pieces.len() > 2, "{form:?}: {} pieces", answer.pieces.len());
        assert_eq!(testbed.runs("r"), 1, "{form:?}");
        testbed.servers.iter().for_each(|server| server.forget_runs());
    }
}

/// Guards against a connection that the caller of HTTP/1.0 sees closed in order after a part of a stream.
#[test]
fn a_caller_of_http_1_0_sees_that_a_stream_broke_off() {
    let testbed = start_sharing(1);
    testbed.servers[0].faults.push([Fault::BreakInside(3, 5)]);
    let mut stream = TcpStream::connect(testbed.instance.callers()).expect("connected");
    let head = format!(
        "GET /stream/?unframed=1 HTTP/1.0\r\nhost: cartvane\r\nauthorization: Bearer {KEY}\r\n\
         x-request-id: r\r\nx-deadline-ms: 2000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("sent");
    let mut bytes = Vec::new();
    let end = stream.read_to_end(&mut bytes);
    assert!(end.is_err(), "closed in order after {:?}", String::from_utf8_lossy(&bytes));
}
