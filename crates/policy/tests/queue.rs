//! Tests of waiting calls.

use std::collections::BTreeMap;

use base::prelude::*;
use policy::queue::{Push, Queue, Ticket};
use slotmap::SlotMap;

const LATE: Moment = Moment(1_000_000);

/// Makes keys for two workspaces and `count` calls.
fn keys(count: usize) -> ([Option<key::Workspace>; 2], Vec<key::Call>) {
    let mut workspaces: SlotMap<key::Workspace, ()> = SlotMap::with_key();
    let mut calls: SlotMap<key::Call, ()> = SlotMap::with_key();
    let workspaces = [Some(workspaces.insert(())), Some(workspaces.insert(()))];
    (workspaces, (0..count).map(|_| calls.insert(())).collect())
}

fn ticket(call: key::Call) -> Ticket {
    Ticket { call, deadline: LATE }
}

#[test]
fn pop_by_weight() {
    let ([one, other], calls) = keys(40);
    let mut queue = Queue::new(100);
    let mut owners = BTreeMap::new();
    for (number, call) in calls.iter().enumerate() {
        let (workspace, weight) = if number < 20 { (one, 3) } else { (other, 1) };
        owners.insert(*call, workspace);
        assert_eq!(queue.push(workspace, weight, ticket(*call)), Push::Queued);
    }
    let first: Vec<_> = (0..20).filter_map(|_| queue.pop()).collect();
    let heavy = first.iter().filter(|ticket| owners[&ticket.call] == one).count();
    assert_eq!((first.len(), heavy), (20, 15));
    assert_eq!(std::iter::from_fn(|| queue.pop()).count(), 20);
    assert!(queue.is_empty());
}

#[test]
fn push_full_takes_from_the_longest() {
    let ([one, other], calls) = keys(12);
    let mut queue = Queue::new(10);
    for call in &calls[..10] {
        queue.push(one, 1, ticket(*call));
    }
    assert_eq!(queue.push(one, 1, ticket(calls[10])), Push::Full);
    assert_eq!(queue.push(other, 1, ticket(calls[11])), Push::Displaced(calls[9]));
    assert_eq!(queue.len(), 10);
    let popped: Vec<_> = (0..2).filter_map(|_| queue.pop()).map(|ticket| ticket.call).collect();
    assert!(popped.contains(&calls[11]), "the other workspace has its turn");
}

#[test]
fn expire_only_the_late() {
    let ([one, other], calls) = keys(3);
    let mut queue = Queue::new(10);
    queue.push(one, 1, Ticket { call: calls[0], deadline: Moment(5) });
    queue.push(one, 1, ticket(calls[1]));
    queue.push(other, 1, Ticket { call: calls[2], deadline: Moment(9) });
    assert_eq!(queue.expire(Moment(6)), [calls[0]]);
    queue.remove(other, calls[2]);
    assert_eq!(queue.pop().map(|ticket| ticket.call), Some(calls[1]));
    assert_eq!(queue.pop(), None);
}
