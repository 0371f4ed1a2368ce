//! Replaces the addresses of replicas in the items that one client of the store gets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::Value;

/// Addresses by which those in the entries of replicas are replaced. Clones share their content.
#[derive(Clone, Debug, Default)]
pub struct AddressMap(Arc<Mutex<HashMap<String, SocketAddr>>>);

impl AddressMap {
    /// Replaces the address `listed` by `shown` from now on.
    pub fn insert(&self, listed: SocketAddr, shown: SocketAddr) {
        self.0.lock().expect("locks are never poisoned").insert(listed.to_string(), shown);
    }

    /// Replaces the addresses in a list of items; leaves values that cannot be decoded unchanged.
    pub(super) fn replace_in(&self, items: &mut Value) {
        let addresses = self.0.lock().expect("locks are never poisoned");
        if addresses.is_empty() {
            return;
        }
        for item in items.as_array_mut().into_iter().flatten() {
            let bytes = STANDARD.decode(item["value"].as_str().unwrap_or_default());
            let entry = bytes.ok().and_then(|bytes| serde_json::from_slice::<Value>(&bytes).ok());
            let Some(mut entry) = entry else { continue };
            let Some(shown) = entry["address"].as_str().and_then(|listed| addresses.get(listed))
            else {
                continue;
            };
            entry["address"] = shown.to_string().into();
            item["value"] = STANDARD.encode(entry.to_string()).into();
        }
    }
}
