//! What a base URL must look like.

use http::Uri;

/// Returns what is wrong with a base URL, or `None`.
pub(crate) fn problem(url: &str) -> Option<&'static str> {
    let Ok(uri) = url.parse::<Uri>() else {
        return Some("is not a URL");
    };
    if uri.authority().is_none_or(|authority| authority.host().is_empty()) {
        return Some("names no host");
    }
    match uri.scheme_str() {
        Some("http") => {}
        // The binary is built without TLS: calls to such a URL would fail one by one at run time.
        Some("https") => return Some("is https; only http is supported"),
        _ => return Some("is not an http URL"),
    }
    if uri.query().is_some() {
        return Some("has a query");
    }
    None
}
