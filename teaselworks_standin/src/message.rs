//! HTTP/1.1 messages as they are on the wire, well-formed or not.

use std::io;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Largest head that is read.
const HEAD_SIZE_MAX_BYTES: usize = 1 << 20;
/// Most headers that are read.
const HEADERS_MAX: usize = 100;

/// Headers in order, names in lower case.
pub type Headers = Vec<(String, String)>;

/// A head that was read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// First line: method and target of a request, status of an answer.
    pub start: Start,
    /// Headers.
    pub headers: Headers,
}

/// First line of a message.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Start {
    /// Method and target.
    Request(String, String),
    /// Status.
    Answer(u16),
}

impl Default for Start {
    fn default() -> Self {
        Start::Answer(0)
    }
}

impl Head {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(known, _)| known == name)?;
        Some(value)
    }

    /// Returns the number of values of a header.
    pub fn header_count(&self, name: &str) -> usize {
        self.headers.iter().filter(|(known, _)| known == name).count()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }

    fn length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }
}

/// A body that was read, and whether it was whole.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadBody {
    /// Bytes of the body, without framing.
    pub bytes: Vec<u8>,
    /// The end that its framing announces has arrived.
    pub is_whole: bool,
}

/// Reads messages from a connection.
pub struct MessageReader<R> {
    reader: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Makes a reader.
    pub fn new(reader: R) -> Self {
        Self { reader, buffer: BytesMut::new() }
    }

    /// Reads a head; `None` where the connection ends before it.
    pub async fn head(&mut self, is_request: bool) -> io::Result<Option<Head>> {
        loop {
            if let Some((head, length)) = parse(&self.buffer, is_request)? {
                self.buffer.advance(length);
                return Ok(Some(head));
            }
            if self.buffer.len() > HEAD_SIZE_MAX_BYTES {
                return Err(io::Error::other("the head is too large"));
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the body that a head announces; one of an answer without length ends with the
    /// connection.
    pub async fn body(&mut self, head: &Head) -> ReadBody {
        let mut body = ReadBody::default();
        body.is_whole = self.read_body(head, &mut body.bytes).await.unwrap_or(false);
        body
    }

    async fn read_body(&mut self, head: &Head, bytes: &mut Vec<u8>) -> io::Result<bool> {
        if head.is_chunked() {
            return self.chunks(bytes).await;
        }
        let is_answer = matches!(head.start, Start::Answer(_));
        let Some(length) = head.length() else {
            if is_answer {
                while self.fill().await? > 0 {}
                bytes.extend_from_slice(&self.buffer.split());
            }
            return Ok(true);
        };
        self.exactly(length, bytes).await
    }

    async fn chunks(&mut self, bytes: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(line) = self.line().await? else { return Ok(false) };
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::other("no size of a chunk"))?;
            if size == 0 {
                while self.line().await?.is_some_and(|line| !line.is_empty()) {}
                return Ok(true);
            }
            if !self.exactly(size, bytes).await? || self.line().await?.is_none() {
                return Ok(false);
            }
        }
    }

    async fn exactly(&mut self, length: usize, bytes: &mut Vec<u8>) -> io::Result<bool> {
        let mut left = length;
        loop {
            let taken = left.min(self.buffer.len());
            bytes.extend_from_slice(&self.buffer.split_to(taken));
            left -= taken;
            if left == 0 {
                return Ok(true);
            }
            if self.fill().await? == 0 {
                return Ok(false);
            }
        }
    }

    async fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads what is there; 0 at the end of the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.reader.read_buf(&mut self.buffer).await
    }
}

fn parse(bytes: &[u8], is_request: bool) -> io::Result<Option<(Head, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let (status, start) = if is_request {
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(bytes).map_err(io::Error::other)?;
        let method = request.method.unwrap_or_default().to_owned();
        (status, Start::Request(method, request.path.unwrap_or_default().to_owned()))
    } else {
        let mut answer = httparse::Response::new(&mut headers);
        let status = answer.parse(bytes).map_err(io::Error::other)?;
        (status, Start::Answer(answer.code.unwrap_or_default()))
    };
    let httparse::Status::Complete(length) = status else { return Ok(None) };
    let mut named = Headers::new();
    for header in headers.iter().take_while(|header| !header.name.is_empty()) {
        let value = String::from_utf8_lossy(header.value).into_owned();
        named.push((header.name.to_lowercase(), value));
    }
    Ok(Some((Head { start, headers: named }, length)))
}
