//! Event-driven simulation of entries and of upstreams with slots and queues.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use super::Name;
use super::report::Row;
use super::strategy::{Strategy, View};
use super::trace::Trace;

/// Parameters of the simulated entries and upstreams. Times are in mean service times.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// Number of entries.
    pub entries: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Calls that an upstream runs concurrently.
    pub slots: u32,
    /// Number of upstreams slowed by a noisy neighbour.
    pub slow: usize,
    /// Factor by which the service times of slow upstreams are longer.
    pub slowdown: f64,
    /// One-way delay between an entry and an upstream.
    pub delay: f64,
    /// Time after which a caller cancels its call.
    pub timeout: f64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            entries: 16,
            upstreams: 20,
            slots: 4,
            slow: 2,
            slowdown: 4.0,
            delay: 0.1,
            timeout: 40.0,
        }
    }
}

impl Scenario {
    /// Returns the calls that all upstreams together complete in one mean service time.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let slow = self.slow as f64;
        let good = self.upstreams as f64 - slow;
        f64::from(self.slots) * (good + slow / self.slowdown)
    }
}

/// A call in progress.
#[derive(Clone, Copy, Debug)]
struct Call {
    arrived: f64,
    entry: usize,
    /// Service time that the call needs without slowdown.
    work: f64,
    upstream: usize,
    /// Time of the choice, without the delays that follow it.
    sent: f64,
    /// Estimated number of calls ahead of this one when it was sent.
    ahead: f64,
    /// Whether the entry has received the response.
    done: bool,
}

/// A simulated upstream.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// Number of calls that hold a slot.
    pub running: u32,
    /// Calls waiting for a slot, in the order of arrival.
    queue: VecDeque<usize>,
    /// Factor on the service times, from [`Trace::slow_from`] on.
    slowdown: f64,
    /// Moving average of the time from sending a call to its completion.
    pub recent: f64,
}

impl Upstream {
    /// Returns the number of calls that run or wait.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.running + u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }
}

/// An event of the simulation. Calls and entries are given by index.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// A call of the trace arrives at its entry.
    Arrive(usize),
    /// A call reaches its upstream.
    Deliver(usize),
    /// An upstream completes a call.
    Finish(usize),
    /// The response to a call reaches the entry, with the in-flight calls of the upstream.
    Response(usize, u32),
    /// A probe reaches an upstream.
    Probe { entry: usize, upstream: usize },
    /// The reply to a probe reaches the entry.
    ProbeReply { entry: usize, upstream: usize, in_flight: u32, recent: f64 },
    /// An entry tries again to send its held calls.
    Recheck(usize),
}

/// An event with its time and serial number. Events at the same time keep the order of creation.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Scheduled(f64, u64, Event);

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// The state of one simulation run.
struct Simulation<'a, W> {
    scenario: &'a Scenario,
    trace: &'a Trace,
    strategy: W,
    upstreams: Vec<Upstream>,
    calls: Vec<Call>,
    /// Calls held at each entry, in the order of arrival.
    held: Vec<VecDeque<usize>>,
    /// Whether a recheck of an entry's held calls is scheduled, by entry.
    recheck_scheduled: Vec<bool>,
    schedule: BinaryHeap<Reverse<Scheduled>>,
    /// Number of events created so far.
    serial: u64,
    row: Row,
    latencies: Vec<f64>,
}

/// Simulates one strategy on a trace.
pub fn simulate<W: Strategy>(name: Name, scenario: &Scenario, trace: &Trace, strategy: W) -> Row {
    let slowdown = |number| if number < scenario.slow { scenario.slowdown } else { 1.0 };
    let upstream =
        |number| Upstream { slowdown: slowdown(number), recent: 1.0, ..Upstream::default() };
    let mut simulation = Simulation {
        scenario,
        trace,
        strategy,
        upstreams: (0..scenario.upstreams).map(upstream).collect(),
        calls: Vec::with_capacity(trace.arrivals.len()),
        held: vec![VecDeque::new(); scenario.entries],
        recheck_scheduled: vec![false; scenario.entries],
        schedule: BinaryHeap::new(),
        serial: 0,
        row: Row::new(name),
        latencies: Vec::with_capacity(trace.arrivals.len()),
    };
    simulation.push(trace.arrivals[0].at, Event::Arrive(0));
    while let Some(Reverse(Scheduled(now, _, event))) = simulation.schedule.pop() {
        simulation.handle_event(now, event);
    }
    simulation.row.record_latencies(simulation.latencies, scenario.timeout);
    simulation.row
}

