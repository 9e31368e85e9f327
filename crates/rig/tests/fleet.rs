//! Tests of a fleet of gateway nodes in virtual time: how soon its nodes agree after a fault, and how
//! much they load each other and the store.

use base::prelude::*;
use model::registry::State;
use rig::fleet::{Counts, Fleet, Plan};

/// Time within which a node that ended must no longer be named to callers: the contact time of
/// three seconds and three more.
const DIRECTORY_TIME: Span = Span::seconds(6);
/// Time within which a change in the store has to be followed everywhere.
const CHANGE_TIME: Span = Span::seconds(2);

fn plan(nodes: usize, seed: u64) -> Plan {
    Plan { nodes, domains: 6, upstreams: 2 * nodes, seed }
}

/// Starts a fleet and runs it until it is at rest.
fn settled(nodes: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::start(&plan(nodes, seed));
    fleet.run(Span::seconds(12));
    assert_eq!(fleet.converged(), nodes, "seed {seed}");
    fleet.take_counts();
    fleet
}

/// Waits until all running nodes agree on who is live.
fn assert_converges(fleet: &mut Fleet, limit: Span, shown: &str) {
    let running = fleet.running().len();
    let converged = fleet.run_until(limit, |fleet| fleet.converged() == running);
    assert!(converged.is_some(), "{shown}: {} of {running} nodes agree", fleet.converged());
}

#[test]
fn start_converges_with_few_store_calls() {
    for (nodes, seed) in [(6, 1), (16, 2), (60, 3), (120, 4)] {
        let mut fleet = Fleet::start(&plan(nodes, seed));
        assert_converges(&mut fleet, Span::seconds(6), "start");
        fleet.run(Span::seconds(6));
        let Counts { store_calls, .. } = fleet.take_counts();
        assert!(store_calls <= 2 * nodes as u64 + 50, "{nodes} nodes: {store_calls} calls");
    }
}

/// The load of a node must not grow with the fleet.
#[test]
fn steady_state_costs_a_node_the_same_at_any_size() {
    let cost = |nodes| {
        let mut fleet = settled(nodes, 5);
        fleet.run(Span::seconds(10));
        let counts = fleet.take_counts();
        (counts.frames as f64 / nodes as f64, counts.most_frames, counts.store_calls)
    };
    let (small, large) = (cost(60), cost(180));
    assert!(large.0 <= 1.3 * small.0, "frames a node in 10 s: {small:?}, {large:?}");
    assert!(large.1 as f64 <= 1.3 * small.1 as f64, "of the busiest node: {small:?}, {large:?}");
    assert!(large.2 <= small.2 + 5, "store calls: {small:?}, {large:?}");
}

#[test]
fn killed_nodes_are_named_to_no_caller_after_six_seconds() {
    for (share, seed) in [(10, 6), (3, 7), (2, 8)] {
        let mut fleet = settled(90, seed);
        let killed: Vec<u64> = fleet.idents().into_iter().step_by(share).collect();
        killed.iter().for_each(|ident| fleet.kill(*ident));
        fleet.run(DIRECTORY_TIME);
        let gone: Vec<_> = killed.iter().filter_map(|ident| fleet.caller_address(*ident)).collect();
        for ident in fleet.running() {
            for domain in 0..6 {
                let advised = fleet.advised(ident, domain);
                assert!(!advised.is_empty());
                let named = advised.iter().filter(|address| gone.contains(address)).count();
                assert_eq!(named, 0, "one in {share} killed, domain {domain}");
            }
        }
    }
}

/// A node that one neighbour cannot hear is alive: its callers must not be sent away.
#[test]
fn node_cut_off_from_one_neighbour_stays_live() {
    for (both_ways, seed) in [(false, 9), (true, 10)] {
        let mut fleet = settled(60, seed);
        let node = fleet.in_domain(0)[0];
        let neighbour = *fleet
            .in_domain(0)
            .iter()
            .find(|other| is_neighbour(&fleet, node, **other))
            .expect("a neighbour");
        fleet.cut(node, neighbour);
        if both_ways {
            fleet.cut(neighbour, node);
        }
        for _ in 0..100 {
            fleet.run(Span::millis(100));
            assert_eq!(fleet.converged(), 60, "both ways: {both_ways}");
        }
    }
}

fn is_neighbour(fleet: &Fleet, node: u64, other: u64) -> bool {
    let (dump, other) = (fleet.dump(node), fleet.dump(other));
    let name = other.map(|other| other.name).unwrap_or_default();
    dump.is_some_and(|dump| dump.members.get(&name).is_some_and(|other| other.neighbour))
}

/// A process that was paused has not read what others sent meanwhile: it must not take them for
/// down.
#[test]
fn paused_node_condemns_no_other_and_returns() {
    let mut fleet = settled(60, 11);
    let paused = fleet.in_domain(2)[1];
    fleet.pause(paused, Span::seconds(8));
    fleet.run(Span::seconds(8));
    fleet.run(Span::millis(10));
    let dump = fleet.dump(paused).expect("it runs");
    assert!(dump.members.values().all(|node| node.live), "{:?}", dump.members);
    assert_converges(&mut fleet, Span::seconds(5), "after the pause");
}

