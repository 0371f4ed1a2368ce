//! Reads the platform's list of VMs over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use reqwest::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use reqwest::{Client, Response, StatusCode};
use serde::Deserialize;
use teaselworks_policy::membership::{Contact, ListedState, VmList};
use teaselworks_policy::name::Name;

/// Time for one reading.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest list.
const LIST_SIZE_BYTES: usize = 4 << 20;

#[derive(Deserialize)]
struct Document {
    vms: Vec<Vm>,
}

/// One VM; fields that are not needed here may be missing or new.
#[derive(Deserialize)]
struct Vm {
    name: Name,
    kind: Kind,
    #[serde(default)]
    links: Option<SocketAddr>,
    state: State,
}

#[derive(Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Kind {
    Router,
    Upstream,
    #[serde(other)]
    Other,
}

#[derive(Deserialize, Eq, PartialEq)]
#[serde(rename_all = "snake_case")]
enum State {
    Live,
    /// Leaving, or in a state that this version does not know: it gets no new work.
    #[serde(other)]
    Leaving,
}

/// What a reading of the list brought.
#[derive(Debug)]
pub(super) struct Reading {
    /// The list.
    pub(super) list: Arc<VmList>,
    /// Length of the body in bytes; 0 where the list had not changed.
    pub(super) size_bytes: u64,
}

/// The list as it was last read, under the tag that the platform gave it.
#[derive(Debug)]
struct Tagged {
    tag: HeaderValue,
    list: Arc<VmList>,
}

/// Reads the list; asks for the body only where it changed, if the platform tags its answers.
#[derive(Debug)]
pub(super) struct Reader {
    client: Client,
    url: String,
    last: Option<Tagged>,
}

impl Reader {
    /// Makes a reader of the list at `url`.
    pub(super) fn new(url: &str) -> Self {
        let client = Client::builder()
            .no_proxy()
            .timeout(READ_TIMEOUT)
            .build()
            .expect("a client without TLS always builds");
        Self { client, url: url.to_owned(), last: None }
    }

    /// Reads the list; fails with the cause as text.
    ///
    /// The request is conditional (`If-None-Match`, RFC 9110) once an answer brought an `ETag`. A
    /// platform that knows neither answers with the whole list each time.
    pub(super) async fn read(&mut self) -> Result<Reading, String> {
        let mut request = self.client.get(&self.url);
        if let Some(last) = &self.last {
            request = request.header(IF_NONE_MATCH, last.tag.clone());
        }
        let response = request.send().await.map_err(|error| error.to_string())?;
        let response = response.error_for_status().map_err(|error| error.to_string())?;
        if response.status() == StatusCode::NOT_MODIFIED {
            let Some(last) = &self.last else {
                return Err("the list is said to be unchanged, but was never read".to_owned());
            };
            return Ok(Reading { list: last.list.clone(), size_bytes: 0 });
        }
        let tag = response.headers().get(ETAG).cloned();
        let body = whole_body(response).await?;
        let document: Document =
            serde_json::from_slice(&body).map_err(|error| error.to_string())?;
        let list = Arc::new(convert(document));
        self.last = tag.map(|tag| Tagged { tag, list: list.clone() });
        Ok(Reading { list, size_bytes: body.len() as u64 })
    }
}

async fn whole_body(response: Response) -> Result<Vec<u8>, String> {
    let mut body = Vec::new();
    let mut parts = response.bytes_stream();
    while let Some(part) = parts.next().await {
        let part = part.map_err(|error| error.to_string())?;
        if body.len() + part.len() > LIST_SIZE_BYTES {
            return Err(format!("the list exceeds {LIST_SIZE_BYTES} bytes"));
        }
        body.extend_from_slice(&part);
    }
    Ok(body)
}

fn convert(document: Document) -> VmList {
    let mut list = VmList::default();
    for vm in document.vms {
        match vm.kind {
            Kind::Router => {
                let Some(address) = vm.links else { continue };
                list.routers.push(Contact { router: vm.name, address });
            }
            Kind::Upstream => {
                let leaving = vm.state == State::Leaving;
                let state = if leaving { ListedState::Leaving } else { ListedState::Live };
                list.upstreams.push((vm.name, state));
            }
            Kind::Other => {}
        }
    }
    list
}
