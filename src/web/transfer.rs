//! Time limits of transfers, which follow from their progress and size.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::{Instant, timeout_at};

use crate::prelude::*;

/// Time without a byte after which an answer that has begun is given up. A lost packet is sent again
/// after 200 ms, a second time after 400 ms more.
const STALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Bytes a second below which an answer is given up although it makes progress: an eightieth of the
/// narrowest link of an entry VM (10 Mbit/s), which transfers share and which may be impaired.
const SLOWEST_ANSWER: f64 = 16.0 * 1024.0;

/// Bytes a second that a request is assumed to be sent at least with: a fifth of the narrowest link.
const SLOWEST_REQUEST: f64 = 256.0 * 1024.0;

/// Why an answer was not read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum TransferError {
    /// No byte arrived for too long.
    #[error("answer stalled after {received} bytes in {elapsed} ms")]
    Stalled {
        /// Bytes that had arrived.
        received: usize,
        /// Time since the answer had begun.
        elapsed: Millis,
    },
    /// The answer made progress, but too little.
    #[error("answer is too slow: {received} bytes in {elapsed} ms")]
    Slow {
        /// Bytes that had arrived.
        received: usize,
        /// Time since the answer had begun.
        elapsed: Millis,
    },
    /// The answer is larger than the caller takes.
    #[error("answer exceeds {limit} bytes")]
    TooLarge {
        /// Most bytes that the caller takes.
        limit: usize,
    },
    /// The connection failed.
    #[error("answer was broken off after {received} bytes: {reason}")]
    Broken {
        /// Bytes that had arrived.
        received: usize,
        /// What went wrong.
        reason: String,
    },
}

/// Returns the time that sending a request of this size may take. How much of it has left the VM
/// cannot be seen behind the buffers of the kernel, so this follows from the size alone.
pub(super) fn request_time(bytes: usize) -> Duration {
    time_at(bytes, SLOWEST_REQUEST)
}

/// Reads an answer whose head has arrived. It may take as long as it makes progress.
pub(super) async fn read_answer<B>(mut body: B, limit: usize) -> Result<Bytes, TransferError>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: std::fmt::Display,
{
    let started = Instant::now();
    let expected = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if expected > limit {
        return Err(TransferError::TooLarge { limit });
    }
    let mut buf = BytesMut::new();
    loop {
        let received = buf.len();
        let slow_at = started + STALL_TIMEOUT + time_at(received, SLOWEST_ANSWER);
        let stalled_at = Instant::now() + STALL_TIMEOUT;
        let Ok(frame) = timeout_at(slow_at.min(stalled_at), body.frame()).await else {
            let elapsed = Millis::from(started.elapsed());
            return Err(match slow_at < stalled_at {
                true => TransferError::Slow { received, elapsed },
                false => TransferError::Stalled { received, elapsed },
            });
        };
        let data = match frame {
            None => return Ok(buf.freeze()),
            Some(Err(err)) => {
                let reason = err.to_string();
                return Err(TransferError::Broken { received, reason });
            }
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        if received + data.len() > limit {
            return Err(TransferError::TooLarge { limit });
        }
        if received == 0 && data.len() == expected {
            // The usual answer is one frame, which is passed on without a copy.
            return Ok(data);
        }
        if received == 0 {
            buf.reserve(expected.max(data.len()));
        }
        buf.extend_from_slice(&data);
    }
}

fn time_at(bytes: usize, bytes_per_s: f64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / bytes_per_s)
}
