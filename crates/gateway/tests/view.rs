//! Tests of batches that arrive late, twice, out of order or not at all.

use gateway::view::{Batch, Delta, Gap, View};
use model::registry::{Fact, Item};

fn item(name: &str, present: bool) -> Item {
    let fact = present.then_some(Fact::Withdrawal);
    Item { name: name.into(), revision: 1, fact }
}

fn batch(after: Option<u64>, revision: u64, items: Vec<Item>) -> Batch {
    Batch { after, revision, after_outage: false, items }
}

fn names(view: &View) -> Vec<&str> {
    view.facts().map(|(name, _)| name).collect()
}

#[test]
fn apply_changes_after_all_facts() {
    let mut view = View::default();
    let items = vec![item("a", true), item("b", true)];
    view.apply(&batch(None, 5, items)).expect("a batch of all facts applies");
    let delta = view
        .apply(&batch(Some(5), 7, vec![item("a", false)]))
        .expect("changes after the known revision apply");
    assert_eq!(delta, Delta { changed: vec![], removed: vec!["a".into()] });
    assert_eq!(names(&view), ["b"]);
}

#[test]
fn apply_refuses_a_gap() {
    let mut view = View::default();
    assert_eq!(view.apply(&batch(Some(3), 4, vec![])), Err(Gap));
    view.apply(&batch(None, 5, vec![])).expect("a batch of all facts applies");
    assert_eq!(view.apply(&batch(Some(6), 7, vec![item("a", true)])), Err(Gap));
    assert!(names(&view).is_empty());
}

#[test]
fn apply_ignores_an_older_batch() {
    let mut view = View::default();
    view.apply(&batch(None, 9, vec![item("a", true)])).expect("a batch of all facts applies");
    let delta = view.apply(&batch(None, 8, vec![])).expect("an older batch is ignored");
    assert_eq!(delta, Delta::default());
    assert_eq!(names(&view), ["a"]);
}

#[test]
fn apply_overlapping_changes_has_the_latest_state() {
    let mut view = View::default();
    view.apply(&batch(None, 5, vec![])).expect("a batch of all facts applies");
    view.apply(&batch(Some(5), 8, vec![item("a", true)]))
        .expect("changes after the known revision apply");
    // Another reader sends the same and later changes, from an earlier revision on.
    let items = vec![item("a", true), item("a", false), item("b", true)];
    view.apply(&batch(Some(4), 10, items)).expect("overlapping changes apply");
    assert_eq!(names(&view), ["b"]);
}

#[test]
fn advance_needs_a_known_revision() {
    let mut view = View::default();
    view.advance(9);
    assert_eq!(view.revision, 0);
    view.apply(&batch(None, 5, vec![])).expect("a batch of all facts applies");
    view.advance(9);
    assert_eq!((view.revision, view.changed_revision), (9, 5));
}
