//! A connection that accounts for what it receives and can be closed from outside.

use std::io;
use std::net::Shutdown;
use std::time::Duration;

use tokio::net::TcpStream;
use xitca_io::io::{AsyncBufRead, AsyncBufWrite, BoundedBuf, BoundedBufMut};

use super::connection::ConnectionId;
use super::inbound_state::Inbound;
use crate::prelude::*;

/// Time for which a client may take no byte of an answer.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Memory that has to be free before a read: the server reads about as much at once.
const READ_BYTES: usize = 16 << 10;

/// Bytes that are held for a byte of a head, whose buffer grows by doubling.
const HEAD_BUFFER_FACTOR: usize = 2;

/// A connection of a client.
pub(in crate::web) struct GuardedStream {
    stream: TcpStream,
    entry: Entry,
}

/// The entry of a connection in the table, removed with the connection.
struct Entry {
    inbound: Arc<Inbound>,
    id: ConnectionId,
    number: u64,
    close: CancellationToken,
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.inbound.remove(&self.id, self.number);
    }
}

impl GuardedStream {
    /// Adds a connection to the table; `None` if there is no room for it.
    pub fn open(stream: TcpStream, inbound: &Arc<Inbound>, id: ConnectionId) -> Option<Self> {
        let close = CancellationToken::new();
        let number = inbound.open(id, close.clone())?;
        let entry = Entry {
            inbound: inbound.clone(),
            id,
            number,
            close,
        };
        Some(Self { stream, entry })
    }

    fn closed() -> io::Error {
        io::Error::new(
            io::ErrorKind::ConnectionAborted,
            "connection closed to keep the limits of this VM",
        )
    }
}

impl AsyncBufRead for GuardedStream {
    async fn read<B: BoundedBufMut>(&self, buf: B) -> (io::Result<usize>, B) {
        // The buffer has to be returned, so what is awaited here is not the read itself.
        let ready = async {
            self.stream.readable().await?;
            self.entry.inbound.room(READ_BYTES).await;
            Ok(())
        };
        let readable = tokio::select! {
            () = self.entry.close.cancelled() => Err(Self::closed()),
            ready = ready => ready,
        };
        if let Err(err) = readable {
            return (Err(err), buf);
        }
        let (read, buf) = AsyncBufRead::read(&self.stream, buf).await;
        if let Ok(bytes) = read {
            let held = bytes * HEAD_BUFFER_FACTOR;
            self.entry.inbound.receive(&self.entry.id, held);
        }
        (read, buf)
    }
}

impl AsyncBufWrite for GuardedStream {
    async fn write<B: BoundedBuf>(&self, buf: B) -> (io::Result<usize>, B) {
        let writable = tokio::time::timeout(WRITE_STALL_TIMEOUT, self.stream.writable()).await;
        let writable = writable.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        if let Err(err) = writable {
            return (Err(err), buf);
        }
        AsyncBufWrite::write(&self.stream, buf).await
    }

    async fn shutdown(self, direction: Shutdown) -> io::Result<()> {
        AsyncBufWrite::shutdown(self.stream, direction).await
    }
}