impl<W: Strategy> Simulation<'_, W> {
    fn push(&mut self, at: f64, event: Event) {
        self.serial += 1;
        self.schedule.push(Reverse(Scheduled(at, self.serial, event)));
    }

    fn handle_event(&mut self, now: f64, event: Event) {
        match event {
            Event::Arrive(number) => self.arrive(now, number),
            Event::Deliver(call) => self.deliver(now, call),
            Event::Finish(call) => self.finish(now, call),
            Event::Response(call, in_flight) => self.receive_response(now, call, in_flight),
            Event::Probe { entry, upstream } => {
                let (in_flight, recent) =
                    (self.upstreams[upstream].in_flight(), self.upstreams[upstream].recent);
                let reply = Event::ProbeReply { entry, upstream, in_flight, recent };
                self.push(now + self.scenario.delay, reply);
            }
            Event::ProbeReply { entry, upstream, in_flight, recent } => {
                self.strategy.on_probe_reply(now, entry, upstream, in_flight, recent);
            }
            Event::Recheck(entry) => {
                self.recheck_scheduled[entry] = false;
                self.send_held(now, entry);
            }
        }
    }

    fn arrive(&mut self, now: f64, number: usize) {
        if let Some(next) = self.trace.arrivals.get(number + 1) {
            self.push(next.at, Event::Arrive(number + 1));
        }
        let arrival = self.trace.arrivals[number];
        self.calls.push(Call {
            arrived: now,
            entry: arrival.entry,
            work: arrival.work,
            upstream: 0,
            sent: now,
            ahead: 0.0,
            done: false,
        });
        let call = self.calls.len() - 1;
        if !self.held[arrival.entry].is_empty() || !self.send(now, call) {
            self.held[arrival.entry].push_back(call);
            self.schedule_recheck(now, arrival.entry);
        }
    }

    /// Sends a call to the upstream that the strategy chooses. Returns `false` if the strategy
    /// holds the call.
    fn send(&mut self, now: f64, number: usize) -> bool {
        let entry = self.calls[number].entry;
        let view = View { now, scenario: self.scenario, upstreams: &self.upstreams };
        let Some(choice) = self.strategy.choose(&view, entry) else { return false };
        for upstream in choice.probes {
            self.row.probes += 1;
            self.push(now + self.scenario.delay, Event::Probe { entry, upstream });
        }
        let call = &mut self.calls[number];
        call.upstream = choice.upstream;
        call.sent = now;
        call.ahead = choice.ahead;
        self.push(now + choice.send_delay + self.scenario.delay, Event::Deliver(number));
        true
    }

    fn deliver(&mut self, now: f64, number: usize) {
        let upstream = &mut self.upstreams[self.calls[number].upstream];
        if upstream.running < self.scenario.slots {
            self.start(now, number);
        } else {
            upstream.queue.push_back(number);
            self.row.collisions += 1;
        }
    }

    fn start(&mut self, now: f64, number: usize) {
        let call = self.calls[number];
        let upstream = &mut self.upstreams[call.upstream];
        upstream.running += 1;
        let slowdown = if now < self.trace.slow_from { 1.0 } else { upstream.slowdown };
        let time = call.work * slowdown;
        self.push(now + time, Event::Finish(number));
    }

    fn finish(&mut self, now: f64, number: usize) {
        let call = self.calls[number];
        let upstream = &mut self.upstreams[call.upstream];
        upstream.running -= 1;
        upstream.recent += 0.05 * (now - call.sent - upstream.recent);
        if now - call.arrived > self.scenario.timeout {
            self.row.wasted += 1;
        }
        while let Some(next) = self.upstreams[call.upstream].queue.pop_front() {
            // A caller that timed out has cancelled its call, which then takes no slot.
            if now - self.calls[next].arrived <= self.scenario.timeout {
                self.start(now, next);
                break;
            }
            let in_flight = self.upstreams[call.upstream].in_flight();
            self.push(now + self.scenario.delay, Event::Response(next, in_flight));
        }
        let in_flight = self.upstreams[call.upstream].in_flight();
        self.push(now + self.scenario.delay, Event::Response(number, in_flight));
    }

    fn receive_response(&mut self, now: f64, number: usize, in_flight: u32) {
        let call = &mut self.calls[number];
        if std::mem::replace(&mut call.done, true) {
            return;
        }
        let call = *call;
        if call.arrived >= self.trace.measured_from {
            self.latencies.push(now - call.arrived);
        }
        let latency = now - call.sent;
        self.strategy.on_response(now, call.entry, call.upstream, latency, call.ahead, in_flight);
        self.send_held(now, call.entry);
    }

    /// Schedules a recheck of an entry's held calls unless one is scheduled already.
    fn schedule_recheck(&mut self, now: f64, entry: usize) {
        if !std::mem::replace(&mut self.recheck_scheduled[entry], true) {
            self.push(now + 4.0 * self.scenario.delay, Event::Recheck(entry));
        }
    }

    /// Sends the calls that an entry holds until the strategy holds one again. Refuses those whose
    /// caller has timed out.
    fn send_held(&mut self, now: f64, entry: usize) {
        while let Some(number) = self.held[entry].front().copied() {
            let waited = now - self.calls[number].arrived;
            if waited > self.scenario.timeout {
                self.held[entry].pop_front();
                self.row.refused +=
                    u64::from(self.calls[number].arrived >= self.trace.measured_from);
                continue;
            }
            if !self.send(now, number) {
                self.schedule_recheck(now, entry);
                return;
            }
            self.held[entry].pop_front();
        }
    }
}
