//! The page of promises against the sources: each test that it names is there.

use std::fs;
use std::path::{Path, PathBuf};

const PAGE: &str = include_str!("../../../docs/PROMISES.md");

/// Cell of a row that names tests, as `crate: names; crate: names`.
const TESTS: usize = 4;
/// Promises of the brief.
const PROMISES: usize = 8;

/// All sources below a folder.
fn sources(folder: &Path) -> String {
    let mut text = String::new();
    let mut folders = vec![PathBuf::from(folder)];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).unwrap() {
            let path = entry.unwrap().path();
            if path.is_dir() {
                folders.push(path);
            } else if path.extension().is_some_and(|e| e == "rs") {
                text.push_str(&fs::read_to_string(path).unwrap());
            }
        }
    }
    text
}

#[test]
fn each_test_that_a_promise_names_stands_in_its_crate() {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap();
    let rows = PAGE.lines().filter(|l| l.starts_with("| ")).skip(2);
    let mut promises = 0;
    for row in rows {
        promises += 1;
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        for part in cells[TESTS].split("; ") {
            let (name, tests) = part.split_once(": ").expect(part);
            let text = sources(&crates.join(name).join("tests"));
            for test in tests.split(", ") {
                let head = format!("fn {}(", test.trim_matches('`'));
                let mut places = text.match_indices(&head);
                let is_test = |at: usize| text[..at].trim_end().ends_with("#[test]");
                let found = places.any(|(at, _)| is_test(at));
                assert!(found, "{name}: no {test}");
            }
        }
    }
    assert_eq!(promises, PROMISES);
}
