//! Tests of the instances of each service in the instance table.

use lagoonshore_state::instance_table::{InstanceRecord, InstanceState, InstanceTable};

fn record(name: &str, service: &str) -> InstanceRecord {
    InstanceRecord {
        name: name.into(),
        service: service.into(),
        zone: "izmit".into(),
        region: "marmara".into(),
        peer: ([127, 0, 0, 1], 9000).into(),
        state: InstanceState::Live,
    }
}

fn names(table: &InstanceTable, service: &str) -> Vec<String> {
    let listed = table.of_service(service);
    listed.map(|(_, record)| record.name.to_string()).collect()
}

#[test]
fn a_service_lists_its_instances_by_name() {
    let mut table = InstanceTable::default();
    for name in ["c", "a", "b"] {
        table.upsert(record(name, "ward"));
    }
    table.upsert(record("d", "archive"));
    assert_eq!(names(&table, "ward"), ["a", "b", "c"]);
    let key = table.find("b").expect("the instance is listed");
    table.remove(key);
    assert_eq!(names(&table, "ward"), ["a", "c"]);
    assert!(names(&table, "pharmacy").is_empty());
}

#[test]
fn an_instance_that_changes_its_service_keeps_its_key() {
    let mut table = InstanceTable::default();
    let key = table.upsert(record("a", "ward"));
    assert_eq!(table.upsert(record("a", "archive")), key);
    assert!(names(&table, "ward").is_empty());
    assert_eq!(names(&table, "archive"), ["a"]);
}
