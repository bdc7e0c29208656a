//! The catalogue of log events lists the event numbers of the code, and each number occurs once.

use std::collections::BTreeSet;

const CODE: &str = concat!(
    include_str!("../src/events.rs"),
    include_str!("../../relay/src/events.rs")
);
const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

fn parse_numbers<'a>(fields: impl Iterator<Item = &'a str>) -> (Vec<u16>, BTreeSet<u16>) {
    let listed: Vec<u16> = fields
        .filter_map(|field| field.trim().parse().ok())
        .collect();
    let distinct = listed.iter().copied().collect();
    (listed, distinct)
}

#[test]
fn code_and_catalogue_list_the_same_events() {
    let constants = CODE
        .lines()
        .filter_map(|line| line.strip_prefix("pub const "));
    let values = constants
        .filter_map(|line| line.split('=').nth(1))
        .map(|value| value.trim().trim_end_matches(';'));
    let (code, code_numbers) = parse_numbers(values);
    let (catalogue, catalogue_numbers) =
        parse_numbers(CATALOGUE.lines().filter_map(|line| line.split('|').nth(1)));
    assert_eq!(
        code.len(),
        code_numbers.len(),
        "an event number occurs twice in the code"
    );
    assert_eq!(
        catalogue.len(),
        catalogue_numbers.len(),
        "an event number occurs twice in the catalogue"
    );
    assert_eq!(code_numbers, catalogue_numbers);
    assert!(!code.is_empty());
}
