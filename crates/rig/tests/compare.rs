//! Bounds on the daemon's strategy relative to the baselines, on the same seeded traces.

use rig::compare::{Name, Row, Scenario, Shape, Trace, run_strategy};

const CALLS: usize = 30_000;
const SEEDS: [u64; 2] = [1, 2];

fn rows(shape: Shape, seed: u64, names: [Name; 4]) -> [Row; 4] {
    let scenario = Scenario::default();
    let trace = Trace::new(&scenario, shape, CALLS, seed);
    names.map(|name| run_strategy(name, &scenario, &trace, seed))
}

#[test]
fn least_beats_baselines_below_capacity() {
    for seed in SEEDS {
        for shape in [Shape::Steady(0.6), Shape::Steady(0.85), Shape::Step(0.85)] {
            let names = [Name::Held, Name::TwoChoices, Name::Probing, Name::Exact];
            let [held, two, probing, exact] = rows(shape, seed, names);
            let answered = (held.late, held.refused);
            assert_eq!(answered, (0, 0), "{shape}: late and refused");
            assert!(held.p99 <= 0.95 * two.p99, "{shape}: {held:?} {two:?}");
            assert!(held.p999 <= 0.9 * two.p999, "{shape}: {held:?} {two:?}");
            assert!(held.p99 <= 0.95 * probing.p99, "{shape}: {held:?} {probing:?}");
            assert!(held.collisions < two.collisions, "{shape}: {held:?} {two:?}");
            // The exact shortest queue still sends calls to slow upstreams. Avoiding them is better.
            assert!(held.p99 <= exact.p99, "{shape}: {held:?} {exact:?}");
            assert_eq!(held.probes, 0);
        }
    }
}

#[test]
fn least_finds_sudden_slowness() {
    for seed in SEEDS {
        let names = [Name::Held, Name::TwoChoices, Name::RoundRobin, Name::Credits];
        let [held, two, robin, credits] = rows(Shape::Sudden(0.7), seed, names);
        assert!(held.p999 <= 0.9 * two.p999, "{held:?} {two:?}");
        assert!(held.p999 <= 0.5 * robin.p999, "{held:?} {robin:?}");
        assert!(held.p99 <= 0.8 * credits.p99, "{held:?} {credits:?}");
    }
}

#[test]
fn held_answers_more_above_capacity() {
    for seed in SEEDS {
        let names = [Name::Held, Name::Least, Name::TwoChoices, Name::Probing];
        let [held, least, two, probing] = rows(Shape::Steady(1.3), seed, names);
        for other in [least, two, probing] {
            assert!(held.answered as f64 >= 1.05 * other.answered as f64, "{held:?} {other:?}");
            assert!(held.wasted * 2 < other.wasted, "{held:?} {other:?}");
        }
    }
}
