//! Tests of the time until a configuration change is in force everywhere, and that it never
//! reverts.

mod common;

use base::prelude::*;
use common::{Fleet, config};
use model::command::Command;

/// Maximum time until a change is in force everywhere.
const MAX_DELAY: Span = Span::seconds(5);

fn config_numbers(fleet: &Fleet) -> Vec<u64> {
    fleet.entries.iter().flatten().map(|engine| engine.catalog().number).collect()
}

/// Changes the configuration at the first entry and returns the time until it is in force
/// everywhere.
fn measure_spread(fleet: &mut Fleet, name: &str) -> Span {
    fleet.apply_command(0, Command::CreateDomain { name: name.into() });
    let (expected, start) = (fleet.config().number, fleet.now);
    while fleet.now < start + Span::seconds(30) {
        if config_numbers(fleet).iter().all(|number| *number >= expected) {
            return fleet.now.since(start);
        }
        fleet.run(Span::millis(20));
    }
    panic!("not in force everywhere: {:?}, expected {expected}", config_numbers(fleet));
}

#[test]
fn change_is_in_force_within_seconds() {
    for entries in [4, 16, 48] {
        let mut fleet = Fleet::new(entries, config(4, 4, 1));
        fleet.run(Span::seconds(30));
        let mut longest = Span::ZERO;
        for round in 0..10 {
            longest = longest.max(measure_spread(&mut fleet, &format!("x{round}")));
            fleet.run(Span::seconds(1));
        }
        println!("{entries} entries: in force everywhere after {} ms", longest.as_millis());
        assert!(longest <= MAX_DELAY, "{entries} entries: {} ms", longest.as_millis());
    }
}

#[test]
fn change_reaches_entries_with_half_of_their_links() {
    let mut fleet = Fleet::new(8, config(4, 4, 1));
    fleet.run(Span::seconds(30));
    fleet.without_store.extend(0..8);
    for first in 0..8 {
        for second in (0..8).filter(|second| (first + second) % 2 == 1) {
            // The link between entries with an odd sum is cut in one direction.
            fleet.cut_links.insert((first.max(second), first.min(second)));
        }
    }
    assert!(measure_spread(&mut fleet, "x") <= MAX_DELAY);
}

#[test]
fn change_never_reverts() {
    let mut fleet = Fleet::new(6, config(4, 4, 1));
    fleet.run(Span::seconds(30));
    let mut last = config_numbers(&fleet);
    for round in 0..12 {
        fleet.paused.insert(round % 6);
        fleet.apply_command((round + 1) % 6, Command::CreateDomain { name: format!("x{round}") });
        for _ in 0..20 {
            fleet.run(Span::millis(50));
            let now = config_numbers(&fleet);
            assert!(now.iter().zip(&last).all(|(now, last)| now >= last), "{last:?} to {now:?}");
            last = now;
        }
        fleet.paused.clear();
    }
    // Without the store, entries that were paused can only get the configuration from the others.
    fleet.without_store.extend(0..7);
    fleet.run(Span::seconds(3));
    let expected = fleet.config().number;
    assert!(
        config_numbers(&fleet).iter().all(|number| *number == expected),
        "{:?}",
        config_numbers(&fleet)
    );
}
