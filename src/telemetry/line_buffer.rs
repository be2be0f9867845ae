//! Log lines on their way to an output, gathered so that few writes carry many lines.

use std::io::{self, Write};
use std::thread::JoinHandle;
use std::time::Duration;

use parking_lot::{Condvar, Mutex};
use tracing_subscriber::fmt::MakeWriter;

use crate::prelude::*;

/// Time for which lines are gathered; a process that is killed loses as much of its log.
const GATHER: Duration = Duration::from_millis(30);

/// Most bytes that wait; with `GATHER` at most 17 MB a second.
const MAX_WAITING: usize = 512 << 10;

#[derive(Default)]
struct Waiting {
    lines: Vec<u8>,
    dropped: u64,
    closed: bool,
}

#[derive(Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    ready: Condvar,
}

/// Takes lines without ever blocking; lines over the bound are dropped and counted.
#[derive(Clone)]
pub struct LineBuffer {
    shared: Arc<Shared>,
}

/// Writes what waits until it is dropped.
pub struct LineGuard {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl LineBuffer {
    /// Starts a thread that writes the lines to `output`.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<(Self, LineGuard)> {
        let shared = Arc::new(Shared::default());
        let own = shared.clone();
        let thread = std::thread::Builder::new()
            .name("log-writer".to_string())
            .spawn(move || write_lines(&own, output))?;
        let guard = LineGuard {
            shared: shared.clone(),
            thread: Some(thread),
        };
        Ok((Self { shared }, guard))
    }
}

impl Write for LineBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut waiting = self.shared.waiting.lock();
        if waiting.lines.len() + buf.len() > MAX_WAITING {
            waiting.dropped += 1;
        } else {
            let was_empty = waiting.lines.is_empty();
            waiting.lines.extend_from_slice(buf);
            if was_empty {
                self.shared.ready.notify_one();
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineBuffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}

impl Drop for LineGuard {
    fn drop(&mut self) {
        self.shared.waiting.lock().closed = true;
        self.shared.ready.notify_one();
        if let Some(thread) = self.thread.take() {
            // A panic of the writer has been printed already; nothing is left to save.
            let _ = thread.join();
        }
    }
}

fn write_lines(shared: &Shared, mut output: impl Write) {
    loop {
        let mut waiting = shared.waiting.lock();
        while waiting.lines.is_empty() && !waiting.closed {
            shared.ready.wait(&mut waiting);
        }
        if !waiting.closed {
            // Wakes early if the log is closed meanwhile.
            shared.ready.wait_for(&mut waiting, GATHER);
        }
        let lines = std::mem::take(&mut waiting.lines);
        let dropped = std::mem::take(&mut waiting.dropped);
        let closed = waiting.closed;
        drop(waiting);
        let written = output.write_all(&lines).and_then(|()| {
            if dropped > 0 {
                let message = "log lines dropped";
                writeln!(
                    output,
                    r#"{{"level":"WARN","message":"{message}","lines":{dropped},"limit_bytes":{MAX_WAITING}}}"#
                )?;
            }
            output.flush()
        });
        // Without an output there is nowhere to report to; later lines are dropped, too.
        if written.is_err() || closed {
            return;
        }
    }
}
