//! Tests of the queue of waiting calls.

use std::collections::BTreeMap;

use base::prelude::*;
use policy::queue::{Push, Queue, Ticket};
use slotmap::SlotMap;

const FAR_DEADLINE: Moment = Moment(1_000_000);

/// Creates keys for two workspaces and `count` calls.
fn keys(count: usize) -> ([Option<key::Workspace>; 2], Vec<key::Call>) {
    let mut workspaces: SlotMap<key::Workspace, ()> = SlotMap::with_key();
    let mut calls: SlotMap<key::Call, ()> = SlotMap::with_key();
    let workspaces = [Some(workspaces.insert(())), Some(workspaces.insert(()))];
    (workspaces, (0..count).map(|_| calls.insert(())).collect())
}

fn ticket(call: key::Call) -> Ticket {
    Ticket { call, deadline: FAR_DEADLINE }
}

#[test]
fn pop_by_weight() {
    let ([first_workspace, second_workspace], calls) = keys(40);
    let mut queue = Queue::new(100);
    let mut workspaces = BTreeMap::new();
    for (number, call) in calls.iter().enumerate() {
        let (workspace, weight) =
            if number < 20 { (first_workspace, 3) } else { (second_workspace, 1) };
        workspaces.insert(*call, workspace);
        assert_eq!(queue.push(workspace, weight, ticket(*call)), Push::Queued);
    }
    let first: Vec<_> = (0..20).filter_map(|_| queue.pop()).collect();
    let heavy = first.iter().filter(|ticket| workspaces[&ticket.call] == first_workspace).count();
    assert_eq!((first.len(), heavy), (20, 15));
    assert_eq!(std::iter::from_fn(|| queue.pop()).count(), 20);
    assert!(queue.is_empty());
}

#[test]
fn push_full_drops_from_the_longest_lane() {
    let ([first_workspace, second_workspace], calls) = keys(12);
    let mut queue = Queue::new(10);
    for call in &calls[..10] {
        queue.push(first_workspace, 1, ticket(*call));
    }
    assert_eq!(queue.push(first_workspace, 1, ticket(calls[10])), Push::Full);
    assert_eq!(queue.push(second_workspace, 1, ticket(calls[11])), Push::Displaced(calls[9]));
    assert_eq!(queue.len(), 10);
    let popped: Vec<_> = (0..2).filter_map(|_| queue.pop()).map(|ticket| ticket.call).collect();
    assert!(popped.contains(&calls[11]), "the second workspace has its turn");
}

#[test]
fn expire_only_past_deadline() {
    let ([first_workspace, second_workspace], calls) = keys(3);
    let mut queue = Queue::new(10);
    queue.push(first_workspace, 1, Ticket { call: calls[0], deadline: Moment(5) });
    queue.push(first_workspace, 1, ticket(calls[1]));
    queue.push(second_workspace, 1, Ticket { call: calls[2], deadline: Moment(9) });
    assert_eq!(queue.expire(Moment(6)), [calls[0]]);
    queue.remove(second_workspace, calls[2]);
    assert_eq!(queue.pop().map(|ticket| ticket.call), Some(calls[1]));
    assert_eq!(queue.pop(), None);
}
