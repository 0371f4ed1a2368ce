//! The record of where streams can have begun lately, as the store holds it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use teaselworks_policy::origin_memory::RecordedOrigins;

use super::{DecodeError, wire};

/// Value of the record, as JSON.
#[derive(Serialize, Deserialize)]
struct WireOrigins {
    /// Fingerprints of the stream routes, in hexadecimal.
    routes: Vec<String>,
    /// Software versions by service.
    versions: BTreeMap<Arc<str>, BTreeSet<Arc<str>>>,
}

/// Returns the record as it is written.
///
/// ```
/// use teaselworks::platform::encode_origins;
/// use teaselworks_policy::origin_memory::RecordedOrigins;
///
/// let record = RecordedOrigins { routes: [10].into(), versions: [].into() };
/// assert_eq!(encode_origins(&record), br#"{"routes":["a"],"versions":{}}"#);
/// ```
pub fn encode_origins(record: &RecordedOrigins) -> Vec<u8> {
    let routes = record.routes.iter().map(|fingerprint| format!("{fingerprint:x}")).collect();
    let value = WireOrigins { routes, versions: record.versions.clone() };
    // Never fails: the keys of the map are text.
    serde_json::to_vec(&value).unwrap_or_default()
}

/// Decodes the record. Fails if it is not one.
pub(super) fn decode(value: &[u8]) -> Result<RecordedOrigins, DecodeError> {
    let value: WireOrigins = wire::from_json(value)?;
    let mut routes = BTreeSet::new();
    for text in &value.routes {
        let fingerprint = u64::from_str_radix(text, 16);
        routes.insert(fingerprint.map_err(|error| DecodeError::new("routes", error))?);
    }
    Ok(RecordedOrigins { routes, versions: value.versions })
}
