//! Messages about limits between a router and the owner of a workspace.

use std::io::Cursor;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use teaselworks_policy::admission::loan::{Ask, LeaseEnd, Settlement};

/// What a router sends to the owner of a workspace.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for allowance; answered with a grant.
    #[serde(rename = "a")]
    Ask(Ask),
    /// Tells how a request that used a loan ended; answered with nothing.
    #[serde(rename = "s")]
    Settle(Settlement),
    /// Tells that a lease ended or is not used; answered with nothing.
    #[serde(rename = "e")]
    End(LeaseEnd),
}

/// Returns a message's bytes.
pub fn encode(message: &impl Serialize) -> Bytes {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("writing to memory cannot fail");
    bytes.into()
}

/// Reads a message; `None` for bytes that are none.
pub fn decode<T: DeserializeOwned>(bytes: &Bytes) -> Option<T> {
    ciborium::from_reader(Cursor::new(bytes)).ok()
}
