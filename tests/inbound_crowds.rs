//! Crowds of clients that keep to no limit: the daemon stays within the memory and descriptors of its
//! VM and goes on serving.
//!
//! The tests measure the memory of one process, so one runs at a time.

mod platform_support;

use std::net::SocketAddr;
use std::time::Duration;

use platform_support::{Site, eventually, one_step_job};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Memory of the VM.
const MEMORY_MB: u64 = 64;

/// Descriptors of the VM.
const MAX_FDS: usize = 1024;

/// Connections of a crowd.
const CROWD: usize = 400;

/// Largest legal body.
const MAX_BODY: usize = 262_144;

/// Time after which a client writes no more: its daemon has stopped to read.
const WRITE_TIME: Duration = Duration::from_secs(20);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// What each client of a crowd sends.
type Pieces = Vec<Vec<u8>>;

async fn start_site(name: &str) -> Site {
    let limits = json!({"cpuShare": 1.0, "cores": 1, "memoryMb": MEMORY_MB, "maxFds": MAX_FDS});
    Site::start_with_limits(name, 1, 1, limits).await
}

/// Lets all clients of a crowd send their pieces at once. Returns the connections, which stay open.
async fn send_crowd(addr: SocketAddr, count: usize, pieces: &Pieces) -> Vec<TcpStream> {
    let mut clients = JoinSet::new();
    for _ in 0..count {
        let pieces = pieces.clone();
        clients.spawn(async move {
            let mut stream = TcpStream::connect(addr).await.ok()?;
            let write = async {
                for piece in &pieces {
                    // The daemon may close the connection at any time.
                    if stream.write_all(piece).await.is_err() {
                        return;
                    }
                }
            };
            let _ = tokio::time::timeout(WRITE_TIME, write).await;
            Some(stream)
        });
    }
    clients.join_all().await.into_iter().flatten().collect()
}

/// Checks what must hold after and beside a crowd whose connections are still open.
async fn assert_serves(site: &mut Site, crowd: Vec<TcpStream>) {
    let daemon = &mut site.daemons[0];
    assert!(!daemon.has_exited(), "the daemon has ended");
    let descriptors = daemon.open_descriptors();
    let peak = daemon.peak_memory();
    assert!(descriptors < MAX_FDS, "{descriptors} descriptors are open");
    assert!(peak < MEMORY_MB << 20, "{} KB at the peak", peak >> 10);
    eventually("an ordinary job is accepted", || async {
        let job = one_step_job(1, 100);
        site.submit(0, "00000000000000a1", &job).await == 200
    })
    .await;
    drop(crowd);
    let peak = site.daemons[0].peak_memory();
    assert!(peak < MEMORY_MB << 20, "{} KB at the peak", peak >> 10);
}

/// Lets a crowd of callers send these pieces to a daemon, and checks what must hold then.
async fn assert_daemon_bears_crowd(name: &str, pieces: &Pieces) {
    let _one = ONE_AT_A_TIME.lock().await;
    let mut site = start_site(name).await;

    let crowd = send_crowd(site.daemons[0].frontend, CROWD, pieces).await;

    assert_serves(&mut site, crowd).await;
}

fn head(id: u64, framing: &str) -> Vec<u8> {
    format!(
        "POST /queue/{id:016x} HTTP/1.1\r\nhost: host.example\r\n\
         content-type: application/json\r\n{framing}\r\n\r\n"
    )
    .into_bytes()
}

/// Pieces of a body of legal size that lacks its last byte.
fn body_without_end(piece: usize) -> Pieces {
    let body = vec![b' '; MAX_BODY - 1];
    let head = head(1, &format!("content-length: {MAX_BODY}"));
    std::iter::once(head)
        .chain(body.chunks(piece).map(<[u8]>::to_vec))
        .collect()
}

/// A chunked body of legal size without its last chunk, and the size of its chunks.
fn chunked_body_without_end(chunk: usize) -> Pieces {
    let mut body = Vec::new();
    for _ in 0..(MAX_BODY - 1) / chunk {
        body.extend(format!("{chunk:x}\r\n").into_bytes());
        body.extend(vec![b' '; chunk]);
        body.extend(b"\r\n");
    }
    let head = head(1, "transfer-encoding: chunked");
    std::iter::once(head)
        .chain(body.chunks(16 << 10).map(<[u8]>::to_vec))
        .collect()
}

