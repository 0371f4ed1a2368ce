//! An engine's own reports of its load and its role.

use std::time::Duration;

use teaselworks_policy::name::Name;

use super::UpstreamError;
use super::engine::EngineClient;
use super::order::HeldModels;

/// Time for a report.
const TIMEOUT: Duration = Duration::from_millis(500);
/// Gauges whose sum is the number of requests, by the names of published engines.
const REQUEST_GAUGES: [&str; 2] = ["vllm:num_requests_running", "vllm:num_requests_waiting"];

/// What an engine says of itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that run and wait there, whoever sent them.
    pub requests: u32,
    /// Length of the whole report in bytes.
    pub size_bytes: u64,
}

/// What an engine says of its role.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleReport {
    /// Role in force; `None` when the engine shows none.
    pub role: Option<Name>,
    /// Length of the whole report in bytes.
    pub size_bytes: u64,
}

impl EngineClient {
    /// Asks an engine for its role; fails when there is no report in time.
    pub async fn role_report(&self, url: &str) -> Result<RoleReport, UpstreamError> {
        let sent = self.http().get(format!("{url}/models")).timeout(TIMEOUT).send().await;
        let response = sent.and_then(reqwest::Response::error_for_status);
        let response = response.map_err(|error| UpstreamError::sending(&error))?;
        let bytes = response.bytes().await.map_err(|error| UpstreamError::sending(&error))?;
        let held: HeldModels = serde_json::from_slice(&bytes)
            .map_err(|error| UpstreamError::broken(error.to_string()))?;
        Ok(RoleReport { role: held.role(), size_bytes: bytes.len() as u64 })
    }

    /// Asks an engine for its load; fails when there is no report in time.
    pub async fn load_report(&self, url: &str) -> Result<LoadReport, UpstreamError> {
        let sent = self.http().get(format!("{url}/metrics")).timeout(TIMEOUT).send().await;
        let response = sent.map_err(|error| UpstreamError::sending(&error))?;
        let text = response.text().await.map_err(|error| UpstreamError::sending(&error))?;
        Ok(LoadReport { requests: requests(&text), size_bytes: text.len() as u64 })
    }
}

/// Returns the number of requests in a page of Prometheus text.
///
/// ```
/// use teaselworks::upstream::requests;
///
/// let page = "vllm:num_requests_running{model=\"a\"} 3.0\nvllm:num_requests_waiting 2\n";
/// assert_eq!(requests(page), 5);
/// ```
pub fn requests(page: &str) -> u32 {
    let mut sum = 0.0;
    for line in page.lines() {
        let Some((series, value)) = line.rsplit_once(' ') else {
            continue;
        };
        let name = series.split('{').next().unwrap_or_default();
        if REQUEST_GAUGES.contains(&name) {
            sum += value.parse().unwrap_or(0.0);
        }
    }
    sum as u32
}
