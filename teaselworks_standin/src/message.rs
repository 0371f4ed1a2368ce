//! Reads HTTP/1.1 messages from a connection and keeps what an HTTP library would hide: the order
//! and repetition of headers, and whether a body is complete.

use std::io;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum size of a message head.
const HEAD_SIZE_MAX_BYTES: usize = 1 << 20;
/// Maximum number of headers in a message head.
const HEADERS_MAX: usize = 100;

/// Headers in the order received, with names in lower case.
pub type Headers = Vec<(String, String)>;

/// A parsed message head.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Head {
    /// First line of the message.
    pub start_line: StartLine,
    /// Headers of the message.
    pub headers: Headers,
}

/// Start line of a message: the request line or the status line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartLine {
    /// Method and request target.
    Request(String, String),
    /// Status code.
    Response(u16),
}

impl Default for StartLine {
    fn default() -> Self {
        StartLine::Response(0)
    }
}

impl Head {
    /// Returns the first value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let (_, value) = self.headers.iter().find(|(known, _)| known == name)?;
        Some(value)
    }

    /// Returns how often a header occurs, whose name is given in lower case.
    pub fn header_count(&self, name: &str) -> usize {
        self.headers.iter().filter(|(known, _)| known == name).count()
    }

    /// Returns whether the body is sent in chunks.
    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.contains("chunked"))
    }

    /// Returns the length of the body that the head declares.
    pub fn content_length(&self) -> Option<usize> {
        self.header("content-length")?.parse().ok()
    }
}

/// A message body as far as it was received.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReceivedBody {
    /// Bytes of the body, without chunk framing.
    pub bytes: Vec<u8>,
    /// Whether the body was received up to the end that its framing declares.
    pub is_whole: bool,
}

/// Reads messages one after the other from a connection.
pub struct MessageReader<R> {
    reader: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> MessageReader<R> {
    /// Creates a reader.
    pub fn new(reader: R) -> Self {
        Self { reader, buffer: BytesMut::new() }
    }

    /// Reads the head of a request or a response; `None` if the connection ends first. Fails if the
    /// head is malformed or larger than [`HEAD_SIZE_MAX_BYTES`].
    pub async fn read_head(&mut self, is_request: bool) -> io::Result<Option<Head>> {
        loop {
            if let Some((head, length)) = parse_head(&self.buffer, is_request)? {
                self.buffer.advance(length);
                return Ok(Some(head));
            }
            if self.buffer.len() > HEAD_SIZE_MAX_BYTES {
                return Err(io::Error::other("message head exceeds 1 MiB"));
            }
            if self.fill().await? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads the body that belongs to a head. A request without framing and a response with status 204
    /// or 304 have no body; the body of any other response without framing ends with the connection.
    pub async fn read_body(&mut self, head: &Head) -> ReceivedBody {
        let mut body = ReceivedBody::default();
        body.is_whole = self.read_body_into(head, &mut body.bytes).await.unwrap_or(false);
        body
    }

    /// Reads a body into `bytes` and returns whether it is complete. If this is cancelled, `bytes` has
    /// what was read.
    pub async fn read_body_into(&mut self, head: &Head, bytes: &mut Vec<u8>) -> io::Result<bool> {
        if matches!(head.start_line, StartLine::Response(204 | 304)) {
            return Ok(true);
        }
        if head.is_chunked() {
            return self.read_chunked(bytes, |_| false).await;
        }
        let is_response = matches!(head.start_line, StartLine::Response(_));
        let Some(length) = head.content_length() else {
            if is_response {
                while self.fill().await? > 0 {}
                bytes.extend_from_slice(&self.buffer.split());
            }
            return Ok(true);
        };
        self.read_exact(length, bytes).await
    }

    /// Reads the chunked body that belongs to a head until `is_enough` is true of what was read.
    pub async fn read_chunked_until(&mut self, is_enough: impl Fn(&[u8]) -> bool) -> ReceivedBody {
        let mut body = ReceivedBody::default();
        body.is_whole = self.read_chunked(&mut body.bytes, is_enough).await.unwrap_or(false);
        body
    }

    /// Reads a chunked body into `bytes` and skips its trailers; `false` if the connection ends
    /// before the last chunk, or once `is_enough` is true of what was read.
    async fn read_chunked(
        &mut self,
        bytes: &mut Vec<u8>,
        is_enough: impl Fn(&[u8]) -> bool,
    ) -> io::Result<bool> {
        loop {
            if is_enough(bytes) {
                return Ok(false);
            }
            let Some(line) = self.read_line().await? else { return Ok(false) };
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size =
                size.map_err(|_| io::Error::other("chunk size is not a hexadecimal number"))?;
            if size == 0 {
                while self.read_line().await?.is_some_and(|line| !line.is_empty()) {}
                return Ok(true);
            }
            if !self.read_exact(size, bytes).await? || self.read_line().await?.is_none() {
                return Ok(false);
            }
        }
    }

    /// Reads `length` bytes into `bytes`; `false` if the connection ends first.
    pub(crate) async fn read_exact(
        &mut self,
        length: usize,
        bytes: &mut Vec<u8>,
    ) -> io::Result<bool> {
        let mut remaining = length;
        loop {
            let count = remaining.min(self.buffer.len());
            bytes.extend_from_slice(&self.buffer.split_to(count));
            remaining -= count;
            if remaining == 0 {
                return Ok(true);
            }
            if self.fill().await? == 0 {
                return Ok(false);
            }
        }
    }

    /// Reads a line without its line ending; `None` if the connection ends first.
    async fn read_line(&mut self) -> io::Result<Option<String>> {
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

    /// Reads available data into the buffer and returns its length; 0 at the end of the connection.
    pub async fn fill(&mut self) -> io::Result<usize> {
        self.reader.read_buf(&mut self.buffer).await
    }
}

/// Parses the head at the start of `bytes` and returns it with its length in bytes; `None` if it is
/// incomplete.
fn parse_head(bytes: &[u8], is_request: bool) -> io::Result<Option<(Head, usize)>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let (status, start_line) = if is_request {
        let mut request = httparse::Request::new(&mut headers);
        let status = request.parse(bytes).map_err(io::Error::other)?;
        let method = request.method.unwrap_or_default().to_owned();
        (status, StartLine::Request(method, request.path.unwrap_or_default().to_owned()))
    } else {
        let mut response = httparse::Response::new(&mut headers);
        let status = response.parse(bytes).map_err(io::Error::other)?;
        (status, StartLine::Response(response.code.unwrap_or_default()))
    };
    let httparse::Status::Complete(length) = status else { return Ok(None) };
    let mut parsed_headers = Headers::new();
    for header in headers.iter().take_while(|header| !header.name.is_empty()) {
        let value = String::from_utf8_lossy(header.value).into_owned();
        parsed_headers.push((header.name.to_lowercase(), value));
    }
    Ok(Some((Head { start_line, headers: parsed_headers }, length)))
}
