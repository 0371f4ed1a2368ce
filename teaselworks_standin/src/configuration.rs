//! Configurations and replica entries as the platform's operator and the replicas write them to the
//! store.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::upstream::Upstream;

/// Host that every route matches.
pub const HOST: &str = "archive.example";
/// API key of the workspace [`WORKSPACE`].
pub const API_KEY: &str = "key-of-the-choir";
/// Name of the only workspace in the default configuration.
pub const WORKSPACE: &str = "choir";
/// Name of the service whose replicas are model engines.
pub const CHAT_SERVICE: &str = "chat";
/// Name of the service whose replicas are not model engines.
pub const ARCHIVE_SERVICE: &str = "archive";

/// A configuration in JSON that tests can extend and change.
#[derive(Clone, Debug)]
pub struct TestConfiguration {
    /// The configuration as the operator writes it.
    pub value: Value,
}

impl Default for TestConfiguration {
    /// Creates version 1, with an idempotent route, an at-most-once route, two streaming routes, of
    /// which one is resumable, two services and one workspace.
    fn default() -> Self {
        let mut configuration = Self {
            value: json!({
                "version": 1,
                "routes": [],
                "services": [
                    service_json(
                        CHAT_SERVICE,
                        &json!({ "slots": 48, "kv_capacity": 700_000, "moves": true })
                    ),
                    service_json(ARCHIVE_SERVICE, &Value::Null),
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

/// Returns the configuration of a service; `engine` is null if its replicas are not model engines.
fn service_json(name: &str, engine: &Value) -> Value {
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
    /// Adds a route for a path prefix and returns it. `kind` is `safe`, `unsafe` or `streaming`,
    /// and `attempts` is the value of `max_attempts`.
    pub fn add_route(
        &mut self,
        prefix: &str,
        kind: &str,
        service: &str,
        attempts: u32,
    ) -> &mut Value {
        let routes = self.value["routes"].as_array_mut().expect("`routes` is a list");
        routes.push(json!({
            "name": format!("r{prefix}"), "host": HOST, "prefix": prefix, "kind": kind,
            "timeout_ms": 8_000.0, "target_latency_ms": 400, "priority": 1, "service": service,
            "max_attempts": attempts, "anonymous": false, "sticky": service == CHAT_SERVICE,
            "resumable": false, "target_gap_ms": 400
        }));
        routes.last_mut().expect("a route was added")
    }

    /// Returns the route with a path prefix, which must exist.
    pub fn route_mut(&mut self, prefix: &str) -> &mut Value {
        let routes = self.value["routes"].as_array_mut().expect("`routes` is a list");
        routes.iter_mut().find(|route| route["prefix"] == prefix).expect("a route has this prefix")
    }

    /// Increases the version by 3, which leaves a gap in the sequence of versions.
    pub fn next_version(&mut self) {
        let version = self.value["version"].as_u64().unwrap_or_default();
        self.value["version"] = json!(version + 3);
    }
}

/// Returns the store entry of a replica that is reached at `address`, in zone `a`. `state` is the
/// state that the replica reports, such as `ready` or `draining`.
pub fn upstream_entry(
    upstream: &Upstream,
    address: SocketAddr,
    service: &str,
    state: &str,
) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": "a",
        "version": upstream.version(), "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 4,
        "born": upstream.started_at_ms()
    })
}
