//! Parsing of the headers of requests and responses, valid and malformed.

use http::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use teaselworks::platform::headers::{parse_request_headers, parse_response_headers};

/// Returns a header map of these names and values.
fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.append(HeaderName::from_static(name), HeaderValue::from_str(value).unwrap());
    }
    headers
}

/// Guards against wrong token counts or parts of a prompt, by which its replica is chosen.
#[test]
fn prompt_is_parsed_from_token_usage_and_prefix() {
    let headers = headers(&[
        ("x-request-id", "1"),
        ("x-token-usage", "1460,80"),
        ("x-prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    ]);
    let prompt = parse_request_headers(&headers).unwrap().prompt.unwrap();
    assert_eq!((prompt.input_tokens, prompt.output_tokens), (1_460, 80));
    assert_eq!(prompt.affinity_key(), Some(0x91bd_3f06));
}

/// Guards against a request that is rejected because its prompt description is malformed.
#[test]
fn malformed_prompt_description_is_ignored() {
    for usage in ["", "1460", "many,80", "-1,80"] {
        let headers = headers(&[("x-request-id", "1"), ("x-token-usage", usage)]);
        assert_eq!(parse_request_headers(&headers).unwrap().prompt, None, "{usage}");
    }
}

/// Guards against a length hint that is missed, and against a malformed or ambiguous one that counts
/// or makes the rest of the prompt description count as absent.
#[test]
fn length_hint_is_parsed_and_malformed_ones_are_ignored() {
    let cases: [(&[&str], Option<u32>); 10] = [
        (&["40"], Some(40)),
        (&[" 0 "], Some(0)),
        (&["4294967295"], Some(u32::MAX)),
        (&[], None),
        (&[""], None),
        (&["many"], None),
        (&["-1"], None),
        (&["4.5"], None),
        (&["4294967296"], None),
        (&["40", "40"], None),
    ];
    for (hints, expected) in cases {
        let mut pairs = vec![("x-request-id", "1"), ("x-token-usage", "1460,80")];
        pairs.extend(hints.iter().map(|hint| ("x-length-hint", *hint)));
        let prompt = parse_request_headers(&headers(&pairs)).unwrap().prompt.unwrap();
        assert_eq!((prompt.input_tokens, prompt.output_tokens), (1_460, 80), "{hints:?}");
        assert_eq!(prompt.output_hint, expected, "{hints:?}");
    }
}

/// Guards against a load or keep-alive timeout that is missed among other numbers and options, and
/// against flags that are set without their header.
#[test]
fn load_and_keep_alive_timeout_are_parsed() {
    let headers = headers(&[("x-server-load", "3, 1, 8"), ("keep-alive", "max=9, timeout=4")]);
    let metadata = parse_response_headers(200, &headers);
    assert_eq!(metadata.load.map(|load| (load.running, load.waiting)), Some((3, 1)));
    assert_eq!(metadata.keep_alive.map(|time| time.as_secs()), Some(4));
    assert!(!metadata.has_server_stamp && !metadata.is_not_run && !metadata.closes_connection);
    assert!(parse_response_headers(421, &HeaderMap::new()).is_not_run);
}

proptest! {
    /// Guards against a panic on a header with an unexpected value.
    #[test]
    fn arbitrary_headers_do_not_panic(values in prop::collection::vec("[ -~]{0,40}", 8)) {
        let names = [
            "x-request-id", "x-deadline-ms", "authorization", "x-token-usage", "x-prompt-prefix",
            "x-server-load", "keep-alive", "x-length-hint",
        ];
        let pairs: Vec<_> = names.into_iter().zip(values.iter().map(String::as_str)).collect();
        let headers = headers(&pairs);
        let _ = parse_request_headers(&headers);
        let _ = parse_response_headers(200, &headers);
    }
}
