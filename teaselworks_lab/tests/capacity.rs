//! The capacity page follows from the recorded slopes.

use std::env;
use std::fs;
use std::path::{Path, PathBuf};

use teaselworks_lab::capacity::{Inputs, Node, page};
use teaselworks_lab::slopes::{Fit, Point, Recording, Slope, SlopeName};

const TEMPLATE: &str = include_str!("../src/capacity/page.md");

fn docs(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs").join(name)
}

fn recorded() -> Recording {
    Recording::read(&docs("results/slopes.json")).expect("the slopes are recorded")
}

/// Fails unless two figures are the same but for what writing them as text takes away.
fn close(found: f64, expected: f64) {
    let least = 1e-9 * expected.abs().max(1.0);
    assert!((found - expected).abs() < least, "{found}, not {expected}");
}

// Symptom: the page tells figures that no run gave. Sequence: slopes are measured anew, or a
// formula changes, and the page is not written anew. Cause: figures copied by hand.
#[test]
fn page_follows_from_slopes() {
    let expected = page(&recorded(), TEMPLATE).expect("every slope is recorded");
    if env::var_os("TEASELWORKS_RECORD").is_some() {
        fs::write(docs("CAPACITY.md"), &expected).expect("the page can be written");
    }
    let found = fs::read_to_string(docs("CAPACITY.md")).expect("the page stands");
    assert_eq!(found, expected, "write it anew: TEASELWORKS_RECORD=1 cargo test --test capacity");
}

// Symptom: a line or its error differs from its points. Sequence: the data file is edited, or the
// fit's code changes. Cause: the file holds the fit beside the points that it is made from.
#[test]
fn lines_follow_from_points() {
    for slope in recorded().slopes {
        assert!(slope.points.len() >= 3, "{}: fewer than three sizes", slope.name);
        let pairs: Vec<_> = slope.points.iter().map(|point| (point.size, point.value)).collect();
        let (found, expected) = (slope.fit, Fit::of(&pairs));
        close(found.intercept, expected.intercept);
        close(found.slope, expected.slope);
        close(found.slope_error, expected.slope_error);
        close(found.error_at(410.0), expected.error_at(410.0));
    }
}

// Symptom: a total is wrong by an order of magnitude, and the page with it, as both come from one
// formula. Sequence: a unit or an input is mixed up. Cause: nothing else counts it. Here every
// slope is the line y = 1 + 2x, so that totals can be worked out by hand.
#[test]
fn totals_of_simple_lines() {
    let sizes = [1.0, 2.0, 24.0];
    let points = sizes.map(|size| Point { size, value: 1.0 + 2.0 * size, load_average: 0.0 });
    let slope = |name: &SlopeName| Slope::new(*name, "none", points.to_vec());
    let slopes = SlopeName::ALL.iter().map(slope).collect();
    let recording = Recording { processors: 1, slopes };
    let inputs = Inputs {
        routers: 10.0,
        replicas: 20.0,
        requests_per_s: 100.0,
        tokens_per_s: 1_000.0,
        chats: 1.0,
        workspaces: 100.0,
        models: 2.0,
        regions: 1.0,
        zones: 2.0,
        changes_per_day: 86_400.0,
        restarts_per_day: 0.0,
    };
    let node = Node::at(&recording, inputs).expect("every slope is there");
    // The mean of 3, 5 and 49 is 19. Membership 19, load 2 x 19, configuration 19, one change a
    // second 1 + 2 x 0.2, use and limits 1 + 2 x 10 each.
    close(node.bytes.total(), 19.0 + 38.0 + 19.0 + 1.4 + 21.0 + 21.0);
    // Idle 1 + 2 x 10, one change a second 1 + 2 x 100, limits without difference.
    close(node.processor.total(), 21.0 + 201.0);
    // Process 1; 9 links x 2; workspaces 2 x 99; membership and view 21 KB each; 2 replicas x 4; 21
    // records held twice, 2 KB each; tables of 10 replicas a model 21 KB.
    close(node.memory.control(), 1.0 + 18.0 + 198.0 + 0.042 + 8.0 + 0.084 + 0.021);
    // 10 requests a second of 10 tokens last 1.14 s: 11.4 streams x 2 MB at each end.
    close(node.memory.streams(), 2.0 * 22.8);
    close(node.entry_processor, 10.0 * 21.0);
    close(node.platform.usage, 128.0 / 8.0);
    close(node.busiest, 10.5);
}
