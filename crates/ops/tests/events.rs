//! Checks that the event definitions match the page for operators.

use std::collections::{BTreeMap, BTreeSet};

use pumicecleat_ops::events;

const PAGE: &str = include_str!("../../../docs/EVENTS.md");

/// Cells of the table rows in the page, by event number.
fn page_rows() -> BTreeMap<&'static str, Vec<&'static str>> {
    let rows: Vec<Vec<&str>> = PAGE
        .lines()
        .filter(|line| line.starts_with("| E"))
        .map(|line| line.trim_matches('|').split('|').map(str::trim).collect())
        .collect();
    let count = rows.len();
    let rows: BTreeMap<_, _> = rows.into_iter().map(|cells| (cells[0], cells)).collect();
    assert_eq!(
        rows.len(),
        count,
        "an event number occurs twice in the page"
    );
    rows
}

#[test]
fn page_and_code_list_the_same_events() {
    let mut page = page_rows();
    for event in events::all() {
        let cells = page.remove(event.code);
        let cells = cells.unwrap_or_else(|| panic!("{} is not in the page", event.code));
        let fields: Vec<String> = event.fields.iter().map(|f| format!("`{f}`")).collect();
        let fields = match fields.as_slice() {
            [] => "none".to_owned(),
            fields => fields.join(", "),
        };
        let name = format!("`{}`", event.name);
        let expected = [event.code, &name, event.level.name(), &fields];
        assert_eq!(cells[..4], expected);
        assert_eq!(
            cells.len(),
            6,
            "{}: meaning or action is missing",
            event.code
        );
        assert!(cells.iter().all(|c| !c.is_empty()), "{}", event.code);
    }
    assert!(page.is_empty(), "not in the code: {:?}", page.keys());
}

#[test]
fn numbers_are_sorted_and_names_are_unique() {
    let codes: Vec<&str> = events::all().map(|e| e.code).collect();
    assert!(codes.is_sorted_by(|a, b| a < b), "{codes:?}");
    let names: BTreeSet<&str> = events::all().map(|e| e.name).collect();
    assert_eq!(names.len(), codes.len());
}
