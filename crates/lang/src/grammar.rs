//! The grammar of statements, as parser combinators.

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

/// Maximum length of an object's name, in bytes.
const MAX_NAME_BYTES: usize = 64;

type Input<'a> = &'a str;
type Failure = ErrMode<ContextError>;

/// Parses a complete statement.
pub(crate) fn parse(text: &str) -> Result<Statement, Error> {
    let trimmed = text.trim_end();
    terminated(preceded(whitespace, statement), end_of_statement)
        .parse(trimmed)
        .map_err(|error| to_error(trimmed, &error))
}

fn to_error(text: &str, error: &ParseError<Input<'_>, ContextError>) -> Error {
    // The contexts run from the innermost parser to the outermost; the innermost one is the most
    // specific.
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
        object_command.map(Statement::Command),
        traffic_command.map(Statement::Command),
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

fn object_command(input: &mut Input<'_>) -> ModalResult<Command> {
    alt((
        preceded(word("create"), create),
        preceded(word("set"), set),
        preceded(word("delete"), delete),
    ))
    .parse_next(input)
}

fn traffic_command(input: &mut Input<'_>) -> ModalResult<Command> {
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
        preceded(word("upstream"), committed(ident("an upstream")))
            .map(|name| Query::WhyUpstream { name }),
        preceded(word("move"), committed(ident("a move"))).map(|name| Query::WhyMove { name }),
    ))
    .context(expected("upstream or move"))
    .parse_next(input)
}

fn create(input: &mut Input<'_>) -> ModalResult<Command> {
    alt((
        preceded(word("service"), committed(create_service)),
        preceded(word("domain"), committed(ident("a name")))
            .map(|name| Command::CreateDomain { name }),
        preceded(word("workspace"), committed(workspace)),
        preceded(word("version"), committed(create_version)),
        preceded(word("upstream"), committed(create_upstream)),
        preceded(word("route"), committed(create_route)),
    ))
    .context(expected("service, domain, workspace, version, upstream or route"))
    .parse_next(input)
}

fn set(input: &mut Input<'_>) -> ModalResult<Command> {
    preceded(required_word("workspace"), workspace).parse_next(input)
}

fn create_service(input: &mut Input<'_>) -> ModalResult<Command> {
    let name = ident("a name").parse_next(input)?;
    let slots = opt(preceded(word("slots"), committed(number))).parse_next(input)?;
    let cold = opt(preceded(word("cold"), committed(number))).parse_next(input)?;
    let timeout_ms = opt(preceded(word("timeout"), committed(duration))).parse_next(input)?;
    Ok(Command::CreateService { name, slots, cold, timeout_ms })
}

fn workspace(input: &mut Input<'_>) -> ModalResult<Command> {
    let name = ident("a name").parse_next(input)?;
    let weight = opt(preceded(word("weight"), committed(number))).parse_next(input)?;
    let limit = opt(preceded(word("limit"), committed(number))).parse_next(input)?;
    Ok(Command::SetWorkspace { name, weight, limit })
}

fn create_version(input: &mut Input<'_>) -> ModalResult<Command> {
    let name = ident("a name").parse_next(input)?;
    let service = preceded(required_word("of"), ident("a service")).parse_next(input)?;
    Ok(Command::CreateVersion { name, service })
}

fn create_upstream(input: &mut Input<'_>) -> ModalResult<Command> {
    let name = ident("a name").parse_next(input)?;
    let service = preceded(required_word("of"), ident("a service")).parse_next(input)?;
    let version = preceded(required_word("version"), ident("a version")).parse_next(input)?;
    let domain = preceded(required_word("in"), ident("a failure domain")).parse_next(input)?;
    let address = preceded(required_word("at"), address).parse_next(input)?;
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
    let service = preceded(required_word("of"), ident("a service")).parse_next(input)?;
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
            let service = preceded(required_word("of"), ident("a service")).parse_next(input)?;
            format!("{service}/{version}")
        }
        Kind::Route => {
            let method = token.context(expected("a method or any")).parse_next(input)?;
            let prefix = token.context(expected("a path")).parse_next(input)?;
            let pattern = format!("{method} {prefix}");
            let service = preceded(required_word("of"), ident("a service")).parse_next(input)?;
            format!("{service} {pattern}")
        }
        _ => ident("a name").parse_next(input)?,
    };
    Ok(Command::Delete { kind, name })
}

