use super::*;

/// A cluster with one register for each function, whose writes take no time; every node polls at its
/// interval.
struct TestCluster {
    nodes: Vec<Election>,
    registers: BTreeMap<String, (u64, Option<LeaderRecord>)>,
    functions: BTreeSet<String>,
}

impl TestCluster {
    fn new(node_count: u64, function_count: usize, settings: ElectionSettings) -> TestCluster {
        let functions: BTreeSet<String> =
            (0..function_count).map(|number| format!("function-{number}")).collect();
        let registers = functions.iter().map(|name| (name.clone(), (0, None))).collect();
        let mut nodes: Vec<Election> =
            (1..=node_count).map(|node| Election::new(node, settings.clone())).collect();
        nodes.iter_mut().for_each(|node| node.set_functions(functions.clone()));
        TestCluster { nodes, registers, functions }
    }

    fn run(&mut self, from_millis: u64, to_millis: u64, down: &[NodeId]) {
        let members: Vec<NodeId> =
            self.nodes.iter().map(|node| node.own).filter(|node| !down.contains(node)).collect();
        for millisecond in (from_millis..to_millis).step_by(50) {
            let now = Micros::from_millis(millisecond);
            for node in self.nodes.iter_mut().filter(|node| !down.contains(&node.own)) {
                if millisecond % 500 == (node.own * 50) % 500 || node.is_unsettled(&members, now) {
                    for (function, (version, record)) in &self.registers {
                        node.observe(function, *version, record.clone(), now);
                    }
                }
                for write in node.tick(&members, now) {
                    let register = self.registers.get_mut(&write.function).expect("a known function");
                    if register.0 != write.expected {
                        node.handle_conflict(&write.function, register.0, register.1.clone(), now);
                        continue;
                    }
                    *register = (register.0 + 1, Some(write.record.clone()));
                    node.handle_written(&write.function, register.0, &write.record, now);
                }
            }
            // At most one leader of each function at any time.
            for function in &self.functions {
                let acting = self.nodes.iter().filter(|node| node.term(function, now).is_some()).count();
                assert!(acting <= 1, "{function} at {now:?}");
            }
        }
    }

    fn spread(&self, now: Micros) -> Vec<usize> {
        self.nodes.iter().map(|node| node.held(now).len()).collect()
    }
}

#[test]
fn leaders_are_spread_evenly_and_a_dead_nodes_functions_go_to_the_least_loaded() {
    let mut cluster = TestCluster::new(10, 158, ElectionSettings::default());
    cluster.run(0, 10_000, &[]);
    let spread = cluster.spread(Micros::from_millis(9_950));
    assert_eq!(spread.iter().sum::<usize>(), 158);
    assert!(spread.iter().all(|count| (15..=17).contains(count)), "{spread:?}");
    cluster.run(10_000, 20_000, &[3, 7]);
    let spread = cluster.spread(Micros::from_millis(19_950));
    assert_eq!(spread.iter().sum::<usize>(), 158);
    assert!((0..10).all(|index| [2, 6].contains(&index) || (18..=21).contains(&spread[index])), "{spread:?}");
}

#[test]
fn a_term_ends_a_lease_after_its_last_acknowledged_renewal_was_sent() {
    let mut cluster = TestCluster::new(1, 1, ElectionSettings::default());
    cluster.run(0, 2_000, &[]);
    let node = &cluster.nodes[0];
    let last_sent = node.terms["function-0"].acknowledged_sent_at;
    let lease_end = last_sent + Micros::from_secs(3);
    assert!(node.term("function-0", lease_end - Micros(1)).is_some());
    assert!(node.term("function-0", lease_end).is_none());
}

#[test]
fn a_transferred_term_is_claimed_only_by_its_successor_under_a_higher_epoch() {
    let mut cluster = TestCluster::new(3, 1, ElectionSettings::default());
    cluster.run(0, 1_000, &[]);
    let now = Micros::from_secs(1);
    let previous_leader =
        cluster.nodes.iter().position(|node| node.own_count() == 1).expect("one node leads");
    let successor = (previous_leader + 1) % 3;
    let old_epoch = cluster.nodes[previous_leader].term("function-0", now).expect("a term");
    let successor_node = cluster.nodes[successor].own;
    cluster.nodes[previous_leader].transfer_to(successor_node, "function-0");
    assert!(
        cluster.nodes[previous_leader].term("function-0", now).is_none(),
        "fenced before the write leaves"
    );
    cluster.run(1_000, 2_500, &[]);
    let new_epoch = cluster.nodes[successor].term("function-0", Micros::from_millis(2_450)).expect("taken");
    assert!(new_epoch > old_epoch);
}

