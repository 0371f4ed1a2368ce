//! Answers that a replica sends before it has read the body of their request.

use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::net::tcp::WriteHalf;

use crate::message::{Head, MessageReader};
use crate::port::reset_when_dropped;

/// An answer to a request whose body is still being sent.
#[derive(Clone, Debug)]
pub struct EarlyAnswer {
    /// Number of bytes of the request's body that are read before the answer.
    pub read_bytes: usize,
    /// The answer as it is sent: its head, and what follows of its body.
    pub bytes: Vec<u8>,
    /// Time from the answer to its end.
    pub pause: Duration,
    /// What follows the answer.
    pub ending: EarlyEnding,
}

/// What follows an early answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EarlyEnding {
    /// The connection is reset, with an RST.
    Reset,
    /// The connection is closed. The system resets it if a part of the body was not read, and ends it
    /// with a FIN otherwise.
    Close,
    /// The answer ends with a FIN, and then the rest of the body is read.
    FinThenRead,
    /// The rest of the body is read, and then the answer ends with a FIN.
    ReadThenFin,
    /// The rest of the body is read, and the connection kept for the next request.
    KeepOpen,
}

/// Sends an early answer. Adds what was read of the request's body to `body`, and returns whether the
/// connection is kept.
pub(crate) async fn send(
    answer: EarlyAnswer,
    head: &Head,
    body: &mut Vec<u8>,
    messages: &mut MessageReader<impl AsyncRead + Unpin>,
    writer: &mut WriteHalf<'_>,
) -> std::io::Result<bool> {
    let EarlyAnswer { read_bytes, bytes, pause, ending } = answer;
    let body_bytes = head.content_length().unwrap_or(0);
    messages.read_exact(read_bytes.min(body_bytes), body).await?;
    writer.write_all(&bytes).await?;
    tokio::time::sleep(pause).await;
    if ending == EarlyEnding::FinThenRead {
        writer.shutdown().await?;
    }
    if matches!(ending, EarlyEnding::FinThenRead | EarlyEnding::ReadThenFin | EarlyEnding::KeepOpen)
    {
        messages.read_exact(body_bytes - body.len(), body).await?;
    }
    if ending == EarlyEnding::ReadThenFin {
        writer.shutdown().await?;
    }
    if ending != EarlyEnding::Reset {
        reset_when_dropped(writer.as_ref(), false);
    }
    Ok(ending == EarlyEnding::KeepOpen)
}
