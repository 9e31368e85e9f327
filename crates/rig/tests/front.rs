//! Another front end over the same decisions: lines of text, its own clock, no HTTP.
//!
//! A caller writes `CALL <token> <once|again>`, an upstream is a task behind a pair of streams
//! that takes `RUN <token>` and answers `OK <token> <in flight>`. Time is a count that the test
//! sets. No decision file knows of it.

use std::collections::BTreeMap;

use base::prelude::*;
use model::Config;
use model::command::{Command, Origin};
use policy::attempt::Event;
use policy::balance::{Least, Report};
use policy::call::Request;
use policy::engine::{Input, Output};
use policy::roster::{Member, Roster};
use policy::{Charts, Engine, Now};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, DuplexStream, Lines, ReadHalf};
use tokio::io::{WriteHalf, duplex, split};

/// A front end with lines of text.
struct Front {
    engine: Engine<Least>,
    clock: u64,
    upstreams: BTreeMap<key::Upstream, Wire>,
    running: BTreeMap<u64, (key::Attempt, key::Upstream)>,
    said: Vec<String>,
}

/// The two directions to an upstream.
struct Wire {
    lines: Lines<BufReader<ReadHalf<DuplexStream>>>,
    writer: WriteHalf<DuplexStream>,
}

impl Front {
    fn new(upstreams: u16) -> Self {
        let mut engine = Engine::new(Charts::load().expect("charts fit"), 1, "d1", 5, Least);
        let now = Now { at: Moment(0), unix_ms: 0 };
        let mut out = Vec::new();
        engine.input(now, Input::Config(Box::new(config(upstreams))), &mut out);
        let address = ([127, 0, 0, 1], 1).into();
        let member = Member {
            ident: 1,
            name: "one".into(),
            domain: "d1".into(),
            peer: address,
            caller: address,
        };
        let roster = Roster::default().with_changes(&[], &[member]);
        engine.input(now, Input::Roster { asked_at: Moment(0), roster }, &mut out);
        let keys: Vec<key::Upstream> = engine.catalog().upstreams.keys().collect();
        let upstreams = keys.into_iter().map(|key| (key, connect())).collect();
        Self { engine, clock: 0, upstreams, running: BTreeMap::new(), said: Vec::new() }
    }

    async fn line(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let ["CALL", token, kind] = words[..] else {
            return self.said.push("BAD".into());
        };
        let Ok(token) = token.parse() else { return self.said.push("BAD".into()) };
        let service = self.engine.catalog().service("seal").expect("a service");
        let request = Request {
            token,
            service,
            workspace: None,
            route: None,
            idempotent: kind == "again",
            replayable: true,
            deadline: Moment(self.clock + 1_000_000),
            key: None,
            digest: token,
        };
        self.input(Input::Request(request)).await;
    }

    async fn input(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            let now = Now { at: Moment(self.clock), unix_ms: self.clock / 1_000 };
            self.engine.input(now, input, &mut out);
            for output in out {
                match output {
                    Output::Forward { token, attempt, upstream } => {
                        let wire = self.upstreams.get_mut(&upstream).expect("a wire");
                        let line = format!("RUN {token}\n");
                        wire.writer.write_all(line.as_bytes()).await.expect("written");
                        self.running.insert(token, (attempt, upstream));
                        let event = Event::Sent;
                        inputs.push(Input::Attempt { attempt, event, report: None });
                    }
                    Output::Refuse { token, outcome, .. } => {
                        self.said.push(format!("NO {token} {outcome:?}"));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Takes the answer to one call from its upstream.
    async fn answer(&mut self, token: u64) {
        let (attempt, upstream) = self.running.remove(&token).expect("a running call");
        let wire = self.upstreams.get_mut(&upstream).expect("a wire");
        let line = wire.lines.next_line().await.expect("read").expect("a line");
        let words: Vec<&str> = line.split(' ').collect();
        assert_eq!(words[..2], ["OK", token.to_string().as_str()]);
        let in_flight = words[2].parse().expect("a number");
        let report = Some(Report { in_flight, ..Report::default() });
        self.clock += 5_000;
        self.input(Input::Attempt { attempt, event: Event::Head, report }).await;
        self.input(Input::Attempt { attempt, event: Event::End, report: None }).await;
        self.said.push(format!("YES {token}"));
    }
}

/// Starts an upstream that runs what it is told, in order.
fn connect() -> Wire {
    let (here, there) = duplex(1_024);
    tokio::spawn(async move {
        let (reader, mut writer) = split(there);
        let mut lines = BufReader::new(reader).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let token = line.trim_start_matches("RUN ");
            if writer.write_all(format!("OK {token} 0\n").as_bytes()).await.is_err() {
                return;
            }
        }
    });
    let (reader, writer) = split(here);
    Wire { lines: BufReader::new(reader).lines(), writer }
}

fn config(upstreams: u16) -> Config {
    let mut commands = vec![
        Command::CreateService { name: "seal".into(), slots: None, cold: None, timeout_ms: None },
        Command::CreateDomain { name: "d1".into() },
        Command::CreateVersion { name: "v1".into(), service: "seal".into() },
    ];
    commands.extend((0..upstreams).map(|number| Command::CreateUpstream {
        name: format!("u{number}"),
        service: "seal".into(),
        version: "v1".into(),
        domain: "d1".into(),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
    }));
    commands.iter().fold(Config::default(), |config, command| {
        let origin = Origin { who: "op".into(), when_ms: 0, write: 1, text: String::new() };
        config.apply(command, origin).expect("a command that fits")
    })
}

#[tokio::test]
async fn front_of_lines_serves_calls() {
    let mut front = Front::new(2);
    for token in 1..=40 {
        front.line(&format!("CALL {token} again")).await;
        front.answer(token).await;
    }
    let expected: Vec<String> = (1..=40).map(|token| format!("YES {token}")).collect();
    assert_eq!(front.said, expected);
    assert_eq!(front.engine.open_calls(), 0);
}

#[tokio::test]
async fn front_of_lines_refuses_late_calls() {
    let mut front = Front::new(1);
    // The cold upstream bears one call; the second waits past its deadline.
    front.line("CALL 1 once").await;
    front.line("CALL 2 once").await;
    front.line("SING").await;
    front.clock += 2_000_000;
    front.input(Input::Tick).await;
    assert_eq!(front.said, ["BAD", "NO 2 NotRun"]);
    front.answer(1).await;
    assert_eq!(front.said.last().map(String::as_str), Some("YES 1"));
}