fn take_out(input: &mut Input<'_>) -> ModalResult<Command> {
    let domain = preceded(required_word("domain"), ident("a failure domain")).parse_next(input)?;
    let duration_ms = opt(preceded(word("for"), committed(duration))).parse_next(input)?;
    Ok(Command::WithdrawDomain { domain, duration_ms })
}

fn bring_back(input: &mut Input<'_>) -> ModalResult<Command> {
    let domain = preceded(required_word("domain"), ident("a failure domain")).parse_next(input)?;
    Ok(Command::RestoreDomain { domain })
}

fn start_move(input: &mut Input<'_>) -> ModalResult<Command> {
    let service = ident("a service").parse_next(input)?;
    let from = preceded(required_word("from"), ident("a version")).parse_next(input)?;
    let to = preceded(required_word("to"), ident("a version")).parse_next(input)?;
    let deadline = alt((
        preceded(word("in"), committed(duration)).map(Deadline::Within),
        preceded(word("by"), committed(timestamp)).map(Deadline::At),
    ))
    .context(expected("in with a length of time, or by with a time"))
    .parse_next(input)?;
    Ok(Command::StartMove { service, from, to, deadline })
}

fn phase<'a>(phase: Phase) -> impl Parser<Input<'a>, Command, Failure> {
    let arguments = preceded(required_word("move"), ident("a move"));
    arguments.map(move |name| Command::SetMove { name, phase, reason: "ordered".into() })
}

fn standing<'a>(standing: Standing) -> impl Parser<Input<'a>, Command, Failure> {
    let arguments = (
        preceded(required_word("version"), ident("a version")),
        preceded(required_word("of"), ident("a service")),
    );
    arguments.map(move |(version, service)| Command::SetStanding { service, version, standing })
}

/// Rules out the alternatives of `parser`, so that its error is the one reported.
///
/// This is for the rest of a statement whose first words have determined its form.
fn committed<'a, T>(
    parser: impl Parser<Input<'a>, T, Failure>,
) -> impl Parser<Input<'a>, T, Failure> {
    winnow::combinator::cut_err(parser)
}

fn required_word<'a>(text: &'static str) -> impl Parser<Input<'a>, (), Failure> {
    committed(word(text).context(StrContext::Expected(StrContextValue::StringLiteral(text))))
}

fn word<'a>(text: &'static str) -> impl Parser<Input<'a>, (), Failure> {
    token.verify(move |found: &str| found == text).void()
}

fn symbol<'a, T: Symbol>(description: &'static str) -> impl Parser<Input<'a>, T, Failure> {
    committed(token.verify_map(T::parse).context(expected(description)))
}

fn ident<'a>(description: &'static str) -> impl Parser<Input<'a>, String, Failure> {
    committed(
        token.verify(|text: &str| is_name(text)).map(str::to_owned).context(expected(description)),
    )
}

fn is_name(text: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    text.len() <= MAX_NAME_BYTES && text.chars().all(is_allowed)
}

fn number(input: &mut Input<'_>) -> ModalResult<u32> {
    token.verify_map(|text: &str| text.parse().ok()).context(expected("a number")).parse_next(input)
}

fn duration(input: &mut Input<'_>) -> ModalResult<u64> {
    token
        .verify_map(time::duration)
        .context(expected("a length of time such as 250ms, 30s, 20m, 2h or 1d"))
        .parse_next(input)
}

fn timestamp(input: &mut Input<'_>) -> ModalResult<u64> {
    token
        .verify_map(time::timestamp)
        .context(expected("a time such as 2027-01-31T18:30Z"))
        .parse_next(input)
}

fn address(input: &mut Input<'_>) -> ModalResult<SocketAddr> {
    committed(
        token
            .verify_map(|text: &str| text.parse().ok())
            .context(expected("an address such as 127.0.0.1:8080")),
    )
    .parse_next(input)
}

/// Parses a word and the whitespace after it.
fn token<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    terminated(take_while(1.., |c: char| !c.is_whitespace()), whitespace).parse_next(input)
}

fn whitespace(input: &mut Input<'_>) -> ModalResult<()> {
    take_while(0.., char::is_whitespace).void().parse_next(input)
}

fn end_of_statement(input: &mut Input<'_>) -> ModalResult<()> {
    eof.void().context(expected("the end of the statement")).parse_next(input)
}

fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}
