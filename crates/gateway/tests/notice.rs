//! Tests of what upstreams state about themselves: that they are leaving, and that they want a
//! pause.

mod common;

use base::prelude::*;
use common::{Harness, healthy, member, upstream};
use gateway::engine::{Health, Input, Notice, Output, Refusal};
use gateway::exchange::Event;
use gateway::message::{Frame, Heartbeat};
use gateway::peer::Standing;
use model::registry::{Fact, Kind, Upstream};

/// Sends the node a request and, when it is forwarded, a notice of the upstream.
fn place_with_notice(harness: &mut Harness, notice: Notice, end: Event) {
    harness.request("/read/1");
    harness.answer_probes_idle();
    let upstream = harness.outputs.iter().find_map(|output| match output {
        Output::Forward { upstream, .. } => Some(*upstream),
        _ => None,
    });
    let upstream = upstream.expect("a send");
    let (exchange, _) = harness.take_sends().pop().expect("a send");
    harness.exchange_event(exchange, Event::Sent);
    harness.send_input(Input::Notice { upstream, notice });
    harness.exchange_event(exchange, end);
}

fn put(harness: &mut Harness, entry: Option<Upstream>) {
    harness.apply_facts(Kind::Upstreams, vec![("e1", entry.map(Fact::Upstream))]);
    harness.run(Span::millis(300));
}

/// A request that is refused because it must not go to `e1`, the only upstream.
fn assert_unused(harness: &mut Harness) {
    harness.outputs.clear();
    assert_eq!(harness.place("/read/2"), None);
    assert_eq!(harness.refusals(), [Refusal::NoUpstream]);
}

fn departed_frames(harness: &Harness) -> usize {
    let is_departed =
        |output: &&Output| matches!(output, Output::Send { frame: Frame::Departed(_), .. });
    harness.outputs.iter().filter(is_departed).count()
}

fn join(harness: &mut Harness, name: &str, port: u16, process: u64) -> u64 {
    let member = member(name, "east", port);
    let from = member.ident();
    let heartbeat = Heartbeat {
        process,
        incarnation: 1,
        standing: Standing::Ready,
        expects_reply: true,
        domains: Vec::new(),
        confirmations: Vec::new(),
        trials: Vec::new(),
    };
    harness.send_input(Input::Peer { from, frame: Frame::Join { member, heartbeat } });
    from
}

/// The registry learns of a departure later than callers do, or never, and an entry may be written
/// again or vanish and return while its upstream is leaving.
#[test]
fn on_notice_leaving_upstream_is_unused_until_a_new_process_registers() {
    for end in [Event::Answered, Event::Failed, Event::Refused, Event::Broken] {
        let mut harness = Harness::new(&[upstream("e1", "east")]);
        place_with_notice(&mut harness, Notice::Leaving, end);
        assert_unused(&mut harness);
        put(&mut harness, Some(Upstream { slots: 3, ..upstream("e1", "east") }));
        assert_unused(&mut harness);
        put(&mut harness, None);
        put(&mut harness, Some(upstream("e1", "east")));
        assert_unused(&mut harness);
        put(&mut harness, Some(Upstream { started_ms: 2, ..upstream("e1", "east") }));
        assert!(harness.place("/read/3").is_some(), "{end:?}");
    }
}

#[test]
fn on_notice_leaving_holds_through_a_store_outage() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    place_with_notice(&mut harness, Notice::Leaving, Event::Answered);
    harness.apply_batch(Kind::Upstreams, vec![("e1", None)], true);
    harness.send_input(Input::Resumed);
    put(&mut harness, Some(upstream("e1", "east")));
    assert_unused(&mut harness);
}

#[test]
fn on_notice_of_another_occupant_spares_the_upstream() {
    let (old, mut new) = (upstream("e1", "east"), upstream("e2", "east"));
    new.address = old.address;
    let mut harness = Harness::new(&[old, new]);
    harness.request("/read/1");
    harness.answer_probes(|id| match id {
        "e1" => healthy(0, 1.0),
        _ => Health::Unreachable,
    });
    let upstream = harness.outputs.iter().find_map(|output| match output {
        Output::Forward { upstream, .. } => Some(*upstream),
        _ => None,
    });
    let upstream = upstream.expect("a send to e1");
    harness.send_input(Input::Notice { upstream, notice: Notice::OccupantLeaving });
    let dump = harness.engine.dump(harness.now);
    assert_eq!(dump.upstreams["e2"].state, gateway::upstream::State::Draining);
    assert_eq!(dump.upstreams["e1"].state, gateway::upstream::State::Warm);
}

