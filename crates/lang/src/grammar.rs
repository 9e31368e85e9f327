//! The grammar of statements.

use std::net::SocketAddr;

use base::derive::Symbol;
use model::command::{Command, Deadline};
use model::object::{Kind, Phase, Standing};
use model::query::{Collection, Query};
use winnow::combinator::{alt, eof, opt, preceded, terminated};
use winnow::error::{ContextError, ErrMode, ParseError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

use crate::{Error, Statement, time};

/// Longest name of an object, in bytes.
const MOST_NAME: usize = 64;

type Input<'a> = &'a str;
type Fail = ErrMode<ContextError>;

/// Parses a whole statement.
pub(crate) fn parse(text: &str) -> Result<Statement, Error> {
    let trimmed = text.trim_end();
    terminated(preceded(blank, statement), end)
        .parse(trimmed)
        .map_err(|error| account(trimmed, &error))
}

fn account(text: &str, error: &ParseError<Input<'_>, ContextError>) -> Error {
    // The first context is the innermost, the others are the forms around it.
    let expected = error.inner().context().find_map(|context| match context {
        StrContext::Expected(value) => Some(value.to_string()),
        _ => None,
    });
    let expected = expected.unwrap_or_else(|| "another word".into());
    Error { text: text.into(), column: error.offset(), expected }
}

fn statement(input: &mut Input<'_>) -> ModalResult<Statement> {
    alt((
        query.map(Statement::Query),
        creation.map(Statement::Command),
        order.map(Statement::Command),
    ))
    .context(expected(
        "show, why, create, set, delete, take out, take back, bring back, move, pause, \
             resume, hold or release",
    ))
    .parse_next(input)
}

fn query(input: &mut Input<'_>) -> ModalResult<Query> {
    alt((preceded(word("show"), show), preceded(word("why"), why))).parse_next(input)
}

fn creation(input: &mut Input<'_>) -> ModalResult<Command> {
    alt((
        preceded(word("create"), create),
        preceded(word("set"), set),
        preceded(word("delete"), delete),
    ))
    .parse_next(input)
}

fn order(input: &mut Input<'_>) -> ModalResult<Command> {
    alt((
        preceded((word("take"), word("out")), take_out),
        preceded((word("bring"), word("back")), bring_back),
        preceded(word("move"), start_move),
        preceded(word("pause"), phase(Phase::Paused)),
        preceded(word("resume"), phase(Phase::Running)),
        preceded((word("take"), word("back")), phase(Phase::RolledBack)),
        preceded(word("hold"), standing(Standing::Held)),
        preceded(word("release"), standing(Standing::Good)),
    ))
    .parse_next(input)
}

fn show(input: &mut Input<'_>) -> ModalResult<Query> {
    let collection = symbol::<Collection>(
        "services, domains, workspaces, versions, upstreams, routes, moves, history or entries",
    )
    .parse_next(input)?;
    let service = opt(preceded(word("of"), ident("a service"))).parse_next(input)?;
    let domain = opt(preceded(word("in"), ident("a failure domain"))).parse_next(input)?;
    Ok(Query::Show { collection, service, domain })
}

fn why(input: &mut Input<'_>) -> ModalResult<Query> {
    alt((
        preceded(word("upstream"), must(ident("an upstream")))
            .map(|name| Query::WhyUpstream { name }),
        preceded(word("move"), must(ident("a move"))).map(|name| Query::WhyMove { name }),
    ))
    .context(expected("upstream or move"))
    .parse_next(input)
}

fn create(input: &mut Input<'_>) -> ModalResult<Command> {
    alt((
        preceded(word("service"), must(create_service)),
        preceded(word("domain"), must(ident("a name"))).map(|name| Command::CreateDomain { name }),
        preceded(word("workspace"), must(workspace)),
        preceded(word("version"), must(create_version)),
        preceded(word("upstream"), must(create_upstream)),
        preceded(word("route"), must(create_route)),
    ))
    .context(expected("service, domain, workspace, version, upstream or route"))
    .parse_next(input)
}

fn set(input: &mut Input<'_>) -> ModalResult<Command> {
    preceded(keyword("workspace"), workspace).parse_next(input)
}

fn create_service(input: &mut Input<'_>) -> ModalResult<Command> {
    let name = ident("a name").parse_next(input)?;
    let slots = opt(preceded(word("slots"), must(number))).parse_next(input)?;
    let cold = opt(preceded(word("cold"), must(number))).parse_next(input)?;
    let timeout_ms = opt(preceded(word("timeout"), must(length))).parse_next(input)?;
    Ok(Command::CreateService { name, slots, cold, timeout_ms })
}

fn workspace(input: &mut Input<'_>) -> ModalResult<Command> {
    let name = ident("a name").parse_next(input)?;
    let weight = opt(preceded(word("weight"), must(number))).parse_next(input)?;
    let limit = opt(preceded(word("limit"), must(number))).parse_next(input)?;
    Ok(Command::SetWorkspace { name, weight, limit })
}

fn create_version(input: &mut Input<'_>) -> ModalResult<Command> {
    let name = ident("a name").parse_next(input)?;
    let service = preceded(keyword("of"), ident("a service")).parse_next(input)?;
    Ok(Command::CreateVersion { name, service })
}

fn create_upstream(input: &mut Input<'_>) -> ModalResult<Command> {
    let name = ident("a name").parse_next(input)?;
    let service = preceded(keyword("of"), ident("a service")).parse_next(input)?;
    let version = preceded(keyword("version"), ident("a version")).parse_next(input)?;
    let domain = preceded(keyword("in"), ident("a failure domain")).parse_next(input)?;
    let address = preceded(keyword("at"), address).parse_next(input)?;
    Ok(Command::CreateUpstream { name, service, version, domain, address })
}

fn create_route(input: &mut Input<'_>) -> ModalResult<Command> {
    let method = token
        .verify(|text: &str| text.chars().all(|c| c.is_ascii_uppercase()) || text == "any")
        .context(expected("a method in capitals or any"))
        .parse_next(input)?;
    let prefix = token
        .verify(|text: &str| text.starts_with('/'))
        .context(expected("a path that starts with /"))
        .parse_next(input)?;
    let (method, prefix) = (method.to_owned(), prefix.to_owned());
    let service = preceded(keyword("of"), ident("a service")).parse_next(input)?;
    let idempotent = alt((word("idempotent").value(true), word("once").value(false)))
        .context(expected("idempotent or once"))
        .parse_next(input)?;
    let method = (method != "any").then_some(method);
    Ok(Command::CreateRoute { service, method, prefix, idempotent })
}

fn delete(input: &mut Input<'_>) -> ModalResult<Command> {
    let kind = symbol::<Kind>("service, domain, workspace, version, upstream, route or move")
        .parse_next(input)?;
    let name = match kind {
        Kind::Version => {
            let version = ident("a version").parse_next(input)?;
            let service = preceded(keyword("of"), ident("a service")).parse_next(input)?;
            format!("{service}/{version}")
        }
        Kind::Route => {
            let method = token.context(expected("a method or any")).parse_next(input)?;
            let prefix = token.context(expected("a path")).parse_next(input)?;
            let rest = format!("{method} {prefix}");
            let service = preceded(keyword("of"), ident("a service")).parse_next(input)?;
            format!("{service} {rest}")
        }
        _ => ident("a name").parse_next(input)?,
    };
    Ok(Command::Delete { kind, name })
}

fn take_out(input: &mut Input<'_>) -> ModalResult<Command> {
    let domain = preceded(keyword("domain"), ident("a failure domain")).parse_next(input)?;
    let duration_ms = opt(preceded(word("for"), must(length))).parse_next(input)?;
    Ok(Command::WithdrawDomain { domain, duration_ms })
}

fn bring_back(input: &mut Input<'_>) -> ModalResult<Command> {
    let domain = preceded(keyword("domain"), ident("a failure domain")).parse_next(input)?;
    Ok(Command::RestoreDomain { domain })
}

fn start_move(input: &mut Input<'_>) -> ModalResult<Command> {
    let service = ident("a service").parse_next(input)?;
    let from = preceded(keyword("from"), ident("a version")).parse_next(input)?;
    let to = preceded(keyword("to"), ident("a version")).parse_next(input)?;
    let deadline = alt((
        preceded(word("in"), must(length)).map(Deadline::Within),
        preceded(word("by"), must(point)).map(Deadline::At),
    ))
    .context(expected("in with a length of time, or by with a time"))
    .parse_next(input)?;
    Ok(Command::StartMove { service, from, to, deadline })
}

fn phase<'a>(phase: Phase) -> impl Parser<Input<'a>, Command, Fail> {
    let tail = preceded(keyword("move"), ident("a move"));
    tail.map(move |name| Command::SetMove { name, phase, reason: "ordered".into() })
}

fn standing<'a>(standing: Standing) -> impl Parser<Input<'a>, Command, Fail> {
    let tail = (
        preceded(keyword("version"), ident("a version")),
        preceded(keyword("of"), ident("a service")),
    );
    tail.map(move |(version, service)| Command::SetStanding { service, version, standing })
}

/// Parses the rest of a form whose first words have fixed it, so that its errors stand.
fn must<'a, T>(parser: impl Parser<Input<'a>, T, Fail>) -> impl Parser<Input<'a>, T, Fail> {
    winnow::combinator::cut_err(parser)
}