#[test]
fn a_renewal_whose_response_was_lost_counts_from_its_first_transmission() {
    let mut node = Election::new(1, ElectionSettings::default());
    node.set_functions(["f".to_owned()].into());
    node.observe("f", 0, None, Micros(0));
    let claim = node.tick(&[1], Micros(0)).remove(0);
    node.handle_written("f", 1, &claim.record, Micros(0));
    let first_renewal = node.tick(&[1], Micros::from_secs(1)).remove(0);
    node.handle_no_response("f", Micros::from_millis(1_600));
    let second_renewal = node.tick(&[1], Micros::from_millis(1_800)).remove(0);
    assert_eq!(first_renewal.record, second_renewal.record);
    // The first one was stored; followers may have observed it since then.
    node.handle_conflict("f", 2, Some(first_renewal.record), Micros::from_millis(1_900));
    assert!(node.term("f", Micros::from_millis(3_999)).is_some());
    assert!(node.term("f", Micros::from_millis(4_000)).is_none());
}

#[test]
fn a_release_waits_for_the_response_to_an_open_renewal() {
    let mut node = Election::new(1, ElectionSettings::default());
    node.set_functions(["f".to_owned()].into());
    node.observe("f", 0, None, Micros(0));
    let claim = node.tick(&[1], Micros(0)).remove(0);
    node.handle_written("f", 1, &claim.record, Micros(0));
    let renewal = node.tick(&[1], Micros::from_secs(1)).remove(0);
    node.release_all();
    assert!(node.tick(&[1], Micros::from_millis(1_050)).is_empty());
    node.handle_written("f", 2, &renewal.record, Micros::from_millis(1_100));
    let release = node.tick(&[1], Micros::from_millis(1_120)).remove(0);
    assert_eq!((release.expected, release.record.holder), (2, 0));
    node.handle_written("f", 3, &release.record, Micros::from_millis(1_130));
    assert!(node.is_empty());
}

#[test]
fn the_fallback_claims_if_the_least_loaded_node_never_does() {
    // Node 1 holds its share; node 2 is a member that never claims.
    let mut cluster = TestCluster::new(2, 3, ElectionSettings::default());
    let members = [1, 2];
    let mut taken_past_gate = 0;
    for millisecond in (0..6_000u64).step_by(100) {
        let now = Micros::from_millis(millisecond);
        let node = &mut cluster.nodes[0];
        for (function, (version, record)) in &cluster.registers {
            node.observe(function, *version, record.clone(), now);
        }
        for write in node.tick(&members, now) {
            let register = cluster.registers.get_mut(&write.function).expect("a known function");
            *register = (register.0 + 1, Some(write.record.clone()));
            node.handle_written(&write.function, register.0, &write.record, now);
        }
        for change in node.take_changes() {
            taken_past_gate += usize::from(matches!(change, TermChange::Taken { past_gate: true, .. }));
        }
    }
    assert_eq!(cluster.nodes[0].held(Micros::from_millis(5_900)).len(), 3);
    assert!((1..3).contains(&taken_past_gate), "{taken_past_gate}");
}

#[test]
fn a_restarted_process_reclaims_at_once_what_its_previous_incarnation_led() {
    let address = peer_messages::Address::from(std::net::SocketAddr::from(([10, 0, 0, 1], 7)));
    let (before, own) = (peer_messages::node_id(address, 1), peer_messages::node_id(address, 2));
    let record = |holder| LeaderRecord { holder, renew_count: 3, lease_micros: 3_000_000, leader_epoch: 4 };
    let claims = |holder: NodeId| {
        let mut election = Election::new(own, ElectionSettings::default());
        election.set_functions(BTreeSet::from(["proof".to_owned()]));
        election.observe("proof", 9, Some(record(holder)), Micros(0));
        let writes = election.tick(&[own, 5], Micros::from_millis(20));
        (election.holder("proof", Micros::from_millis(20)), writes.len())
    };
    assert_eq!(claims(before), (None, 1), "the previous incarnation has ended");
    assert_eq!(claims(5), (Some((5, 4)), 0), "another node's lease must expire first");
    // All of them at once, though the gate would admit one at a time.
    let names: BTreeSet<String> = (0..20).map(|number| format!("function-{number}")).collect();
    let mut election = Election::new(own, ElectionSettings::default());
    election.set_functions(names.clone());
    for name in &names {
        election.observe(name, 9, Some(record(before)), Micros(0));
    }
    assert_eq!(election.tick(&[own, 5], Micros::from_millis(20)).len(), 20);
}

