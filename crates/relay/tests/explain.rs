//! The explanation of where a request would go, on the admin listener.

mod support;

use support::{ask, two_zones};

#[actix_rt::test]
async fn an_explanation_names_the_route_and_the_instances_and_sends_nothing() {
    let fleet = two_zones().await;
    let admin = fleet.members[0].listen.admin;
    let page = ask(admin, "GET", "/explain/h/b/ok?q=1", "x", "").await;
    assert_eq!(page.status, 200, "{page:?}");
    let page: serde_json::Value = serde_json::from_str(&page.body).expect("JSON");
    assert_eq!(page["route"]["prefix"], "/b/");
    let choice = &page["services"][0];
    let candidates = choice["candidates"].as_array().expect("instances");
    let names: Vec<_> = candidates.iter().map(|known| &known["name"]).collect();
    assert!(names.iter().any(|name| **name == "u2"), "{page}");
    assert_eq!(choice["zone_share"], 0.0);
    for member in &fleet.members {
        assert!(member.upstream.ids().is_empty());
    }
}

#[actix_rt::test]
async fn a_request_without_a_route_is_not_explained() {
    let fleet = two_zones().await;
    let admin = fleet.members[0].listen.admin;
    for path in ["/explain/h/none/", "/explain/other/b/ok", "/explain/"] {
        let page = ask(admin, "GET", path, "x", "").await;
        assert_eq!(page.status, 404, "{path}");
        assert!(page.body.contains("no route"), "{page:?}");
    }
}
