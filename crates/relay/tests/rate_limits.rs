//! Limits on the rate of requests that upstreams name, over real sockets.

mod support;

use futures::future::join_all;
use lagoonshore_state::{instance_table::InstanceState, upstream_list::UpstreamLimit};
use support::two_zones;

#[actix_rt::test]
async fn an_upstream_that_names_a_limit_gets_no_more_and_the_rest_is_refused_at_once() {
    let fleet = two_zones().await;
    let upstream = &fleet.members[2].upstream;
    upstream.limit.set(Some("2"));
    assert_eq!(fleet.ask("POST", "/b-once/ok", "first").await.status, 200);
    let ids: Vec<String> = (0..20).map(|number| format!("i{number}")).collect();
    let asked = ids.iter().map(|id| fleet.ask("POST", "/b-once/ok", id));
    let responses = join_all(asked).await;
    let (served, refused): (Vec<_>, Vec<_>) = responses
        .into_iter()
        .partition(|response| response.status == 200);
    assert!((1..=4).contains(&served.len()), "{served:?}");
    assert_eq!(upstream.ids().len(), served.len() + 1);
    for response in refused {
        assert_eq!(response.status, 503, "{response:?}");
        assert!(response.fields.contains("Retry-After: "), "{response:?}");
    }
}

#[actix_rt::test]
async fn a_limit_that_has_ended_is_no_longer_applied() {
    let fleet = two_zones().await;
    let upstream = &fleet.members[2].upstream;
    upstream.limit.set(Some("1"));
    assert_eq!(fleet.ask("POST", "/b-once/ok", "i1").await.status, 200);
    upstream.limit.set(None);
    assert_eq!(fleet.ask("POST", "/b-once/ok", "i2").await.status, 200);
    for number in 0..20 {
        let id = format!("j{number}");
        assert_eq!(fleet.ask("POST", "/b-once/ok", &id).await.status, 200);
    }
}

#[actix_rt::test]
async fn a_limit_of_zero_that_ends_is_noticed_without_a_request() {
    let fleet = two_zones().await;
    let upstream = &fleet.members[2].upstream;
    *upstream.name.borrow_mut() = "u2".to_owned();
    upstream.limit.set(Some("0"));
    assert_eq!(fleet.ask("POST", "/b-once/ok", "i1").await.status, 200);
    assert_eq!(fleet.ask("POST", "/b-once/ok", "i2").await.status, 503);
    upstream.limit.set(None);
    let mut number = 0;
    while fleet
        .ask("POST", "/b-once/ok", &format!("j{number}"))
        .await
        .status
        != 200
    {
        number += 1;
        actix_rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}

#[actix_rt::test]
async fn a_restarted_node_learns_the_limit_from_the_sender() {
    let fleet = two_zones().await;
    let sender = &fleet.members[0].node;
    let restarted = &fleet.members[2];
    let limit = UpstreamLimit {
        name: "u2".into(),
        rate: 0.0,
    };
    sender.record_limit(restarted.listen.peers, Some(&limit));
    let response = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(response.status, 503, "{response:?}");
    assert!(!restarted.upstream.ids().contains(&"i1".to_owned()));
}

#[actix_rt::test]
async fn a_limit_of_the_service_that_had_the_address_before_is_not_applied() {
    let mut fleet = two_zones().await;
    let limit = UpstreamLimit {
        name: "old-b".into(),
        rate: 0.0,
    };
    let peer = fleet.members[1].listen.peers;
    fleet.members[0].node.record_limit(peer, Some(&limit));
    fleet.members[1].service = "b".into();
    fleet.members[1].name = "old-b".into();
    fleet.list(1, InstanceState::Live);
    fleet.list(2, InstanceState::Leaving);
    let response = fleet.ask("POST", "/b-once/ok", "i1").await;
    assert_eq!(response.status, 503, "{response:?}");
    fleet.members[0].node.record_limit(peer, None);
    fleet.members[0].name = "u0".into();
    fleet.list(0, InstanceState::Leaving);
    let response = fleet.ask("POST", "/once/ok", "i2").await;
    assert_eq!(response.status, 200, "{response:?}");
}