#[test]
fn an_unchanged_record_keeps_its_time_and_a_renewed_one_gets_a_new_one() {
    let mut node = Election::new(1, ElectionSettings::default());
    node.set_functions(["f".to_owned()].into());
    let record = LeaderRecord { holder: 2, renew_count: 1, lease_micros: 3_000_000, leader_epoch: 4 };
    node.observe("f", 5, Some(record), Micros(0));
    node.record_poll(|function| function == "f", Micros::from_secs(2));
    assert!(node.holder("f", Micros::from_millis(2_999)).is_some());
    assert!(node.holder("f", Micros::from_secs(3)).is_none(), "confirmed as unchanged is not renewed");
    node.record_renewal("f", 5, Micros::from_millis(3_100));
    assert!(node.holder("f", Micros::from_millis(3_100)).is_none(), "a delayed response with an old version");
    node.record_renewal("f", 6, Micros::from_millis(3_200));
    assert_eq!(node.holder("f", Micros::from_millis(6_199)), Some((2, 4)));
    assert!(node.holder("f", Micros::from_millis(6_200)).is_none());
    node.record_renewal("g", 1, Micros(0));
    assert!(node.holder("g", Micros(0)).is_none(), "the function is unknown");
}

#[test]
fn the_fallback_reaches_all_functions_behind_a_closed_gate_in_turn() {
    // Node 1 holds its share; node 2 is a member that never claims, and 300 functions wait.
    let mut node = Election::new(1, ElectionSettings::default());
    let functions: BTreeSet<String> = (0..600).map(|number| format!("function-{number}")).collect();
    node.set_functions(functions.clone());
    let mut versions: BTreeMap<String, (u64, Option<LeaderRecord>)> =
        functions.iter().map(|function| (function.clone(), (0, None))).collect();
    for millisecond in (0..40_000u64).step_by(20) {
        let now = Micros::from_millis(millisecond);
        if millisecond % 500 == 0 {
            for (function, (version, record)) in &versions {
                node.observe(function, *version, record.clone(), now);
            }
        }
        for write in node.tick(&[1, 2], now) {
            let register = versions.get_mut(&write.function).expect("a known function");
            *register = (register.0 + 1, Some(write.record.clone()));
            node.handle_written(&write.function, register.0, &write.record, now);
        }
    }
    assert_eq!(node.held(Micros::from_millis(39_990)).len(), 600);
}

#[test]
fn the_gate_is_weighted_by_capacity_and_equals_the_papers_for_equal_machines() {
    let members = [1, 2, 3];
    let mut election = Election::new(1, ElectionSettings::default());
    assert_eq!(election.fair_share(1, &members, 29), 30.0 / 3.0);
    election.set_capacities([(1, 260), (2, 65), (3, 65)].into());
    assert_eq!(election.fair_share(1, &members, 29), 20.0);
    assert_eq!(election.fair_share(2, &members, 29), 5.0);
}

/// A node that leads one function under the longer lease of functions without calls.
fn idle_holder() -> (Election, u64) {
    let mut node = Election::new(1, ElectionSettings::default());
    node.set_functions(BTreeSet::from(["proof".to_owned()]));
    node.observe("proof", 0, None, Micros(0));
    let claim = node.tick(&[1], Micros(0)).pop().expect("a claim");
    node.handle_written("proof", 1, &claim.record, Micros(0));
    node.set_idle_functions(BTreeSet::from(["proof".to_owned()]));
    let renewal = node.tick(&[1], Micros::from_secs(1)).pop().expect("a renewal");
    assert_eq!(renewal.record.lease_micros, 6_000_000);
    node.handle_written("proof", 2, &renewal.record, Micros::from_secs(1));
    (node, 2)
}