/// A node that has just started reads entries that still say that an upstream is ready.
#[test]
fn receive_departures_holds_before_and_after_the_registration() {
    let departing = upstream("e1", "east");
    for registered_first in [true, false] {
        let first: &[Upstream] = if registered_first { &[upstream("e1", "east")] } else { &[] };
        let mut harness = Harness::new(first);
        let from = join(&mut harness, "other", 2, 3);
        let frame = Frame::Departed(vec![departing.ident()]);
        harness.send_input(Input::Peer { from, frame });
        if !registered_first {
            put(&mut harness, Some(departing.clone()));
        }
        assert_unused(&mut harness);
    }
}

#[test]
fn record_departure_tells_live_nodes_once_and_new_ones_on_arrival() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    join(&mut harness, "other", 2, 3);
    harness.outputs.clear();
    place_with_notice(&mut harness, Notice::Leaving, Event::Answered);
    assert_eq!(departed_frames(&harness), 1);
    harness.outputs.clear();
    // The response of an earlier request says the same.
    let ident = upstream("e1", "east").ident();
    let from = member("other", "east", 2).ident();
    harness.send_input(Input::Peer { from, frame: Frame::Departed(vec![ident]) });
    assert_eq!(departed_frames(&harness), 0);
    join(&mut harness, "restarted", 4, 5);
    assert_eq!(departed_frames(&harness), 1, "{:?}", harness.outputs);
}

#[test]
fn on_notice_pause_keeps_requests_and_health_checks_away() {
    let mut harness = Harness::new(&[upstream("e1", "east"), upstream("e2", "east")]);
    place_with_notice(&mut harness, Notice::Pause(Span::seconds(2)), Event::Refused);
    harness.answer_probes_idle();
    let (exchange, other) = harness.take_sends().pop().expect("a retry");
    harness.exchange_event(exchange, Event::Answered);
    for _ in 0..18 {
        harness.request("/read/1");
        let probed: Vec<String> = probed_ids(&mut harness);
        assert!(probed.iter().all(|id| *id == other), "{probed:?}");
        for (exchange, id) in harness.take_sends() {
            assert_eq!(id, other);
            harness.exchange_event(exchange, Event::Answered);
        }
        harness.run(Span::millis(100));
    }
    harness.run(Span::millis(300));
    harness.request("/read/1");
    assert!(probed_ids(&mut harness).iter().any(|id| *id != other), "the pause has not ended");
}

/// Answers the pending health checks and returns the upstreams that got one.
fn probed_ids(harness: &mut Harness) -> Vec<String> {
    let probed = std::cell::RefCell::new(Vec::new());
    harness.answer_probes(|id| {
        probed.borrow_mut().push(id.to_owned());
        healthy(0, 1.0)
    });
    probed.into_inner()
}

/// Callers have to hear at once when to return if every upstream has asked for a pause.
#[test]
fn refusal_after_pauses_of_all_states_the_first_return() {
    let mut harness = Harness::new(&[upstream("e1", "east"), upstream("e2", "east")]);
    place_with_notice(&mut harness, Notice::Pause(Span::millis(900)), Event::Refused);
    harness.answer_probes_idle();
    let second = harness.outputs.iter().find_map(|output| match output {
        Output::Forward { upstream, .. } => Some(*upstream),
        _ => None,
    });
    let upstream = second.expect("a retry");
    let (exchange, _) = harness.take_sends().pop().expect("a retry");
    harness.exchange_event(exchange, Event::Sent);
    let notice = Notice::Pause(Span::millis(400));
    harness.send_input(Input::Notice { upstream, notice });
    harness.exchange_event(exchange, Event::Refused);
    let retry_after = harness.outputs.iter().find_map(|output| match output {
        Output::Refuse { rejection, .. } => Some((rejection.refusal, rejection.retry_after)),
        _ => None,
    });
    assert!(retry_after.is_some(), "{:?}", harness.outputs);
    harness.outputs.clear();
    harness.request("/read/2");
    let rejection = harness.outputs.iter().find_map(|output| match output {
        Output::Refuse { rejection, .. } => Some(*rejection),
        _ => None,
    });
    let rejection = rejection.expect("a refusal at once");
    assert_eq!(rejection.refusal, Refusal::Paused);
    assert_eq!(rejection.retry_after, Some(Span::millis(400)));
}

#[test]
fn on_notice_pause_is_limited_and_never_shortened() {
    let mut harness = Harness::new(&[upstream("e1", "east")]);
    place_with_notice(&mut harness, Notice::Pause(Span(u64::MAX)), Event::Refused);
    harness.outputs.clear();
    harness.run(Span::seconds(5));
    place_is_paused(&mut harness, true);
    harness.run(Span::seconds(296));
    place_is_paused(&mut harness, false);
}

fn place_is_paused(harness: &mut Harness, paused: bool) {
    harness.outputs.clear();
    harness.request("/read/2");
    let refused = harness.refusals() == [Refusal::Paused];
    assert_eq!(refused, paused, "{:?}", harness.refusals());
}
