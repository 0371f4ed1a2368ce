//! The client of engines for what they hold and for orders.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use reqwest::{Body, Client, StatusCode};
use serde::{Deserialize, Serialize};
use teaselworks_policy::name::Name;

use super::report::requests;

/// Time to make a connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What an order asks for, as engines read it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderMessageKind {
    /// Load weights.
    Load,
    /// Drop weights.
    Unload,
    /// Take another role.
    Role,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct OrderMessage {
    /// What is asked for.
    pub kind: OrderMessageKind,
    /// Model; empty for a role.
    pub model: String,
    /// Adapter of the model; `None`: the model itself.
    pub adapter: Option<String>,
    /// Version; empty for a role.
    pub version: String,
    /// Role, where that is what the order changes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Fencing number of the sender.
    pub fencing: u64,
}

/// Weights as an engine lists them.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct HeldModel {
    /// Model.
    pub model: String,
    /// Adapter of the model.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Version.
    #[serde(default)]
    pub version: String,
    /// Whether the weights have arrived.
    pub ready: bool,
}

/// Answer of `GET /models`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize)]
pub struct HeldModels {
    /// Weights held, those on their way among them.
    pub models: Vec<HeldModel>,
    /// Role in force; none while it changes, and of engines without roles.
    #[serde(default)]
    pub role: Option<String>,
}

impl HeldModels {
    /// Returns the role in force; `None` when the engine shows none.
    ///
    /// ```
    /// use teaselworks::upstream::HeldModels;
    ///
    /// let held = HeldModels { models: Vec::new(), role: Some(String::new()) };
    /// assert_eq!(held.role(), None);
    /// ```
    pub fn role(&self) -> Option<Name> {
        self.role.as_deref().filter(|role| !role.is_empty()).map(Name::from)
    }
}

/// How the sending of an order ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The engine took it.
    Taken,
    /// The engine refused it.
    Refused(String),
    /// It surely did not reach the engine.
    NotSent(String),
    /// No answer tells.
    Unknown(String),
}

/// Tells right before an order leaves whether it still may.
pub type MaySend = Arc<dyn Fn() -> bool + Send + Sync>;

/// Client of engines for orders.
#[derive(Clone, Debug)]
pub struct OrderClient {
    http: Client,
}

impl OrderClient {
    /// Makes a client that opens a connection for each call.
    ///
    /// A kept connection that the engine closed while this router stood still would be replaced
    /// and the order repeated on it, unseen by whoever checks the lease.
    pub fn new() -> Self {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(0)
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()
            .expect("a client without TLS needs nothing that can fail");
        Self { http }
    }

    /// Asks an engine what it holds; `None` when no usable answer comes in time.
    pub async fn held(&self, url: &str, timeout: Duration) -> Option<HeldModels> {
        let request = self.http.get(format!("{url}/models")).timeout(timeout);
        let response = request.send().await.ok()?.error_for_status().ok()?;
        response.json().await.ok()
    }

    /// Asks an engine how many requests run and wait there, whoever sent them; `None` when no
    /// usable answer comes in time.
    pub async fn requests(&self, url: &str, timeout: Duration) -> Option<u32> {
        let request = self.http.get(format!("{url}/metrics")).timeout(timeout);
        let response = request.send().await.ok()?.error_for_status().ok()?;
        Some(requests(&response.text().await.ok()?))
    }

    /// Sends an order if `may_send` still agrees when its bytes leave.
    ///
    /// The check stands in the body, not before the call: between the call and its bytes lie the
    /// making of a connection and any pause of this VM. An order without its body is none.
    pub async fn order(
        &self,
        url: &str,
        order: &OrderMessage,
        timeout: Duration,
        may_send: MaySend,
    ) -> OrderAnswer {
        let bytes = Bytes::from(serde_json::to_vec(order).expect("an order is always writable"));
        let body = stream::once(async move {
            match may_send() {
                true => Ok(bytes),
                false => Err(io::Error::other("the lease has no time left")),
            }
        });
        let request = self
            .http
            .post(format!("{url}/orders"))
            .header("content-type", "application/json")
            .timeout(timeout)
            .body(Body::wrap_stream(body));
        match request.send().await {
            Ok(response) if response.status().is_success() => OrderAnswer::Taken,
            Ok(response) if response.status().is_server_error() => {
                OrderAnswer::Unknown(response.status().to_string())
            }
            Ok(response) if response.status() == StatusCode::CONFLICT => {
                OrderAnswer::Refused("old fencing number".into())
            }
            Ok(response) => OrderAnswer::Refused(response.status().to_string()),
            Err(error) if error.is_connect() => OrderAnswer::NotSent(super::cause(&error)),
            Err(error) => OrderAnswer::Unknown(super::cause(&error)),
        }
    }
}

impl Default for OrderClient {
    fn default() -> Self {
        Self::new()
    }
}