#[test]
fn a_function_without_calls_is_renewed_half_as_often_under_a_lease_twice_as_long() {
    let (mut node, version) = idle_holder();
    assert!(node.tick(&[1], Micros::from_millis(2_900)).is_empty());
    assert_eq!(node.tick(&[1], Micros::from_secs(3)).len(), 1);
    // Without a response to that renewal the acknowledged lease ends the term.
    assert!(node.term("proof", Micros::from_millis(6_999)).is_some());
    assert!(node.term("proof", Micros::from_secs(7)).is_none());
    assert_eq!(version, 2);
}

#[test]
fn an_unacknowledged_shorter_lease_ends_the_term_before_a_follower_may_claim() {
    let (mut node, _) = idle_holder();
    node.set_idle_functions(BTreeSet::new());
    let renewal = node.tick(&[1], Micros::from_secs(3)).pop().expect("a renewal");
    assert_eq!(renewal.record.lease_micros, 3_000_000);
    // It was stored and its response is lost: a follower that observes it at once waits for three seconds.
    let mut follower = Election::new(2, ElectionSettings::default());
    follower.set_functions(BTreeSet::from(["proof".to_owned()]));
    follower.observe("proof", 3, Some(renewal.record), Micros::from_secs(3));
    let may_claim_at = Micros::from_secs(6);
    assert!(follower.tick(&[1, 2], may_claim_at - Micros(1)).is_empty());
    assert_eq!(follower.tick(&[1, 2], may_claim_at + CLAIM_INTERVAL).len(), 1);
    assert!(node.term("proof", may_claim_at - Micros(1)).is_some());
    assert!(node.term("proof", may_claim_at).is_none(), "the lease acknowledged before would last until 7 s");
}

#[test]
fn a_removed_function_is_released_and_claimed_at_once_when_configured_again() {
    let (mut node, _) = idle_holder();
    node.set_functions(BTreeSet::new());
    assert!(node.term("proof", Micros::from_secs(2)).is_some(), "the next tick ends the term");
    let release = node.tick(&[1, 2], Micros::from_secs(2)).pop().expect("a release");
    assert_eq!((release.record.holder, release.urgent), (NO_HOLDER, true));
    assert!(node.term("proof", Micros::from_secs(2)).is_none());
    let lost = node.take_changes();
    assert!(
        matches!(&lost[..], [.., TermChange::Lost { why: "function no longer configured", .. }]),
        "{lost:?}"
    );
    node.handle_written("proof", 3, &release.record, Micros::from_secs(2));
    assert!(node.is_empty());
    let mut follower = Election::new(2, ElectionSettings::default());
    follower.set_functions(BTreeSet::from(["proof".to_owned()]));
    follower.observe("proof", 3, Some(release.record), Micros::from_secs(9));
    assert_eq!(follower.tick(&[1, 2], Micros::from_secs(9)).len(), 1);
}

#[test]
fn a_transferred_term_is_claimed_at_once_without_the_gate_under_the_short_lease() {
    let (mut previous_leader, _) = idle_holder();
    previous_leader.transfer_to(2, "proof");
    let transferred = previous_leader.tick(&[1, 2], Micros::from_secs(2)).pop().expect("a write");
    assert_eq!((transferred.record.holder, transferred.record.lease_micros), (2, 1_000_000));
    // Node 2 already leads more than its share, so the gate alone would refuse the claim.
    let functions: BTreeSet<String> = (0..9).map(|n| format!("f{n}")).chain(["proof".to_owned()]).collect();
    let mut successor = Election::new(2, ElectionSettings::default());
    successor.set_functions(functions);
    for number in 0..9 {
        successor.observe(&format!("f{number}"), 0, None, Micros(0));
    }
    for _ in 0..4 {
        for claim in successor.tick(&[2], Micros(0)) {
            successor.handle_written(&claim.function, 1, &claim.record, Micros(0));
        }
    }
    assert!(successor.own_count() >= 8, "{}", successor.own_count());
    successor.observe("proof", 3, Some(transferred.record), Micros::from_secs(2));
    let writes = successor.tick(&[1, 2], Micros::from_secs(2));
    assert!(writes.iter().any(|write| write.function == "proof" && write.record.holder == 2), "{writes:?}");
}

