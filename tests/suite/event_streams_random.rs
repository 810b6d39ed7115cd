//! Random event streams, in pieces of any size and cut anywhere.

use cartvane::{contract::event_scanner::EventScanner, routing::EventSplitter};
use fastrand::Rng;

use crate::support::{cases, seed};

/// Number of random streams.
const CASES: u64 = 300;

/// A stream of events and comments, with the positions at which it is between two events.
struct Stream {
    bytes: Vec<u8>,
    /// Each position at which it may end, with the id of the last event before it.
    ends: Vec<(usize, Option<String>)>,
}

/// Returns a stream whose lines all end alike. Its events have ids, but for a few that only state when to reconnect.
fn random_stream(rng: &mut Rng) -> Stream {
    let line_end = ["\n", "\r\n", "\r"][rng.usize(..3)];
    let (mut bytes, mut ends, mut last_id) = (Vec::new(), vec![(0, None)], None);
    for number in 1..rng.usize(2..12) {
        let lines = match rng.usize(..10) {
            0 => vec![": a comment".to_owned()],
            1 => vec!["retry: 100".to_owned(), String::new()],
            _ => {
                last_id = Some(number.to_string());
                let mut lines = vec![format!("id: {number}")];
                lines.extend(
                    (0..rng.usize(1..3)).map(|_| format!("data:{}", "é:x ".repeat(rng.usize(..9)))),
                );
                if rng.bool() {
                    lines.reverse();
                }
                lines.push(String::new());
                lines
            }
        };
        lines
            .iter()
            .for_each(|line| bytes.extend_from_slice(format!("{line}{line_end}").as_bytes()));
        if lines.len() == 1 && line_end == "\r\n" {
            // The CR alone ends a comment too.
            ends.push((bytes.len() - 1, last_id.clone()));
        }
        ends.push((bytes.len(), last_id.clone()));
    }
    Stream { bytes, ends }
}

/// Returns the bytes in pieces of random sizes.
fn pieces<'b>(rng: &mut Rng, mut bytes: &'b [u8]) -> Vec<&'b [u8]> {
    let most = [1, 3, 40][rng.usize(..3)];
    let mut pieces = Vec::new();
    while !bytes.is_empty() {
        let (piece, rest) = bytes.split_at(rng.usize(1..=most).min(bytes.len()));
        pieces.push(piece);
        bytes = rest;
    }
    pieces
}

/// Returns the streams of all cases, with the generator for what is drawn about them.
fn streams(base: u64) -> impl Iterator<Item = (u64, Stream, Rng)> {
    (0..cases(CASES)).map(move |case| {
        let mut rng = Rng::with_seed(seed(base + case));
        (case, random_stream(&mut rng), rng)
    })
}

/// Guards against a cut that counts as the end of a stream, and an end that counts as a cut.
#[test]
fn a_stream_is_complete_only_between_two_events() {
    for (case, stream, mut rng) in streams(7_100_000) {
        for cut in 0..=stream.bytes.len() {
            let mut scanner = EventScanner::default();
            for piece in pieces(&mut rng, &stream.bytes[..cut]) {
                scanner.scan(piece);
            }
            let end = stream.ends.iter().find(|(end, _)| *end == cut);
            assert_eq!(!scanner.is_inside_event(), end.is_some(), "case {case}, cut at {cut}");
            if let Some((_, id)) = end {
                assert_eq!(scanner.last_id(), id.as_deref(), "case {case}, cut at {cut}");
            }
        }
    }
}

/// Guards against events that are lost, doubled or joined when a stream goes on after a cut.
#[test]
fn a_stream_that_goes_on_after_its_last_complete_event_is_whole() {
    for (case, stream, mut rng) in streams(7_200_000) {
        let cut = rng.usize(..=stream.bytes.len());
        let mut splitter = EventSplitter::default();
        let mut caller = Vec::new();
        for piece in pieces(&mut rng, &stream.bytes[..cut]) {
            caller.extend(splitter.push(piece));
        }
        let (resumed_at, _) = stream.ends.iter().rfind(|(end, _)| *end <= cut).expect("the start");
        assert_eq!(caller, &stream.bytes[..*resumed_at], "case {case}, cut at {cut}");
        splitter.discard_partial();
        for piece in pieces(&mut rng, &stream.bytes[*resumed_at..]) {
            caller.extend(splitter.push(piece));
        }
        assert_eq!(caller, stream.bytes, "case {case}, cut at {cut}");
    }
}

/// Guards against a resumption at a wrong event: where the id of the last one is not known as a whole, or it has none.
#[test]
fn a_stream_is_not_resumed_after_an_event_whose_id_is_not_known() {
    let mut splitter = EventSplitter::after(Some("4".to_owned()));
    assert_eq!(splitter.push(b"data: x\nid: 1"), b"");
    assert_eq!(splitter.take_partial(), b"data: x\nid: 1");
    assert!(!splitter.is_between_events());
    assert_eq!(splitter.push(b"2\n\n"), b"2\n\n");
    assert!(splitter.is_between_events());
    assert_eq!(splitter.last_id(), Some("12"));
    assert_eq!(splitter.push(b"retry: 5\n\n"), b"retry: 5\n\n");
    assert_eq!(splitter.last_id(), Some("12"), "an event without data changes nothing");
    assert_eq!(splitter.push(b"data: y\n\n"), b"data: y\n\n");
    assert_eq!(splitter.last_id(), None);
}
