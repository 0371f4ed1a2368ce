//! Deserialization of the platform's JSON, which may write whole numbers with a decimal point.

use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};

use super::DecodeError;

/// Longest duration that a field may state: one day.
const MAX_DURATION_MS: f64 = 86_400_000.0;

/// Deserializes a JSON value; the error names the invalid field.
pub(super) fn from_json<T: DeserializeOwned>(value: &[u8]) -> Result<T, DecodeError> {
    let mut json = serde_json::Deserializer::from_slice(value);
    let value = serde_path_to_error::deserialize(&mut json)
        .map_err(|error| DecodeError::new(error.path().to_string(), error.inner()))?;
    json.end().map_err(|error| DecodeError::new("", error))?;
    Ok(value)
}

/// Deserializes a duration in milliseconds, which may have a fraction.
pub(super) fn duration_ms<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    let ms = f64::deserialize(deserializer)?;
    if !(0.0..=MAX_DURATION_MS).contains(&ms) {
        return Err(serde::de::Error::custom("is not a number of milliseconds from 0 to 86400000"));
    }
    Ok(Duration::from_secs_f64(ms / 1e3))
}

/// Deserializes a whole number, which may be written with a decimal point. A fraction is cut off,
/// and a number outside the range of `u64` becomes the nearest value in it.
pub(super) fn saturating_u64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if number.is_nan() {
        return Err(serde::de::Error::custom("is not a number"));
    }
    // Casting a float to an integer saturates.
    Ok(number as u64)
}

/// Deserializes a number as [`saturating_u64`] does, but limited to the range of `u32`.
pub(super) fn saturating_u32<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    Ok(u32::try_from(saturating_u64(deserializer)?).unwrap_or(u32::MAX))
}

/// Deserializes an optional field that may be absent but must not be `null`.
pub(super) fn non_null<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    deserializer: D,
) -> Result<Option<T>, D::Error> {
    T::deserialize(deserializer).map(Some)
}