#[test]
fn a_term_transferred_to_a_node_that_cannot_claim_is_open_to_others_a_second_later() {
    let (mut previous_leader, _) = idle_holder();
    previous_leader.transfer_to(2, "proof");
    let transferred = previous_leader.tick(&[1, 2], Micros::from_secs(2)).pop().expect("a write");
    let mut other = Election::new(3, ElectionSettings::default());
    other.set_functions(["proof".to_owned()].into());
    other.observe("proof", 3, Some(transferred.record), Micros::from_secs(2));
    assert!(other.tick(&[1, 2, 3], Micros::from_millis(2_990)).is_empty());
    let claims = other.tick(&[1, 2, 3], Micros::from_millis(3_100));
    assert!(claims.iter().any(|write| write.record.holder == 3), "{claims:?}");
}

/// Guards against: instances of a removed function are stopped without a leader epoch of that function.
#[test]
fn an_orphaned_function_is_led_under_a_higher_epoch_and_released_when_done() {
    let mut cluster = TestCluster::new(3, 4, ElectionSettings::default());
    cluster.run(0, 5_000, &[]);
    let (name, now) = ("function-0".to_owned(), Micros::from_millis(5_000));
    let epoch_before = cluster.registers[&name].1.as_ref().expect("a leader").leader_epoch;
    let rest: BTreeSet<String> = cluster.functions.iter().skip(1).cloned().collect();
    cluster.nodes.iter_mut().for_each(|node| node.set_functions(rest.clone()));
    // The previous leader releases its record.
    cluster.run(5_000, 6_000, &[]);
    assert!(cluster.nodes.iter().all(|node| node.term(&name, Micros::from_millis(5_950)).is_none()));
    cluster.nodes[1].set_orphaned_functions([name.clone()].into(), now);
    cluster.run(6_000, 10_000, &[]);
    let now = Micros::from_millis(9_950);
    let epoch = cluster.nodes[1].term(&name, now).expect("leads it");
    assert!(epoch > epoch_before, "{epoch} after {epoch_before}");
    cluster.nodes[1].set_orphaned_functions(BTreeSet::new(), now);
    cluster.run(10_000, 11_000, &[]);
    assert!(cluster.nodes[1].term(&name, Micros::from_millis(10_950)).is_none());
    assert!(cluster.registers[&name].1.as_ref().is_some_and(|record| record.holder == NO_HOLDER));
}

/// Guards against: an orphaned function that is configured again keeps the node that stopped its instances as
/// its leader.
#[test]
fn an_orphaned_function_that_is_configured_again_is_released_and_elected_anew() {
    let mut cluster = TestCluster::new(3, 4, ElectionSettings::default());
    let (name, functions) = ("function-0".to_owned(), cluster.functions.clone());
    let rest: BTreeSet<String> = functions.iter().skip(1).cloned().collect();
    cluster.nodes.iter_mut().for_each(|node| node.set_functions(rest.clone()));
    cluster.run(0, 3_000, &[]);
    cluster.nodes[1].set_orphaned_functions([name.clone()].into(), Micros::from_millis(3_000));
    cluster.run(3_000, 5_000, &[]);
    let epoch = cluster.nodes[1].term(&name, Micros::from_millis(4_950)).expect("leads it");
    cluster.nodes.iter_mut().for_each(|node| node.set_functions(functions.clone()));
    assert!(cluster.nodes[1].term(&name, Micros::from_millis(5_000)).is_none());
    cluster.run(5_000, 9_000, &[]);
    let now = Micros::from_millis(8_950);
    let epochs: Vec<u64> = cluster.nodes.iter().filter_map(|node| node.term(&name, now)).collect();
    assert!(matches!(epochs[..], [later] if later > epoch), "{epochs:?} after {epoch}");
}

/// Guards against: two nodes that both claim an orphaned function both lead it.
#[test]
fn two_nodes_that_claim_one_orphaned_function_never_both_lead_it() {
    let mut cluster = TestCluster::new(3, 4, ElectionSettings::default());
    let name = "function-0".to_owned();
    let rest: BTreeSet<String> = cluster.functions.iter().skip(1).cloned().collect();
    cluster.nodes.iter_mut().for_each(|node| node.set_functions(rest.clone()));
    for index in [0, 2] {
        cluster.nodes[index].set_orphaned_functions([name.clone()].into(), Micros(0));
    }
    // `run` asserts that there is at most one leader of a function at a time.
    cluster.run(0, 12_000, &[]);
    let now = Micros::from_millis(11_950);
    assert_eq!(cluster.nodes.iter().filter(|node| node.term(&name, now).is_some()).count(), 1);
}
