//! The catalogue of log events: numbers are unique, and docs/EVENTS.md lists them all.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;
use std::{env, fs};

use teaselworks::event;

const HEAD: &str = "# Log events

Each line of the log begins with the number of its event (`TW0001`). The table is written from the
code: `TEASELWORKS_RECORD=1 cargo test -p teaselworks --test events` writes it anew.

| number | severity | name | meaning |
| --- | --- | --- | --- |
";

#[test]
fn catalogue_and_code_list_the_same_events() {
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

#[test]
fn numbers_and_names_are_unique_and_in_order() {
    let numbers: Vec<u16> = event::ALL.iter().map(|event| event.number).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    let names: BTreeSet<&str> = event::ALL.iter().map(|event| event.name).collect();
    assert_eq!(names.len(), numbers.len());
}
