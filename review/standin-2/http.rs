//! HTTP/1.1 for the stand-ins: a server whose connections can be cut, and a client.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::json::Json;

/// Interval at which a server looks for new connections.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

/// A request to a stand-in.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    /// Value of the header `Expect-Instance`, if there is one.
    pub instance: Option<String>,
    pub body: String,
}

/// What a stand-in does with a request.
pub enum Reply {
    /// It answers.
    Answer(u16, Json),
    /// The answer is lost, and nothing further comes on the connection.
    Lost,
    /// The connection ends without an answer.
    Close,
}

type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

#[derive(Default)]
struct Connections {
    stopped: AtomicBool,
    next: AtomicU64,
    open: Mutex<HashMap<u64, TcpStream>>,
}

/// A server on a loopback address.
pub struct Server {
    pub addr: SocketAddr,
    connections: Arc<Connections>,
    acceptor: Option<JoinHandle<()>>,
}

impl Server {
    /// Serves requests on an address; port 0 stands for a free port.
    pub fn start(addr: SocketAddr, handler: Handler) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let connections = Arc::new(Connections::default());
        let own = connections.clone();
        let acceptor = std::thread::spawn(move || {
            while !own.stopped.load(Ordering::Relaxed) {
                match listener.accept() {
                    Ok((stream, _)) => serve(stream, own.clone(), handler.clone()),
                    Err(_) => std::thread::sleep(ACCEPT_INTERVAL),
                }
            }
        });
        Ok(Self {
            addr,
            connections,
            acceptor: Some(acceptor),
        })
    }

    /// Closes the port and all connections, as the end of a process does.
    pub fn stop(&mut self) {
        self.connections.stopped.store(true, Ordering::Relaxed);
        if let Some(acceptor) = self.acceptor.take() {
            let _ = acceptor.join();
        }
        for (_, stream) in self.connections.open.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, connections: Arc<Connections>, handler: Handler) {
    let id = connections.next.fetch_add(1, Ordering::Relaxed);
    let Ok(copy) = stream.try_clone() else {
        return;
    };
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    connections.open.lock().unwrap().insert(id, copy);
    std::thread::spawn(move || {
        let _ = converse(&stream, &handler);
        connections.open.lock().unwrap().remove(&id);
        let _ = stream.shutdown(Shutdown::Both);
    });
}

fn converse(stream: &TcpStream, handler: &Handler) -> io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut writer = stream.try_clone()?;
    while let Some(req) = read_request(&mut reader)? {
        match handler(&req) {
            Reply::Answer(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes())?;
            }
            Reply::Lost => {
                io::copy(&mut reader, &mut io::sink())?;
                return Ok(());
            }
            Reply::Close => return Ok(()),
        }
    }
    Ok(())
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, HashMap<String, String>)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
            }
            None => return Ok(Some((first.trim_end().to_string(), headers))),
        }
    }
}

fn read_body(reader: &mut impl Read, headers: &HashMap<String, String>) -> io::Result<String> {
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_string();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_string(), decode_percent(value)))
        .collect();
    Ok(Some(Request {
        method,
        path: path.to_string(),
        query,
        instance: headers.get("expect-instance").cloned(),
        body: read_body(reader, &headers)?,
    }))
}

fn decode_percent(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, others)) = rest.split_first() {
        let hex = others
            .get(..2)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if *first == b'%' => {
                bytes.push(byte);
                rest = &others[2..];
            }
            _ => {
                bytes.push(*first);
                rest = others;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Sends one request on a connection of its own; `Err` means that no answer came in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<(u16, String)> {
    let stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    (&stream).write_all((head + body).as_bytes())?;
    let mut reader = BufReader::new(&stream);
    let no_answer = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let (first, headers) = read_head(&mut reader)?.ok_or_else(no_answer)?;
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    Ok((
        status.ok_or_else(no_answer)?,
        read_body(&mut reader, &headers)?,
    ))
}
