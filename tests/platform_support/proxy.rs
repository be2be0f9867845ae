//! A loopback TCP proxy that injects network faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};
use tokio::time::Instant;

/// Faults that the proxy injects.
#[derive(Clone, Copy, Debug, Default)]
struct FaultMode {
    delay: Duration,
    /// Drops bytes from callers; a connection that has lost bytes forwards no more.
    cut_up: bool,
    /// Drops bytes to callers.
    cut_down: bool,
    /// Connections with a lower number forward nothing.
    silent_before: u64,
    /// Connections with a lower number are closed.
    closed_before: u64,
    /// Number of connections so far.
    opened: u64,
    /// Bytes a second that all connections together carry to callers; 0 for no limit.
    rate: u64,
}

/// Time at which a link of limited rate has carried all bytes that were given to it.
type LinkFree = Arc<Mutex<Instant>>;

/// A proxy to one address.
pub struct FaultProxy {
    pub addr: SocketAddr,
    mode: watch::Sender<FaultMode>,
}

impl FaultProxy {
    /// Listens on a free port and forwards to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let addr = listener.local_addr().expect("address");
        let (mode, mode_changes) = watch::channel(FaultMode::default());
        let count = mode.clone();
        let link: LinkFree = Arc::new(Mutex::new(Instant::now()));
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let mut number = 0;
                count.send_modify(|mode| {
                    number = mode.opened;
                    mode.opened += 1;
                });
                let mode_changes = mode_changes.clone();
                let link = link.clone();
                tokio::spawn(async move {
                    let Ok(target) = TcpStream::connect(target).await else {
                        return;
                    };
                    // Disables Nagle's algorithm, which would delay small messages.
                    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
                    let (from_caller, to_caller) = caller.into_split();
                    let (from_target, to_target) = target.into_split();
                    tokio::join!(
                        forward(from_caller, to_target, mode_changes.clone(), number, None),
                        forward(from_target, to_caller, mode_changes, number, Some(link)),
                    );
                });
            }
        });
        Self { addr, mode }
    }

    /// Delays all bytes by this time.
    pub fn delay(&self, delay: Duration) {
        self.mode.send_modify(|mode| mode.delay = delay);
    }

    /// Drops the bytes of one or both directions, or of none.
    pub fn cut(&self, up: bool, down: bool) {
        self.mode.send_modify(|mode| {
            mode.cut_up = up;
            mode.cut_down = down;
        });
    }

    /// Limits the bytes a second that all connections together carry to callers; 0 ends the limit.
    pub fn limit_rate(&self, rate: u64) {
        self.mode.send_modify(|mode| mode.rate = rate);
    }

    /// Stops forwarding on all open connections for good; new connections work.
    pub fn silence_open(&self) {
        self.mode
            .send_modify(|mode| mode.silent_before = mode.opened);
    }

    /// Closes all open connections.
    pub fn reset_open(&self) {
        self.mode
            .send_modify(|mode| mode.closed_before = mode.opened);
    }

    /// Ends all faults. Connections that have lost bytes still forward nothing.
    pub fn heal(&self) {
        self.delay(Duration::ZERO);
        self.cut(false, false);
        self.limit_rate(0);
    }
}

/// Forwards the bytes of one direction; `link` is the link to the caller if they go there.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<FaultMode>,
    number: u64,
    link: Option<LinkFree>,
) {
    let mut buf = vec![0; 16 << 10];
    let mut silent = false;
    loop {
        let read = tokio::select! {
            read = from.read(&mut buf) => read.unwrap_or(0),
            changed = mode.changed() => {
                if changed.is_err() || mode.borrow().closed_before > number {
                    return;
                }
                continue;
            }
        };
        if read == 0 {
            return;
        }
        let now = *mode.borrow();
        let cut = if link.is_none() {
            now.cut_up
        } else {
            now.cut_down
        };
        silent |= cut || now.silent_before > number;
        if silent {
            continue;
        }
        tokio::time::sleep(now.delay).await;
        if let Some(link) = &link {
            carry(link, read, now.rate).await;
        }
        if to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}

/// Waits until a link of this rate has carried so many bytes more.
async fn carry(link: &LinkFree, bytes: usize, rate: u64) {
    if rate == 0 {
        return;
    }
    let free_at = {
        let mut free = link.lock().await;
        let time = Duration::from_secs_f64(bytes as f64 / rate as f64);
        *free = (*free).max(Instant::now()) + time;
        *free
    };
    tokio::time::sleep_until(free_at).await;
}
