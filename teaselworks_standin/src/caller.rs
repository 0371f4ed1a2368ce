//! A caller with raw connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::message::{Head, MessageReader, ReadBody, Start};

/// Longest wait for an answer; far above what any request of a test takes.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A request as it is written.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: String,
    /// Path with its query.
    pub target: String,
    /// Headers.
    pub headers: Vec<(String, String)>,
    /// Body, with its length in the head.
    pub body: String,
}

impl Call {
    /// Makes a request without a key.
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

    /// Adds a key.
    pub fn with_api_key(self, key: &str) -> Self {
        let value = format!("Bearer {key}");
        self.with_header("Authorization", &value)
    }

    /// Sets the body.
    pub fn with_body(mut self, body: &str) -> Self {
        self.body = body.into();
        self
    }

    /// Returns the request as it is sent.
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

/// An answer.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    /// Head.
    pub head: Head,
    /// Body.
    pub body: ReadBody,
}

impl Reply {
    /// Returns the status.
    pub fn status(&self) -> u16 {
        match self.head.start {
            Start::Answer(status) => status,
            Start::Request(..) => 0,
        }
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body.bytes).into_owned()
    }

    /// Returns the numbers of the events in the body.
    pub fn events(&self) -> Vec<u32> {
        let text = self.text();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// A connection of a caller.
pub struct Connection {
    messages: MessageReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl Connection {
    /// Connects.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        Ok(Self { messages: MessageReader::new(reader), writer })
    }

    /// Sends a request.
    pub async fn send(&mut self, call: &Call) -> io::Result<()> {
        self.write(&call.bytes()).await
    }

    /// Sends bytes as they are.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.writer.write_all(bytes).await
    }

    /// Reads the head of an answer; `None` where the connection is closed.
    pub async fn read_head(&mut self) -> io::Result<Option<Head>> {
        tokio::time::timeout(ANSWER_TIMEOUT, self.messages.head(false))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }

    /// Reads an answer; `None` where the connection is closed.
    pub async fn read_reply(&mut self) -> io::Result<Option<Reply>> {
        let Some(head) = self.read_head().await? else { return Ok(None) };
        let body = tokio::time::timeout(ANSWER_TIMEOUT, self.messages.body(&head)).await;
        let body = body.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?;
        Ok(Some(Reply { head, body }))
    }

    /// Sends a request and reads its answer.
    pub async fn call(&mut self, call: &Call) -> io::Result<Option<Reply>> {
        self.send(call).await?;
        self.read_reply().await
    }
}

/// Makes one request on a connection of its own; a status of 0 where it is closed unanswered.
pub async fn call(address: SocketAddr, call: &Call) -> io::Result<Reply> {
    let mut connection = Connection::open(address).await?;
    Ok(connection.call(call).await?.unwrap_or_default())
}
