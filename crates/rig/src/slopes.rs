//! Measurement of the control cost of a node for several cluster sizes.
//!
//! Engines exchange frames in virtual time without delay. Frames are encoded to count their bytes.
//! The counts are the same in every run; the processor time depends on this machine. The `slopes`
//! and `bench` commands use it.

use std::time::Instant;

use base::prelude::*;
use model::Config;
use model::command::{Command, Origin};
use peer::Envelope;
use policy::attempt::Event;
use policy::balance::{Least, Report};
use policy::call::Request;
use policy::engine::{Input, Output};
use policy::message::{Frame, Update};
use policy::roster::{Member, Roster};
use policy::{Charts, Engine, Now};
use serde::Serialize;

/// Time between two ticks of an engine.
const TICK: Span = Span::millis(20);
/// Bytes that UDP, IP and QUIC add to a frame in a packet of its own, with the acknowledgement.
const OVERHEAD: u64 = 110;

/// Control cost for one cluster size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Cost {
    /// Number of entries.
    pub entries: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// Frames that a node sends per second.
    pub frames: f64,
    /// Bytes that a node sends and receives per second, including transport overhead.
    pub bytes: f64,
    /// Store calls per second of all nodes together.
    pub store_calls: f64,
    /// Processor time that a node spends on control, in percent of a core.
    pub cpu_percent: f64,
    /// Size of the encoded configuration in bytes.
    pub config_bytes: usize,
}

/// Engines connected to each other, with counts of their traffic.
struct Mesh {
    engines: Vec<Engine<Least>>,
    idents: Vec<u64>,
    roster: Roster,
    frames: u64,
    bytes: u64,
    store_calls: u64,
}

impl Mesh {
    fn new(entries: usize, config: &Config) -> Result<Self, policy::charts::Fault> {
        let charts = Charts::load()?;
        let member = |number: usize| Member {
            ident: policy::roster::ident(&format!("entry-{number}"), 0),
            name: format!("entry-{number}"),
            domain: format!("d{}", number % 7),
            peer: ([127, 0, 0, 1], 1).into(),
            caller: ([127, 0, 0, 1], 1).into(),
        };
        let members: Vec<Member> = (0..entries).map(member).collect();
        let roster = Roster::default().with_changes(&[], &members);
        let mut engines = Vec::new();
        for member in &members {
            let mut engine = Engine::new(charts.clone(), member.ident, "d1", member.ident, Least);
            engine.join(member.clone());
            let mut outputs = Vec::new();
            let now = Now::default();
            engine.input(now, Input::Config(Box::new(config.clone())), &mut outputs);
            let roster = roster.clone();
            engine.input(now, Input::Roster { asked_at: Moment(0), roster }, &mut outputs);
            engines.push(engine);
        }
        let idents = members.iter().map(|member| member.ident).collect();
        Ok(Self { engines, idents, roster, frames: 0, bytes: 0, store_calls: 0 })
    }

    fn input(&mut self, now: Now, number: usize, input: Input) {
        let mut pending = vec![(number, input)];
        while let Some((number, input)) = pending.pop() {
            let mut outputs = Vec::new();
            self.engines[number].input(now, input, &mut outputs);
            let from = self.idents[number];
            for output in outputs {
                match output {
                    Output::Send { to, frame } => {
                        self.count(&frame);
                        if let Some(to) = self.idents.iter().position(|ident| *ident == to) {
                            pending.push((to, Input::Peer { from, frame }));
                        }
                    }
                    Output::ConfirmRoster => {
                        self.store_calls += 1;
                        let roster = self.roster.clone();
                        pending.push((number, Input::Roster { asked_at: now.at, roster }));
                    }
                    Output::ProposeRoster(_) => self.store_calls += 2,
                    _ => {}
                }
            }
        }
    }

    fn count(&mut self, frame: &Frame) {
        self.frames += 1;
        let bytes = peer::encode(&Envelope::Frame(frame.clone())).map_or(0, |bytes| bytes.len());
        self.bytes += bytes as u64 + OVERHEAD;
    }
}

