//! Tests that the engine also works behind a front end that speaks lines of text instead of HTTP.
//!
//! A caller writes `CALL <token> <once|again>`. An upstream is a task behind a duplex stream that
//! receives `RUN <token>` and answers `OK <token> <in flight>`. The test sets the clock. No source
//! file of the decisions depends on this front end.

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

/// A front end that speaks lines of text.
struct Front {
    engine: Engine<Least>,
    clock: u64,
    upstreams: BTreeMap<key::Upstream, Link>,
    running: BTreeMap<u64, (key::Attempt, key::Upstream)>,
    replies: Vec<String>,
}

/// The two directions of the stream to an upstream.
struct Link {
    lines: Lines<BufReader<ReadHalf<DuplexStream>>>,
    writer: WriteHalf<DuplexStream>,
}

impl Front {
    fn new(upstreams: u16) -> Self {
        let mut engine = Engine::new(Charts::load().expect("charts fit"), 1, "d1", 5, Least);
        let now = Now { at: Moment(0), unix_ms: 0 };
        let mut outputs = Vec::new();
        engine.input(now, Input::Config(Box::new(config(upstreams))), &mut outputs);
        let address = ([127, 0, 0, 1], 1).into();
        let member = Member {
            ident: 1,
            name: "one".into(),
            domain: "d1".into(),
            peer: address,
            caller: address,
        };
        let roster = Roster::default().with_changes(&[], &[member]);
        engine.input(now, Input::Roster { asked_at: Moment(0), roster }, &mut outputs);
        let keys: Vec<key::Upstream> = engine.catalog().upstreams.keys().collect();
        let upstreams = keys.into_iter().map(|key| (key, connect())).collect();
        Self { engine, clock: 0, upstreams, running: BTreeMap::new(), replies: Vec::new() }
    }

    async fn handle_line(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let ["CALL", token, kind] = words[..] else {
            return self.replies.push("BAD".into());
        };
        let Ok(token) = token.parse() else { return self.replies.push("BAD".into()) };
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
            let mut outputs = Vec::new();
            let now = Now { at: Moment(self.clock), unix_ms: self.clock / 1_000 };
            self.engine.input(now, input, &mut outputs);
            for output in outputs {
                match output {
                    Output::Forward { token, attempt, upstream } => {
                        let link = self.upstreams.get_mut(&upstream).expect("a link");
                        let line = format!("RUN {token}\n");
                        link.writer.write_all(line.as_bytes()).await.expect("written");
                        self.running.insert(token, (attempt, upstream));
                        let event = Event::Sent;
                        inputs.push(Input::Attempt { attempt, event, report: None });
                    }
                    Output::Refuse { token, outcome, .. } => {
                        self.replies.push(format!("NO {token} {outcome:?}"));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Receives the response to a call from its upstream and passes it to the engine.
    async fn receive_response(&mut self, token: u64) {
        let (attempt, upstream) = self.running.remove(&token).expect("a running call");
        let link = self.upstreams.get_mut(&upstream).expect("a link");
        let line = link.lines.next_line().await.expect("read").expect("a line");
        let words: Vec<&str> = line.split(' ').collect();
        assert_eq!(words[..2], ["OK", token.to_string().as_str()]);
        let in_flight = words[2].parse().expect("a number");
        let report = Some(Report { in_flight, ..Report::default() });
        self.clock += 5_000;
        self.input(Input::Attempt { attempt, event: Event::Head, report }).await;
        self.input(Input::Attempt { attempt, event: Event::End, report: None }).await;
        self.replies.push(format!("YES {token}"));
    }
}

/// Starts an upstream that runs its calls in the order of arrival.
fn connect() -> Link {
    let (near_end, far_end) = duplex(1_024);
    tokio::spawn(async move {
        let (reader, mut writer) = split(far_end);
        let mut lines = BufReader::new(reader).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let token = line.trim_start_matches("RUN ");
            if writer.write_all(format!("OK {token} 0\n").as_bytes()).await.is_err() {
                return;
            }
        }
    });
    let (reader, writer) = split(near_end);
    Link { lines: BufReader::new(reader).lines(), writer }
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
async fn front_serves_calls() {
    let mut front = Front::new(2);
    for token in 1..=40 {
        front.handle_line(&format!("CALL {token} again")).await;
        front.receive_response(token).await;
    }
    let expected: Vec<String> = (1..=40).map(|token| format!("YES {token}")).collect();
    assert_eq!(front.replies, expected);
    assert_eq!(front.engine.open_calls(), 0);
}

#[tokio::test]
async fn front_refuses_late_calls() {
    let mut front = Front::new(1);
    // The cold upstream accepts one call at a time; the second waits past its deadline.
    front.handle_line("CALL 1 once").await;
    front.handle_line("CALL 2 once").await;
    front.handle_line("SING").await;
    front.clock += 2_000_000;
    front.input(Input::Tick).await;
    assert_eq!(front.replies, ["BAD", "NO 2 NotRun"]);
    front.receive_response(1).await;
    assert_eq!(front.replies.last().map(String::as_str), Some("YES 1"));
}
