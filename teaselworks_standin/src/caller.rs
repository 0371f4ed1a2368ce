//! HTTP/1.1 client that controls every byte it sends, so that it can send malformed requests too.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::message::{Head, MessageReader, ReceivedBody, StartLine};

/// Maximum time to wait for a head or a body; far above what any request of a test takes.
const REPLY_TIMEOUT: Duration = Duration::from_secs(30);

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: String,
    /// Request target: path and query.
    pub target: String,
    /// Headers in the order in which they are sent.
    pub headers: Vec<(String, String)>,
    /// Body; if it is not empty, a `Content-Length` header is sent with it.
    pub body: String,
}

impl Call {
    /// Creates a request with a host and a request identifier, without an API key or a body.
    pub fn new(method: &str, host: &str, target: &str, id: &str) -> Self {
        let headers = [("Host", host), ("X-Request-Id", id)];
        let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned())).to_vec();
        Self { method: method.into(), target: target.into(), headers, body: String::new() }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Adds an API key as the bearer token.
    pub fn with_api_key(self, key: &str) -> Self {
        let value = format!("Bearer {key}");
        self.with_header("Authorization", &value)
    }

    /// Sets the body.
    pub fn with_body(mut self, body: &str) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the bytes of the request on the wire.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        text.push_str(&self.body);
        text.into_bytes()
    }
}

/// An HTTP response that was received.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// Head of the response.
    pub head: Head,
    /// Body of the response.
    pub body: ReceivedBody,
}

impl Reply {
    /// Returns the status code, or 0 if the connection was closed without a response.
    pub fn status(&self) -> u16 {
        match self.head.start_line {
            StartLine::Response(status) => status,
            StartLine::Request(..) => 0,
        }
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body.bytes).into_owned()
    }

    /// Returns the identifiers of the server-sent events in the body, without those that are not
    /// numbers.
    pub fn events(&self) -> Vec<u32> {
        let text = self.text();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// A client connection.
pub struct Connection {
    messages: MessageReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl Connection {
    /// Opens a TCP connection.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        Ok(Self { messages: MessageReader::new(reader), writer })
    }

    /// Sends a request without waiting for the response.
    pub async fn send(&mut self, call: &Call) -> io::Result<()> {
        self.write(&call.bytes()).await
    }

    /// Writes bytes to the connection as they are.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes).await
    }

    /// Reads the head of a response; `None` if the connection is closed first. Fails with
    /// [`io::ErrorKind::TimedOut`] after [`REPLY_TIMEOUT`].
    pub async fn read_head(&mut self) -> io::Result<Option<Head>> {
        read_head(&mut self.messages).await
    }

    /// Reads the body of a response into `bytes` and returns whether it is complete. If this is
    /// cancelled, `bytes` has what was read.
    pub async fn read_body_into(&mut self, head: &Head, bytes: &mut Vec<u8>) -> io::Result<bool> {
        self.messages.read_body_into(head, bytes).await
    }

    /// Reads a response; `None` if the connection is closed before its head ends. Fails with
    /// [`io::ErrorKind::TimedOut`] if its head or its body takes longer than [`REPLY_TIMEOUT`].
    pub async fn read_reply(&mut self) -> io::Result<Option<Reply>> {
        read_reply(&mut self.messages).await
    }

    /// Sends a request for a stream and reads it until it has `events` events; `None` if the
    /// connection is closed before the head of the response ends. A body that is not chunked is read
    /// to its end.
    pub async fn call_for_events(
        &mut self,
        call: &Call,
        events: usize,
    ) -> io::Result<Option<Reply>> {
        self.send(call).await?;
        let Some(head) = self.read_head().await? else { return Ok(None) };
        let has_events =
            |bytes: &[u8]| String::from_utf8_lossy(bytes).matches("\n\n").count() >= events;
        let body = if head.is_chunked() {
            self.messages.read_chunked_until(has_events).await
        } else {
            self.messages.read_body(&head).await
        };
        Ok(Some(Reply { head, body }))
    }

    /// Sends a request and reads the response, also if that comes before the request was sent; `None` if
    /// the connection is closed first.
    pub async fn call(&mut self, call: &Call) -> io::Result<Option<Reply>> {
        let bytes = call.bytes();
        let Self { messages, writer } = self;
        let (written, reply) = tokio::join!(writer.write_all(&bytes), read_reply(messages));
        match reply {
            Ok(None) => written.map(|()| None),
            // Writing fails where the server closes the connection without reading on.
            reply => reply,
        }
    }
}

async fn read_head(messages: &mut MessageReader<OwnedReadHalf>) -> io::Result<Option<Head>> {
    // `false`: the head is that of a response, not of a request.
    tokio::time::timeout(REPLY_TIMEOUT, messages.read_head(false))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn read_reply(messages: &mut MessageReader<OwnedReadHalf>) -> io::Result<Option<Reply>> {
    let Some(head) = read_head(messages).await? else { return Ok(None) };
    let body = tokio::time::timeout(REPLY_TIMEOUT, messages.read_body(&head)).await;
    let body = body.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
    Ok(Some(Reply { head, body }))
}

/// Sends one request on a new connection and reads the response. Its status is 0 if the connection
/// is closed without a response.
pub async fn call(address: SocketAddr, call: &Call) -> io::Result<Reply> {
    let mut connection = Connection::open(address).await?;
    Ok(connection.call(call).await?.unwrap_or_default())
}
