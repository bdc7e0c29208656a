//! Spread of reports over fleets of different sizes.

use lagoonshore_coordination::gossip::report_spread::{
    REPORT_FANOUT, REPORT_INTERVAL, choose_peers,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rstest::rstest;
use std::time::Duration;

/// Time within which every node has to know of a crashing request.
const SPREAD_TIME_MAX: Duration = Duration::from_secs(3);

/// Result of a spread that starts at one node.
struct SpreadResult {
    elapsed: Duration,
    sent_per_node_max: usize,
}

/// Plays intervals until all of `nodes` are informed; each message is lost with `loss`.
fn spread(nodes: usize, loss: f64, seed: u64) -> SpreadResult {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut informed = vec![false; nodes];
    informed[0] = true;
    let mut elapsed = Duration::ZERO;
    let mut sent_per_node_max = 0;
    while informed.contains(&false) {
        let senders: Vec<usize> = (0..nodes).filter(|node| informed[*node]).collect();
        for sender in senders {
            let peers: Vec<usize> = (0..nodes).filter(|peer| *peer != sender).collect();
            let chosen = choose_peers(&peers, &mut random);
            sent_per_node_max = sent_per_node_max.max(chosen.len());
            for peer in chosen {
                informed[peer] |= !random.random_bool(loss);
            }
        }
        elapsed += REPORT_INTERVAL;
    }
    SpreadResult {
        elapsed,
        sent_per_node_max,
    }
}

#[rstest]
#[case(2, 0.0)]
#[case(12, 0.1)]
#[case(96, 0.1)]
#[case(300, 0.1)]
#[case(820, 0.1)]
fn reports_reach_all_nodes_in_time_with_few_messages(#[case] nodes: usize, #[case] loss: f64) {
    for seed in 0..10 {
        let result = spread(nodes, loss, seed);
        assert!(result.elapsed <= SPREAD_TIME_MAX, "{:?}", result.elapsed);
        assert!(result.sent_per_node_max <= REPORT_FANOUT);
    }
}

#[test]
fn peers_are_chosen_once_each_and_none_is_needed() {
    let mut random = SmallRng::seed_from_u64(1);
    let nobody: [u32; 0] = [];
    assert_eq!(choose_peers(&nobody, &mut random), nobody);
    let mut chosen = choose_peers(&[7, 8], &mut random);
    chosen.sort_unstable();
    assert_eq!(chosen, [7, 8]);
}