#[test]
fn split_domain_agrees_again_after_the_cut() {
    let mut fleet = settled(60, 12);
    let domain = fleet.in_domain(1);
    let (left, right) = domain.split_at(domain.len() / 2);
    for left in left {
        for right in right {
            fleet.cut(*left, *right);
            fleet.cut(*right, *left);
        }
    }
    fleet.run(Span::seconds(15));
    fleet.heal();
    assert_converges(&mut fleet, Span::seconds(15), "after the cut");
}

#[test]
fn restart_of_all_converges_with_few_store_calls() {
    let mut fleet = settled(90, 13);
    fleet.idents().into_iter().for_each(|ident| fleet.start_process(ident));
    assert_converges(&mut fleet, Span::seconds(6), "restart");
    fleet.run(Span::seconds(4));
    let Counts { store_calls, .. } = fleet.take_counts();
    assert!(store_calls <= 230, "{store_calls} calls");
}

/// Every node was replaced and no address in the settings responds: nodes find each other through
/// the store, though it lists only nodes that are gone.
#[test]
fn replacement_of_all_converges_without_seeds() {
    let mut fleet = settled(48, 14);
    fleet.idents().into_iter().for_each(|ident| fleet.kill(ident));
    let added: Vec<u64> = (0..48).map(|number| fleet.add(1_000 + number, number % 6)).collect();
    added.iter().for_each(|ident| fleet.start_process(*ident));
    assert_converges(&mut fleet, Span::seconds(12), "replacement");
    let Counts { store_calls, .. } = fleet.take_counts();
    assert!(store_calls <= 48 * 8, "{store_calls} calls");
}

/// A store that is away is tried by some nodes of each domain, however many it has: four at once, and
/// as many more each time that the outage lasts twice as long.
#[test]
fn outage_of_the_store_is_probed_by_few_nodes() {
    const MAX_PER_DOMAIN: usize = 12;
    let mut fleet = settled(120, 15);
    fleet.set_store_available(false);
    fleet.run(Span::seconds(10));
    let watching = fleet.watching().len();
    assert!((1..=6 * MAX_PER_DOMAIN).contains(&watching), "{watching} of 120 nodes");
    fleet.set_store_available(true);
    let revision = fleet.change_upstream(3, State::Draining);
    let known = fleet.run_until(Span::seconds(3), |fleet| fleet.knowing(revision) == 120);
    assert!(known.is_some(), "{} nodes know the change", fleet.knowing(revision));
}

/// The store turns away the node that watches it for all, with most of the others.
#[test]
fn change_is_known_everywhere_while_the_store_turns_nodes_away() {
    let mut fleet = settled(90, 16);
    let mut refused = fleet.watching();
    refused.extend(fleet.idents().into_iter().step_by(2));
    fleet.set_refused(refused);
    fleet.run(Span::seconds(4));
    let revision = fleet.change_upstream(3, State::Draining);
    let known = fleet.run_until(CHANGE_TIME, |fleet| fleet.knowing(revision) == 90);
    assert!(known.is_some(), "{} nodes know the change", fleet.knowing(revision));
}

/// A change comes just when the node that watches the store for all ends, with a tenth of the others.
#[test]
fn change_is_known_everywhere_when_its_reader_ends() {
    for seed in 17..23 {
        let mut fleet = settled(90, seed);
        let mut killed = fleet.watching();
        killed.extend(fleet.idents().into_iter().skip(seed as usize % 10).step_by(10));
        killed.iter().for_each(|ident| fleet.kill(*ident));
        let revision = fleet.change_upstream(3, State::Draining);
        let running = fleet.running().len();
        let known = fleet.run_until(CHANGE_TIME, |fleet| fleet.knowing(revision) == running);
        let knowing = fleet.knowing(revision);
        assert!(known.is_some(), "seed {seed}: {knowing} of {running} nodes know the change");
    }
}

#[test]
fn leaving_node_is_named_to_no_caller_at_once() {
    let mut fleet = settled(60, 24);
    let leaving = fleet.in_domain(0)[0];
    let address = fleet.caller_address(leaving).expect("a machine");
    fleet.leave(leaving);
    fleet.run(Span::millis(500));
    for ident in fleet.running() {
        assert!(!fleet.advised(ident, 0).contains(&address));
    }
}

/// Lost frames delay news, but neither lose it nor let nodes that are alive count as down for long.
#[test]
fn lost_frames_are_made_up_for() {
    let mut fleet = settled(60, 25);
    fleet.set_loss(0.2);
    fleet.run(Span::seconds(5));
    let revision = fleet.change_upstream(7, State::Draining);
    let known = fleet.run_until(Span::seconds(4), |fleet| fleet.knowing(revision) == 60);
    assert!(known.is_some(), "{} nodes know the change", fleet.knowing(revision));
    fleet.set_loss(0.0);
    assert_converges(&mut fleet, Span::seconds(6), "after the loss");
}
