//! Responses that write until their client closes the connection, and what became of them.

use std::io;
use std::sync::{Mutex, MutexGuard};

use tokio::io::{AsyncWrite, AsyncWriteExt};

/// Least number of bytes that are written at once.
const BLOCK_SIZE_BYTES: usize = 16 << 10;

/// A response with a [`Step::WriteForever`](crate::upstream::Step::WriteForever).
#[derive(Clone, Debug, Default)]
pub struct EndlessResponse {
    /// Identifier of the request.
    pub id: String,
    /// Number of bytes that the connection has taken.
    pub written_bytes: u64,
    /// Whether the client has closed the connection.
    pub is_closed: bool,
}

/// Record of the endless responses of a replica.
#[derive(Debug, Default)]
pub(crate) struct EndlessResponses(Mutex<Vec<EndlessResponse>>);

impl EndlessResponses {
    /// Returns the responses in the order in which they began.
    pub(crate) fn list(&self) -> Vec<EndlessResponse> {
        self.lock().clone()
    }

    /// Writes bytes again and again until that fails or the future is dropped.
    pub(crate) async fn write(
        &self,
        writer: &mut (impl AsyncWrite + Unpin),
        bytes: &[u8],
        id: &str,
    ) -> io::Result<()> {
        let index = {
            let mut responses = self.lock();
            responses.push(EndlessResponse { id: id.to_owned(), ..EndlessResponse::default() });
            responses.len() - 1
        };
        let closing = ClosingGuard { responses: self, index };
        let block = bytes.repeat(BLOCK_SIZE_BYTES.div_ceil(bytes.len().max(1)));
        loop {
            writer.write_all(&block).await?;
            closing.responses.lock()[closing.index].written_bytes += block.len() as u64;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<EndlessResponse>> {
        self.0.lock().expect("the lock is never poisoned")
    }
}

/// Marks a response as closed when it is dropped.
struct ClosingGuard<'a> {
    responses: &'a EndlessResponses,
    index: usize,
}

impl Drop for ClosingGuard<'_> {
    fn drop(&mut self) {
        self.responses.lock()[self.index].is_closed = true;
    }
}
