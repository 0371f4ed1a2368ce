//! Settings are refused with every fault at once, each with file, line and field.

use teaselworks_config::settings::Settings;

const VALID: &str = r#"{
  // Who and where.
  "router": { "name": "r1", "region": "ljubljana", "zone": "dvorana-a" },
  "listen": {
    "callers": "127.0.0.1:8080",
    "links": "127.0.0.1:8081",
    "operators": "127.0.0.1:8082",
  },
  "links": { "secret": "a secret of the fleet" },
  "platform": { "endpoints": ["http://127.0.0.1:2379"] },
  "vm_list": { "url": "http://127.0.0.1:2380/vms" },
}"#;

/// Returns the faults of the valid settings with `old` replaced by `new`, without problems.
fn faults(replacements: &[(&str, &str)]) -> Vec<String> {
    let mut text = VALID.to_string();
    for (old, new) in replacements {
        assert!(text.contains(old), "{old}");
        text = text.replace(old, new);
    }
    match Settings::parse("s.jsonc", &text) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.to_string().lines().map(String::from).collect(),
    }
}

#[test]
fn comments_and_trailing_commas_are_read_and_defaults_filled_in() {
    let settings = Settings::parse("s.jsonc", VALID).expect("valid settings");
    assert_eq!(&*settings.router.zone, "dvorana-a");
    assert_eq!(settings.links.frame_size_bytes, 64 << 10);
    assert!(!format!("{settings:?}").contains("a secret of the fleet"));
}

// Symptom: a router restarts once per typo, because each start names only the first.
// Sequence: an unknown field, a missing one, two wrong types and contradictory limits in one file.
// Cause: the typed reader stops at its first error.
#[test]
fn every_fault_is_named_at_once_with_its_line() {
    let found = faults(&[
        ("\"zone\": \"dvorana-a\"", "\"zoen\": \"dvorana-a\""),
        ("\"127.0.0.1:8081\"", "8081"),
        (
            "\"links\": { \"secret\": \"a secret of the fleet\" }",
            "\"links\": {\n \"secret\": \"short\",\n \"streams\": -1,\n \"frame_size_bytes\": 70000 }",
        ),
        ("\"http://127.0.0.1:2379\"", ""),
    ]);
    assert_eq!(
        found,
        [
            "s.jsonc:3:3: router.zone: is missing",
            "s.jsonc:3:52: router.zoen: unknown field `zoen`, expected one of `name`, `region`, `zone`",
            "s.jsonc:6:5: listen.links: invalid type: integer `8081`, expected socket address",
            "s.jsonc:10:2: links.secret: has fewer than 16 characters",
            "s.jsonc:11:2: links.streams: invalid value: integer `-1`, expected u32",
            "s.jsonc:12:2: links.frame_size_bytes: is above stream_window_bytes, which is 65536",
            "s.jsonc:13:17: platform.endpoints: is empty",
        ]
    );
}

#[test]
fn limits_that_contradict_each_other_are_refused() {
    let cases = [
        ("\"membership\": { \"probe_timeout_ms\": 500 }", "membership.probe_timeout_ms"),
        ("\"membership\": { \"suspicion_ms\": 100 }", "membership.suspicion_ms"),
        ("\"limits\": { \"default_deadline_ms\": 600001 }", "limits.default_deadline_ms"),
        ("\"limits\": { \"header_size_bytes\": 10 }", "limits.header_size_bytes"),
        ("\"limits\": { \"requests\": 0 }", "limits.requests"),
        ("\"stop\": { \"drain_ms\": 1000 }", "stop.drain_ms"),
    ];
    for (member, field) in cases {
        let found = faults(&[("\"vm_list\"", &format!("{member},\n  \"vm_list\""))]);
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(found[0].contains(&format!(": {field}: ")), "{found:?}");
    }
    let replaced = [
        ("127.0.0.1:8082", "0.0.0.0:8080", "listen.operators"),
        ("127.0.0.1:8081", "0.0.0.0:8081", "listen.links_advertised"),
        ("fleet\"", "fleet\", \"memory_bytes\": 1000", "links.memory_bytes"),
        ("http://127.0.0.1:2380/vms", "https://127.0.0.1/vms", "vm_list.url"),
        ("http://127.0.0.1:2379", "127.0.0.1:2379", "platform.endpoints[0]"),
        ("\"r1\"", "\"r 1\"", "router.name"),
    ];
    for (old, new, field) in replaced {
        let found = faults(&[(old, new)]);
        assert_eq!(found.len(), 1, "{found:?}");
        assert!(found[0].contains(&format!(": {field}: ")), "{found:?}");
    }
}

#[test]
fn broken_syntax_and_repeated_members_are_refused() {
    assert_eq!(
        faults(&[("\"listen\": {", "\"listen\" {")]),
        ["s.jsonc:4:12: Expected colon after the string or word in object property"]
    );
    assert_eq!(
        faults(&[("\"name\": \"r1\"", "\"name\": \"r1\", \"name\": \"r2\"")]),
        ["s.jsonc:3:29: router.name: occurs twice"]
    );
}
