//! Writes of log lines to the output.

use std::io::{self, Write};

use cartvane::gateway::log_sink::write_lines;

/// Output that keeps each write.
#[derive(Default)]
struct Writes(Vec<Vec<u8>>);

impl Write for Writes {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.push(buf.to_vec());
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are missing from what a collector of output keeps: it cut each write after 8 KB, and the
/// lines of a moment after a suspension were lost.
#[test]
fn a_burst_of_lines_is_written_in_whole_lines_of_at_most_a_pipes_atomic_size() {
    let lines: Vec<String> = (0..200).map(|n| format!("{n}:{}", "x".repeat(n % 300))).collect();
    let mut out = Writes::default();
    write_lines(&mut out, &lines).expect("written");
    assert!(out.0.iter().all(|write| write.len() <= 4096 && write.ends_with(b"\n")));
    let written = out.0.concat();
    assert_eq!(written, format!("{}\n", lines.join("\n")).into_bytes());
}

#[test]
fn a_line_longer_than_a_write_is_written_by_itself() {
    let lines = ["short".to_owned(), "y".repeat(9000), "last".to_owned()];
    let mut out = Writes::default();
    write_lines(&mut out, &lines).expect("written");
    let lengths: Vec<usize> = out.0.iter().map(Vec::len).collect();
    assert_eq!(lengths, [6, 9001, 5]);
}