/// Measures one cluster size over `seconds` of virtual time.
///
/// # Errors
///
/// Returns an error if a state chart does not match the code.
pub fn measure(
    entries: usize,
    upstreams: usize,
    seconds: u64,
) -> Result<Cost, policy::charts::Fault> {
    let config = config(upstreams);
    let mut mesh = Mesh::new(entries, &config)?;
    let idents: Vec<u64> =
        mesh.engines[0].catalog().upstreams.values().map(|upstream| upstream.ident).collect();
    // The first seconds, which are not measured, spread the cold start of each upstream to all
    // members.
    let mut at = Moment(0);
    for (number, upstream) in idents.iter().enumerate() {
        let message = Frame::Message(policy::message::Message::Urgent(Update::ColdStart {
            upstream: *upstream,
            epoch: 2,
        }));
        let input = Input::Peer { from: 0, frame: message };
        mesh.input(Now { at, unix_ms: 0 }, number % entries, input);
    }
    at = run_ticks(&mut mesh, at, Span::seconds(30));
    (mesh.frames, mesh.bytes, mesh.store_calls) = (0, 0, 0);
    let start = Instant::now();
    run_ticks(&mut mesh, at, Span::seconds(seconds));
    let elapsed = start.elapsed();
    let nodes = entries as f64 * seconds as f64;
    Ok(Cost {
        entries,
        upstreams,
        frames: mesh.frames as f64 / nodes,
        bytes: 2.0 * mesh.bytes as f64 / nodes,
        store_calls: mesh.store_calls as f64 / seconds as f64,
        cpu_percent: 100.0 * elapsed.as_secs_f64() / nodes,
        config_bytes: config.encode().len(),
    })
}

fn run_ticks(mesh: &mut Mesh, from: Moment, duration: Span) -> Moment {
    let mut at = from;
    while at < from + duration {
        at = at + TICK;
        for number in 0..mesh.engines.len() {
            mesh.input(Now { at, unix_ms: at.0 / 1_000 }, number, Input::Tick);
        }
    }
    at
}

/// Returns the mean time of the decisions for one call, in microseconds, with this number of
/// upstreams in its service.
///
/// # Errors
///
/// Returns an error if a state chart does not match the code.
pub fn decision_time_us(upstreams: usize, calls: u32) -> Result<f64, policy::charts::Fault> {
    let mut mesh = Mesh::new(1, &config_of(upstreams, 1))?;
    let idents: Vec<u64> =
        mesh.engines[0].catalog().upstreams.values().map(|upstream| upstream.ident).collect();
    for upstream in idents {
        let update = Update::ColdStart { upstream, epoch: 2 };
        let frame = Frame::Message(policy::message::Message::Urgent(update));
        mesh.input(Now::default(), 0, Input::Peer { from: 0, frame });
    }
    let engine = &mut mesh.engines[0];
    let Some(service) = engine.catalog().service("s0") else { return Ok(0.0) };
    let start = Instant::now();
    let mut outputs = Vec::new();
    for number in 0..calls {
        let now = Now { at: Moment(1_000_000 + u64::from(number) * 100), unix_ms: 0 };
        let request = Request {
            token: u64::from(number),
            service,
            workspace: None,
            route: None,
            idempotent: true,
            replayable: true,
            deadline: now.at + Span::seconds(1),
            key: None,
            digest: u64::from(number),
        };
        engine.input(now, Input::Request(request), &mut outputs);
        let forwarded = outputs.drain(..).find_map(|output| match output {
            Output::Forward { attempt, .. } => Some(attempt),
            _ => None,
        });
        let Some(attempt) = forwarded else { continue };
        let report = Some(Report { in_flight: number % 4, ..Report::default() });
        for (event, report) in [(Event::Sent, None), (Event::Head, report), (Event::End, None)] {
            engine.input(now, Input::Attempt { attempt, event, report }, &mut outputs);
        }
        outputs.clear();
    }
    Ok(start.elapsed().as_secs_f64() * 1e6 / f64::from(calls))
}

/// Builds a configuration with this number of upstreams, spread over 18 services and 7 failure
/// domains.
#[must_use]
pub fn config(upstreams: usize) -> Config {
    config_of(upstreams, 18)
}

fn config_of(upstreams: usize, services: usize) -> Config {
    let mut commands = Vec::new();
    commands.extend((0..7).map(|number| Command::CreateDomain { name: format!("d{number}") }));
    for number in 0..services {
        commands.push(Command::CreateService {
            name: format!("s{number}"),
            slots: None,
            cold: None,
            timeout_ms: None,
        });
        let service = format!("s{number}");
        commands.push(Command::CreateVersion { name: "v1".into(), service });
    }
    commands.extend((0..upstreams).map(|number| Command::CreateUpstream {
        name: format!("u{number}"),
        service: format!("s{}", number % services),
        version: "v1".into(),
        domain: format!("d{}", number % 7),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 8_080).into(),
    }));
    commands.iter().fold(Config::default(), |config, command| {
        let origin = Origin { who: "op".into(), when_ms: 0, write: 1, text: "create".into() };
        // Each name is new, so no command is refused.
        config.apply(command, origin).unwrap_or(config)
    })
}

/// Returns the slope and the intercept of the least-squares line through the points.
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (slope, mean_y - slope * mean_x)
}
