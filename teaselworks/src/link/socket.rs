//! Tasks that read and write the connection of one link.

use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use teaselworks_wire::message::Purpose;
use tokio::task;
use tokio_tungstenite::tungstenite::error::ProtocolError;
use tokio_tungstenite::tungstenite::{Error as WsError, Message};

use super::connection::{Link, LinkEnd};
use super::handshake::Socket;
use super::outbox::{Batch, Outgoing};
use crate::metrics::Direction;

/// Bytes of a WebSocket mask, which the dialing end adds to each message.
const MASK_SIZE_BYTES: usize = 4;

/// Halves of a link's connection, a pointer each: a future that took the connection itself would
/// hold it twice.
pub(super) type Halves = (SplitSink<Socket, Message>, SplitStream<Socket>);

/// Serves a link until its end; what it carried is left to be cut.
pub(super) async fn serve(link: Arc<Link>, (sink, stream): Halves) {
    let writer = tokio::spawn(write(link.clone(), sink));
    tokio::select! {
        end = read(&link, stream) => link.fail(end),
        () = link.over.cancelled() => {}
    }
    writer.abort();
}

async fn read(link: &Arc<Link>, mut stream: SplitStream<Socket>) -> LinkEnd {
    // The last message is kept until the next one came. The library's buffer would otherwise
    // double when it is full, up to several times the largest message, and never shrink; while a
    // message still refers to it, a fresh one is taken instead.
    let mut _kept = Bytes::new();
    while let Some(message) = stream.next().await {
        link.note_received();
        match message {
            Ok(Message::Binary(message)) => {
                _kept = message.clone();
                let sizes = link.receive(&message);
                let header_bytes = header_size(message.len(), !link.is_dialed());
                sizes.count(header_bytes, |purpose, size_bytes| {
                    link.shared.meters.add_control_bytes(purpose, Direction::In, size_bytes);
                });
            }
            Ok(Message::Ping(payload)) => {
                count_small(link, Direction::In, payload.len());
                // The library answers each ping with a pong of the same length.
                count_small(link, Direction::Out, payload.len());
            }
            Ok(Message::Pong(payload)) => count_small(link, Direction::In, payload.len()),
            Ok(Message::Close(_)) => count_small(link, Direction::In, 0),
            Ok(Message::Text(_) | Message::Frame(_)) => return LinkEnd::Violation,
            Err(WsError::ConnectionClosed) => return LinkEnd::Closed,
            Err(WsError::Protocol(ProtocolError::ResetWithoutClosingHandshake)) => {
                return LinkEnd::Broken;
            }
            Err(WsError::Capacity(_) | WsError::Protocol(_)) => return LinkEnd::Violation,
            Err(_) => return LinkEnd::Broken,
        }
    }
    LinkEnd::Closed
}

async fn write(link: Arc<Link>, mut sink: SplitSink<Socket, Message>) {
    loop {
        let written = match link.outbox.next() {
            None => {
                link.outbox.filled().await;
                // Lets every stream that is ready add its frames first: one system call then
                // carries them all, where otherwise each would cost one of its own.
                task::yield_now().await;
                Ok(())
            }
            Some(Outgoing::Batches(batches)) => write_batches(&link, &mut sink, batches).await,
            Some(Outgoing::Ping) => {
                count_small(&link, Direction::Out, 0);
                sink.send(Message::Ping(Bytes::new())).await
            }
            Some(Outgoing::Close) => {
                count_small(&link, Direction::Out, 0);
                let _ = sink.close().await;
                return;
            }
        };
        if written.is_err() {
            return link.fail(LinkEnd::Broken);
        }
    }
}

async fn write_batches(
    link: &Link,
    sink: &mut SplitSink<Socket, Message>,
    batches: VecDeque<Batch>,
) -> Result<(), WsError> {
    for batch in batches {
        let header_bytes = header_size(batch.bytes.len(), link.is_dialed());
        batch.sizes.count(header_bytes, |purpose, size_bytes| {
            link.shared.meters.add_control_bytes(purpose, Direction::Out, size_bytes);
        });
        sink.feed(Message::Binary(batch.bytes.into())).await?;
    }
    sink.flush().await
}

fn count_small(link: &Link, direction: Direction, payload_bytes: usize) {
    let masked = (direction == Direction::Out) == link.is_dialed();
    let size_bytes = payload_bytes + header_size(payload_bytes, masked);
    link.shared.meters.add_control_bytes(Purpose::Link, direction, size_bytes);
}

/// Returns the bytes that WebSocket adds to a message.
fn header_size(payload_bytes: usize, masked: bool) -> usize {
    let length_bytes = match payload_bytes {
        0..126 => 2,
        126..65_536 => 4,
        _ => 10,
    };
    length_bytes + if masked { MASK_SIZE_BYTES } else { 0 }
}
