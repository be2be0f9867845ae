//! Buffered writing of log lines to the output.

use std::io::{self, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use sapphirecroft::telemetry::LineBuffer;

/// An output that records what is written; each write blocks for `write_delay`.
#[derive(Clone, Default)]
struct Output {
    written: Arc<Mutex<(String, usize)>>,
    write_delay: Duration,
}

impl Write for Output {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        std::thread::sleep(self.write_delay);
        let mut written = self.written.lock();
        written.0.push_str(&String::from_utf8_lossy(buf));
        written.1 += 1;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against lines that are lost or reordered when the process ends with lines in the buffer,
/// and against one write per line.
#[test]
fn buffered_lines_are_written_at_shutdown() {
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

/// Guards against a daemon that blocks on a slow reader of its log, and against lines that are
/// dropped without a notice in the log.
#[test]
fn blocked_output_drops_lines_instead_of_blocking() {
    let output = Output {
        write_delay: Duration::from_millis(300),
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
