//! A loopback proxy that delays, silences, cuts and resets connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What the link does to bytes.
#[derive(Clone, Copy, Debug, Default)]
struct Mode {
    delay: Duration,
    /// Bytes of callers get lost; a connection that has lost bytes stays silent.
    cut_up: bool,
    /// Bytes to callers get lost.
    cut_down: bool,
    /// Connections that were opened before this count of connections are silent.
    silent_before: u64,
    /// Connections that were opened before this count are closed.
    closed_before: u64,
    opened: u64,
}

/// A link to one address.
pub struct Proxy {
    pub addr: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Listens on a free port and forwards to `target`.
    pub async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port");
        let addr = listener.local_addr().expect("address");
        let (mode, seen) = watch::channel(Mode::default());
        let count = mode.clone();
        tokio::spawn(async move {
            while let Ok((caller, _)) = listener.accept().await {
                let mut number = 0;
                count.send_modify(|mode| {
                    number = mode.opened;
                    mode.opened += 1;
                });
                let seen = seen.clone();
                tokio::spawn(async move {
                    let Ok(target) = TcpStream::connect(target).await else {
                        return;
                    };
                    // Small messages must not wait for an acknowledgement of the last one.
                    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
                    let (from_caller, to_caller) = caller.into_split();
                    let (from_target, to_target) = target.into_split();
                    tokio::join!(
                        forward(from_caller, to_target, seen.clone(), number, true),
                        forward(from_target, to_caller, seen, number, false),
                    );
                });
            }
        });
        Self { addr, mode }
    }

    /// Holds all bytes back for this time.
    pub fn delay(&self, delay: Duration) {
        self.mode.send_modify(|mode| mode.delay = delay);
    }

    /// Loses the bytes of one or both directions.
    pub fn cut(&self, up: bool, down: bool) {
        self.mode.send_modify(|mode| {
            mode.cut_up = up;
            mode.cut_down = down;
        });
    }

    /// Silences all open connections for good; new ones work.
    pub fn silence_open(&self) {
        self.mode
            .send_modify(|mode| mode.silent_before = mode.opened);
    }

    /// Closes all open connections.
    pub fn reset_open(&self) {
        self.mode
            .send_modify(|mode| mode.closed_before = mode.opened);
    }

    /// Ends all troubles but the silence of connections that have lost bytes.
    pub fn heal(&self) {
        self.delay(Duration::ZERO);
        self.cut(false, false);
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    number: u64,
    up: bool,
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
        let cut = if up { now.cut_up } else { now.cut_down };
        silent |= cut || now.silent_before > number;
        if silent {
            continue;
        }
        tokio::time::sleep(now.delay).await;
        if to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
