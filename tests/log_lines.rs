//! The way of log lines to the output.

use std::io::{self, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use sapphirecroft::telemetry::LineBuffer;

/// An output that keeps what is written, and may be stuck for a while.
#[derive(Clone, Default)]
struct Output {
    written: Arc<Mutex<(String, usize)>>,
    stuck: Duration,
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        std::thread::sleep(self.stuck);
        let mut written = self.written.lock();
        written.0.push_str(&String::from_utf8_lossy(buf));
        written.1 += 1;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are lost or out of order at the end of a process, and against one
/// write for each line.
#[test]
fn lines_that_wait_at_the_end_are_written() {
    let output = Output::default();
    let (mut lines, guard) = LineBuffer::start(output.clone()).expect("starts");

    for number in 0..1000 {
        writeln!(lines, "line {number}").expect("never fails");
    }
    drop(guard);

    let written = output.written.lock();
    let expected: String = (0..1000).map(|number| format!("line {number}\n")).collect();
    assert_eq!(written.0, expected);
    assert!(written.1 < 100, "{} writes", written.1);
}

/// Guards against a daemon that waits for a reader of its log, and against drops that nobody sees.
#[test]
fn a_stuck_output_blocks_nobody_and_drops_are_counted() {
    let output = Output {
        stuck: Duration::from_millis(300),
        ..Output::default()
    };
    let (mut lines, guard) = LineBuffer::start(output.clone()).expect("starts");
    let line = "x".repeat(1023);

    let began = Instant::now();
    for _ in 0..2000 {
        writeln!(lines, "{line}").expect("never fails");
    }
    let took = began.elapsed();
    drop(guard);

    assert!(took < Duration::from_millis(250), "took {took:?}");
    let written = output.written.lock();
    assert!(written.0.contains("log lines dropped"));
    assert!(written.0.len() < 1200 * 1024, "{} bytes", written.0.len());
}
