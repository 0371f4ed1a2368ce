//! Tests of the catalogue of log events and of its table in docs/EVENTS.md.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;
use std::{env, fs};

use teaselworks::event;

const HEAD: &str = "# Log events

The message of each log line begins with the number of its event, for instance `TW0001`. This table
is generated from the code by `TEASELWORKS_RECORD=1 cargo test -p teaselworks --test events`.

| number | severity | name | meaning |
| --- | --- | --- | --- |
";

/// Guards against a table in docs/EVENTS.md that differs from the code. With `TEASELWORKS_RECORD`
/// set, the test writes the table first.
#[test]
fn the_documented_table_matches_the_catalogue() {
    let mut table = String::from(HEAD);
    for event in event::ALL {
        let level = event.level.as_str().to_lowercase();
        let (number, name, meaning) = (event.number, event.name, event.meaning);
        writeln!(table, "| TW{number:04} | {level} | `{name}` | {meaning} |").unwrap();
    }
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/EVENTS.md");
    if env::var_os("TEASELWORKS_RECORD").is_some() {
        fs::write(&path, &table).unwrap();
    }
    assert_eq!(fs::read_to_string(&path).unwrap_or_default(), table);
}

/// Guards against two events with the same number or name, by which operators' tools tell them
/// apart.
#[test]
fn numbers_and_names_are_unique_and_in_order() {
    let numbers: Vec<u16> = event::ALL.iter().map(|event| event.number).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    let names: BTreeSet<&str> = event::ALL.iter().map(|event| event.name).collect();
    assert_eq!(names.len(), numbers.len());
}
