//! docs/PROOFS.md names tests that exist.

use std::fs;
use std::path::Path;

#[test]
fn every_test_named_as_a_proof_exists() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    let page = fs::read_to_string(root.join("docs/PROOFS.md")).unwrap();
    let mut proofs = 0;
    for quoted in page.split('`') {
        let Some((file, test)) = quoted.split_once(".rs::") else {
            continue;
        };
        let source = fs::read_to_string(root.join(format!("{file}.rs"))).unwrap_or_default();
        assert!(source.contains(&format!("fn {test}(")), "{quoted} does not exist");
        proofs += 1;
    }
    assert!(proofs > 40, "only {proofs} proofs were found on the page");
}
