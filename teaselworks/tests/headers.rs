//! Headers of requests and answers that arrive malformed.

use http::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use teaselworks::platform::headers::{parse_request_headers, parse_response_headers};

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(HeaderName::from_static(name), HeaderValue::from_str(value).unwrap());
    }
    headers
}

#[test]
fn a_prompt_is_read_from_its_parts() {
    let headers = headers(&[
        ("x-request-id", "1"),
        ("x-token-usage", "1460,80"),
        ("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    ]);
    let prompt = parse_request_headers(&headers).unwrap().prompt.unwrap();
    assert_eq!((prompt.input_tokens, prompt.output_tokens), (1_460, 80));
    assert_eq!(prompt.key(), Some(0x91bd_3f06));
}

#[test]
fn a_prompt_that_cannot_be_read_is_none() {
    for usage in ["", "1460", "many,80", "-1,80"] {
        let headers = headers(&[("x-request-id", "1"), ("x-token-usage", usage)]);
        assert_eq!(parse_request_headers(&headers).unwrap().prompt, None, "{usage}");
    }
}

#[test]
fn loads_and_timeouts_are_read_where_they_are_stated() {
    let headers = headers(&[("x-server-load", "3, 1, 8"), ("keep-alive", "max=9, timeout=4")]);
    let facts = parse_response_headers(200, &headers);
    assert_eq!(facts.load.map(|load| (load.running, load.waiting)), Some((3, 1)));
    assert_eq!(facts.keep_alive.map(|time| time.as_secs()), Some(4));
    assert!(!facts.is_signed && !facts.is_not_run && !facts.closes_connection);
    assert!(parse_response_headers(421, &HeaderMap::new()).is_not_run);
}

proptest! {
    #[test]
    fn no_header_ends_the_router(values in prop::collection::vec("[ -~]{0,40}", 7)) {
        let names = [
            "x-request-id", "x-deadline-ms", "authorization", "x-token-usage", "x-prompt-prefix",
            "x-server-load", "keep-alive",
        ];
        let pairs: Vec<_> = names.into_iter().zip(values.iter().map(String::as_str)).collect();
        let headers = headers(&pairs);
        let _ = parse_request_headers(&headers);
        let _ = parse_response_headers(200, &headers);
    }
}