fn keyword<'a>(text: &'static str) -> impl Parser<Input<'a>, (), Fail> {
    must(word(text).context(StrContext::Expected(StrContextValue::StringLiteral(text))))
}

fn word<'a>(text: &'static str) -> impl Parser<Input<'a>, (), Fail> {
    token.verify(move |found: &str| found == text).void()
}

fn symbol<'a, T: Symbol>(what: &'static str) -> impl Parser<Input<'a>, T, Fail> {
    must(token.verify_map(T::parse).context(expected(what)))
}

fn ident<'a>(what: &'static str) -> impl Parser<Input<'a>, String, Fail> {
    must(token.verify(|text: &str| is_name(text)).map(str::to_owned).context(expected(what)))
}

fn is_name(text: &str) -> bool {
    let fits = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    text.len() <= MOST_NAME && text.chars().all(fits)
}

fn number(input: &mut Input<'_>) -> ModalResult<u32> {
    token.verify_map(|text: &str| text.parse().ok()).context(expected("a number")).parse_next(input)
}

fn length(input: &mut Input<'_>) -> ModalResult<u64> {
    token
        .verify_map(time::length)
        .context(expected("a length of time such as 250ms, 30s, 20m, 2h or 1d"))
        .parse_next(input)
}

fn point(input: &mut Input<'_>) -> ModalResult<u64> {
    token
        .verify_map(time::point)
        .context(expected("a time such as 2027-01-31T18:30Z"))
        .parse_next(input)
}

fn address(input: &mut Input<'_>) -> ModalResult<SocketAddr> {
    must(
        token
            .verify_map(|text: &str| text.parse().ok())
            .context(expected("an address such as 127.0.0.1:8080")),
    )
    .parse_next(input)
}

/// Parses one word and the blanks after it.
fn token<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    terminated(take_while(1.., |c: char| !c.is_whitespace()), blank).parse_next(input)
}

fn blank(input: &mut Input<'_>) -> ModalResult<()> {
    take_while(0.., char::is_whitespace).void().parse_next(input)
}

fn end(input: &mut Input<'_>) -> ModalResult<()> {
    eof.void().context(expected("the end of the statement")).parse_next(input)
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}
