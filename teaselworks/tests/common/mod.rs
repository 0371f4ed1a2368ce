//! Helpers for tests that start whole fleets.

#![allow(dead_code, reason = "each test binary uses only some of these helpers")]

pub mod crashes;
pub mod endless;
pub mod pieces;
pub mod streams;

use serde_json::Value;
use teaselworks_standin::caller::Call;
use teaselworks_standin::configuration::{API_KEY, HOST, TestConfiguration};
use teaselworks_standin::fleet::Fleet;
use teaselworks_standin::router::Program;

/// Returns the router binary under test.
pub fn program() -> Program {
    Program::binary(env!("CARGO_BIN_EXE_teaselworks"))
}

/// Starts a fleet with this number of routers and the default configuration.
pub async fn fleet(routers: usize) -> Fleet {
    Fleet::start(program(), routers).await.unwrap_or_else(|error| panic!("{error}"))
}

/// Starts a fleet with `configuration`; `bounds` changes that section of the routers' settings.
pub async fn fleet_with(routers: usize, configuration: TestConfiguration, bounds: &Value) -> Fleet {
    let started = Fleet::start_with(program(), routers, configuration, bounds).await;
    started.unwrap_or_else(|error| panic!("{error}"))
}

/// Waits until the store has the record of where streams can have begun, and all routers have read it.
pub async fn wait_for_record(fleet: &Fleet) {
    for router in &fleet.routers {
        router.wait_for_events("origins_recorded", 1).await.unwrap();
    }
}

/// Returns a request with an API key and a deadline of 6 s.
pub fn request(method: &str, target: &str, id: &str) -> Call {
    Call::new(method, HOST, target, id).with_api_key(API_KEY).with_header("X-Deadline-Ms", "6000")
}

/// Returns a request whose prompt shares a part of 800 tokens with other requests of the same
/// `chat`.
pub fn chat(target: &str, id: &str, chat: u64) -> Call {
    request("POST", target, id)
        .with_header("X-Model", "m")
        .with_header("X-Token-Usage", "1000,50")
        .with_header("X-Prompt-Prefix", &format!("a:100,{chat:x}:800,{id}:100"))
        .with_body("Which verse is older?")
}