/// Guards against a process that keeps the heads of all its clients, whatever their length.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_end_take_no_more_memory_than_there_is() {
    let mut pieces = vec![b"GET /queue/ HTTP/1.1\r\n".to_vec()];
    pieces.extend((0..50).map(|at| format!("x-{at}: {}\r\n", "x".repeat(4000)).into_bytes()));

    assert_daemon_bears_crowd("heads", &pieces).await;
}

/// Guards against empty lines before a request that are kept until the request comes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_lines_without_end_take_no_more_memory_than_there_is() {
    let pieces = vec![b"\r\n".repeat(2000); 50];

    assert_daemon_bears_crowd("lines", &pieces).await;
}

/// Guards against bodies of legal size that are held until their ends come.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_without_end_take_no_more_memory_than_there_is() {
    let pieces = body_without_end(MAX_BODY);

    assert_daemon_bears_crowd("bodies", &pieces).await;
}

/// Guards against the same bodies if they come in pieces.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_in_pieces_without_end_take_no_more_memory_than_there_is() {
    let pieces = body_without_end(4096);

    assert_daemon_bears_crowd("pieces", &pieces).await;
}

/// Guards against chunked bodies, whose length no head tells.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_chunks_without_end_take_no_more_memory_than_there_is() {
    let pieces = chunked_body_without_end(64 << 10);

    assert_daemon_bears_crowd("chunks", &pieces).await;
}

/// Guards against chunked bodies that are mostly framing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_chunks_without_end_take_no_more_memory_than_there_is() {
    let pieces = chunked_body_without_end(1);

    assert_daemon_bears_crowd("small-chunks", &pieces).await;
}

/// Guards against the same on the ports of peers and of the readiness check.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_on_other_ports_take_no_more_memory_than_there_is() {
    let _one = ONE_AT_A_TIME.lock().await;
    let mut site = start_site("ports").await;
    let daemon = &site.daemons[0];
    let pieces = body_without_end(MAX_BODY);
    let heads = vec![b"GET /readyz HTTP/1.1\r\nx: ".to_vec(), vec![b'x'; 200_000]];

    let mut crowd = send_crowd(daemon.peer, CROWD / 2, &pieces).await;
    crowd.extend(send_crowd(daemon.readiness, CROWD / 2, &heads).await);

    assert_serves(&mut site, crowd).await;
}

/// Guards against clients that only connect, until the daemon has no descriptors for the store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_take_no_more_descriptors_than_there_are() {
    let _one = ONE_AT_A_TIME.lock().await;
    let mut site = start_site("idle").await;

    let crowd = send_crowd(site.daemons[0].frontend, 2 * MAX_FDS, &Vec::new()).await;
    // Connections are complete before the daemon accepts them.
    tokio::time::sleep(Duration::from_secs(1)).await;

    assert_serves(&mut site, crowd).await;
}

/// Guards against jobs of legal size whose thousands of steps weigh much more in memory, while the
/// store answers none of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_many_steps_take_no_more_memory_than_there_is() {
    let _one = ONE_AT_A_TIME.lock().await;
    let mut site = start_site("steps").await;
    let mut body = format!(
        "{{\"spec\":\"x\",\"steps\":[{}",
        "{\"count\":1},".repeat(18_000)
    );
    body.pop();
    body.push_str("]}");
    let head = head(7, &format!("content-length: {}", body.len()));
    let pieces = vec![head, body.into_bytes()];
    site.daemons[0].store_link.cut(false, true);

    let crowd = send_crowd(site.daemons[0].frontend, CROWD / 4, &pieces).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.daemons[0].store_link.heal();

    assert_serves(&mut site, crowd).await;
}

/// Guards against limits that keep out a client which keeps to them: the largest body, in pieces, over
/// a slow link.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_slow_body_of_the_largest_size_is_served() {
    let _one = ONE_AT_A_TIME.lock().await;
    let site = start_site("legal").await;
    let mut body = one_step_job(1, 100).to_string().into_bytes();
    body.resize(MAX_BODY, b' ');
    let head = head(0xa2, &format!("content-length: {MAX_BODY}"));
    let mut stream = TcpStream::connect(site.daemons[0].frontend)
        .await
        .expect("connects");

    stream.write_all(&head).await.expect("head is sent");
    for piece in body.chunks(4096) {
        tokio::time::sleep(Duration::from_millis(30)).await;
        stream.write_all(piece).await.expect("body is sent");
    }
    let mut answer = [0; 12];
    stream.read_exact(&mut answer).await.expect("answered");

    assert_eq!(&answer, b"HTTP/1.1 200");
}
