//! Configurations and entries of replicas as the platform's operator and replicas write them.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::upstream::Upstream;

/// Host of every route.
pub const HOST: &str = "archive.example";
/// Key of the workspace [`WORKSPACE`].
pub const API_KEY: &str = "key-of-the-choir";
/// The workspace of most requests.
pub const WORKSPACE: &str = "choir";
/// Service of engines.
pub const CHAT_SERVICE: &str = "chat";
/// Plain service.
pub const ARCHIVE_SERVICE: &str = "archive";

/// A configuration that grows by calls.
#[derive(Clone, Debug)]
pub struct TestConfiguration {
    /// The configuration.
    pub value: Value,
}

impl Default for TestConfiguration {
    /// Makes version 1: an idempotent, an at-most-once and two streaming routes, one of them
    /// resumable, and a workspace.
    fn default() -> Self {
        let mut configuration = Self {
            value: json!({
                "version": 1,
                "routes": [],
                "services": [
                    service(CHAT_SERVICE, &json!({ "slots": 48, "kv_capacity": 700_000, "moves": true })),
                    service(ARCHIVE_SERVICE, &Value::Null),
                ],
                "limits": {
                    "max_header_bytes": 16_384, "max_body_bytes": 1_048_576,
                    "header_timeout_ms": 1_000, "idle_timeout_ms": 5_000
                },
                "tenants": [{ "name": WORKSPACE, "api_keys": [API_KEY], "priority": 1 }],
            }),
        };
        configuration.add_route("/read/", "safe", ARCHIVE_SERVICE, 2);
        configuration.add_route("/write/", "unsafe", ARCHIVE_SERVICE, 1);
        configuration.add_route("/chat/", "streaming", CHAT_SERVICE, 1);
        configuration.add_route("/gloss/", "streaming", CHAT_SERVICE, 2)["resumable"] = json!(true);
        configuration
    }
}

fn service(name: &str, engine: &Value) -> Value {
    let mut service = json!({
        "name": name, "health_path": "/health", "connection_limit": 300,
        "protocol": "h1", "tls": false
    });
    if !engine.is_null() {
        service["engine"] = engine.clone();
    }
    service
}

impl TestConfiguration {
    /// Adds a route and returns it.
    pub fn add_route(
        &mut self,
        prefix: &str,
        kind: &str,
        service: &str,
        attempts: u32,
    ) -> &mut Value {
        let routes = self.value["routes"].as_array_mut().expect("a list of routes");
        routes.push(json!({
            "name": format!("r{prefix}"), "host": HOST, "prefix": prefix, "kind": kind,
            "timeout_ms": 8_000.0, "target_latency_ms": 400, "priority": 1, "service": service,
            "max_attempts": attempts, "anonymous": false, "sticky": service == CHAT_SERVICE,
            "resumable": false, "target_gap_ms": 400
        }));
        routes.last_mut().expect("it was just added")
    }

    /// Returns the route of a prefix.
    pub fn route_mut(&mut self, prefix: &str) -> &mut Value {
        let routes = self.value["routes"].as_array_mut().expect("a list of routes");
        routes
            .iter_mut()
            .find(|route| route["prefix"] == prefix)
            .expect("a route of the configuration")
    }

    /// Makes it the next version after a gap.
    pub fn next_version(&mut self) {
        let version = self.value["version"].as_u64().unwrap_or_default();
        self.value["version"] = json!(version + 3);
    }
}

/// Returns the entry of a replica that is reached at `address`.
pub fn upstream_entry(
    upstream: &Upstream,
    address: SocketAddr,
    service: &str,
    state: &str,
) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": "a", "version": "v1",
        "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 4,
        "born": upstream.started_at_ms()
    })
}
