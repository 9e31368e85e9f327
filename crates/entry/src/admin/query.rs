//! Answers operators' queries with tables, from the configuration and the dispatcher's state.

use base::derive::Symbol;
use derive_more::{Display, Error};
use model::Config;
use model::object::{Kind, Phase};
use model::query::{Collection, Query};
use serde::Serialize;

use crate::dispatch::State;

/// The result of a query.
#[derive(Debug, Serialize)]
pub struct Table {
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
}

/// The query names an object that does not exist.
#[derive(Debug, Display, Error)]
#[display("there is no {} '{name}'", kind.name())]
pub struct Missing {
    kind: Kind,
    name: String,
}

/// Evaluates a query.
///
/// # Errors
///
/// Returns an error if the query names an object that does not exist.
pub fn evaluate(query: &Query, config: &Config, state: &State) -> Result<Table, Missing> {
    match query {
        Query::Show { collection, service, domain } => {
            let filter = Filter { service: service.as_deref(), domain: domain.as_deref() };
            filter.check(config)?;
            Ok(show(*collection, &filter, config, state))
        }
        Query::WhyUpstream { name } => explain_upstream(name, config, state),
        Query::WhyMove { name } => explain_move(name, config, state),
    }
}

/// Restricts rows to a service, a failure domain, or both.
struct Filter<'a> {
    service: Option<&'a str>,
    domain: Option<&'a str>,
}

impl Filter<'_> {
    fn check(&self, config: &Config) -> Result<(), Missing> {
        let missing = |kind, name: &str| Missing { kind, name: name.into() };
        if let Some(name) = self.service.filter(|name| !config.services.contains_key(*name)) {
            return Err(missing(Kind::Service, name));
        }
        if let Some(name) = self.domain.filter(|name| !config.domains.contains_key(*name)) {
            return Err(missing(Kind::Domain, name));
        }
        Ok(())
    }

    fn matches_service(&self, service: &str) -> bool {
        self.service.is_none_or(|wanted| wanted == service)
    }

    fn matches_domain(&self, domain: &str) -> bool {
        self.domain.is_none_or(|wanted| wanted == domain)
    }
}

fn show(collection: Collection, filter: &Filter<'_>, config: &Config, state: &State) -> Table {
    match collection {
        Collection::Services => services(filter, config, state),
        Collection::Domains => domains(filter, config),
        Collection::Workspaces => workspaces(config),
        Collection::Versions => versions(filter, config),
        Collection::Upstreams => upstreams(filter, config, state),
        Collection::Routes => routes(filter, config),
        Collection::Moves => moves(filter, config, state),
        Collection::History => history(config),
        Collection::Entries => entries(filter, state),
    }
}

fn table(columns: &[&'static str], rows: impl Iterator<Item = Vec<String>>) -> Table {
    Table { columns: columns.to_vec(), rows: rows.collect() }
}

fn services(filter: &Filter<'_>, config: &Config, state: &State) -> Table {
    let rows = config.services.iter().filter(|(name, _)| filter.matches_service(name));
    let rows = rows.map(|(name, service)| {
        let waiting = state.engine.waiting.get(name).copied().unwrap_or(0);
        vec![
            name.clone(),
            service.serving.clone().unwrap_or_default(),
            service.slots.to_string(),
            service.cold.to_string(),
            service.timeout_ms.to_string(),
            waiting.to_string(),
        ]
    });
    table(&["service", "serving", "slots", "cold", "timeout_ms", "waiting"], rows)
}

fn domains(filter: &Filter<'_>, config: &Config) -> Table {
    let rows = config.domains.iter().filter(|(name, _)| filter.matches_domain(name));
    let rows = rows.map(|(name, domain)| {
        let upstreams =
            config.upstreams.values().filter(|upstream| upstream.domain == *name).count();
        let until = domain.until_ms.map(|until| until.to_string()).unwrap_or_default();
        let standing = if domain.withdrawn { "out" } else { "in" };
        vec![name.clone(), standing.into(), until, upstreams.to_string(), domain.rev.to_string()]
    });
    table(&["domain", "standing", "until_ms", "upstreams", "change"], rows)
}

fn workspaces(config: &Config) -> Table {
    let rows = config.workspaces.iter().map(|(name, workspace)| {
        vec![name.clone(), workspace.weight.to_string(), workspace.limit.to_string()]
    });
    table(&["workspace", "weight", "limit"], rows)
}

fn versions(filter: &Filter<'_>, config: &Config) -> Table {
    let rows =
        config.versions.iter().filter(|(_, version)| filter.matches_service(&version.service));
    let rows = rows.map(|(path, version)| {
        let name = path.rsplit('/').next().unwrap_or(path);
        let serving =
            config.services.get(&version.service).and_then(|service| service.serving.as_deref());
        let has_version = |upstream: &&model::object::Upstream| {
            upstream.service == version.service && upstream.version == name
        };
        let upstreams = config.upstreams.values().filter(has_version).count();
        vec![
            name.into(),
            version.service.clone(),
            version.standing.name().into(),
            if serving == Some(name) { "yes" } else { "no" }.into(),
            upstreams.to_string(),
        ]
    });
    table(&["version", "service", "standing", "serving", "upstreams"], rows)
}

fn upstreams(filter: &Filter<'_>, config: &Config, state: &State) -> Table {
    let matches = |upstream: &model::object::Upstream| {
        filter.matches_service(&upstream.service) && filter.matches_domain(&upstream.domain)
    };
    let rows = config.upstreams.iter().filter(|(_, upstream)| matches(upstream));
    let rows = rows.map(|(name, upstream)| {
        let row = state.engine.upstreams.get(name);
        vec![
            name.clone(),
            upstream.service.clone(),
            upstream.version.clone(),
            upstream.domain.clone(),
            upstream.address.to_string(),
            row.map(|row| row.state.name()).unwrap_or_default().into(),
            row.map(|row| row.own.to_string()).unwrap_or_default(),
            row.map(|row| format!("{:.1}", row.load)).unwrap_or_default(),
            row.map(|row| format!("{:.1}", row.service_us / 1_000.0)).unwrap_or_default(),
        ]
    });
    let columns = [
        "upstream",
        "service",
        "version",
        "domain",
        "address",
        "state",
        "own",
        "load",
        "service_ms",
    ];
    table(&columns, rows)
}

fn routes(filter: &Filter<'_>, config: &Config) -> Table {
    let rows = config.routes.values().filter(|route| filter.matches_service(&route.service));
    let rows = rows.map(|route| {
        let kind = if route.idempotent { "idempotent" } else { "once" };
        let method = route.method.clone().unwrap_or_else(|| "any".into());
        vec![route.service.clone(), method, route.prefix.clone(), kind.into()]
    });
    table(&["service", "method", "prefix", "requests"], rows)
}

fn moves(filter: &Filter<'_>, config: &Config, state: &State) -> Table {
    let rows = config.moves.iter().filter(|(_, plan)| filter.matches_service(&plan.service));
    let rows = rows.map(|(name, plan)| {
        vec![
            name.clone(),
            plan.service.clone(),
            plan.from.clone(),
            plan.to.clone(),
            plan.deadline_ms.to_string(),
            plan.phase.name().into(),
            share_percent(name, plan, state),
            plan.reason.clone(),
        ]
    });
    table(&["move", "service", "from", "to", "deadline_ms", "phase", "share", "reason"], rows)
}

/// Returns the new version's share of the traffic in percent.
fn share_percent(name: &str, plan: &model::object::Move, state: &State) -> String {
    let permille = match plan.phase {
        Phase::Done => 1_000,
        Phase::RolledBack => 0,
        Phase::Running | Phase::Paused => state.engine.moves.get(name).map_or(0, |row| row.mille),
    };
    format!("{:.1} %", f64::from(permille) / 10.0)
}

fn history(config: &Config) -> Table {
    let rows = config.history.iter().rev().map(|change| {
        vec![
            change.number.to_string(),
            change.when_ms.to_string(),
            change.who.clone(),
            change.text.clone(),
            change.write.to_string(),
        ]
    });
    table(&["change", "when_ms", "who", "command", "write"], rows)
}

fn entries(filter: &Filter<'_>, state: &State) -> Table {
    let members = state.engine.roster.iter().flat_map(|roster| roster.members.values());
    let rows = members.filter(|member| filter.matches_domain(&member.domain)).map(|member| {
        let row = state.engine.members.get(&member.ident);
        let (standing, in_force) = match row {
            Some(row) => (row.state.name(), row.config),
            None => ("this one", state.engine.number),
        };
        vec![
            member.name.clone(),
            standing.into(),
            in_force.to_string(),
            member.domain.clone(),
            member.caller.to_string(),
            member.peer.to_string(),
        ]
    });
    table(&["entry", "state", "in_force", "domain", "callers", "peers"], rows)
}

fn explain_upstream(name: &str, config: &Config, state: &State) -> Result<Table, Missing> {
    let missing = || Missing { kind: Kind::Upstream, name: name.into() };
    let upstream = config.upstreams.get(name).ok_or_else(missing)?;
    let row = state.engine.upstreams.get(name).ok_or_else(missing)?;
    let mut facts = vec![
        ("state", row.state.name().to_owned()),
        ("calls of this entry", row.own.to_string()),
        ("calls estimated there", format!("{:.1}", row.load)),
        ("owned by this entry", row.owner.to_string()),
    ];
    if state.engine.out.contains(&upstream.domain) {
        facts.push(("gets nothing because", format!("domain {} is out", upstream.domain)));
    }
    let service = config.services.get(&upstream.service);
    if service.is_some_and(|service| service.serving.as_ref() != Some(&upstream.version)) {
        facts.push(("gets little because", "its version does not serve".to_owned()));
    }
    if let Some(allotment) = &row.allotment {
        facts.push(("calls granted at a time", allotment.limit.to_string()));
        facts.push(("grants that are out", allotment.out.len().to_string()));
    }
    Ok(table(&["fact", "value"], facts.into_iter().map(|(fact, value)| vec![fact.into(), value])))
}

fn explain_move(name: &str, config: &Config, state: &State) -> Result<Table, Missing> {
    let missing = || Missing { kind: Kind::Move, name: name.into() };
    let plan = config.moves.get(name).ok_or_else(missing)?;
    let mut facts = vec![
        ("phase", plan.phase.name().to_owned()),
        ("share of the new version", share_percent(name, plan, state)),
        ("deadline_ms", plan.deadline_ms.to_string()),
    ];
    if !plan.reason.is_empty() {
        facts.push(("reason", plan.reason.clone()));
    }
    if let Some(row) = state.engine.moves.get(name) {
        match row.state {
            Some(state) => facts.push(("at the entry that drives it", state.name().to_owned())),
            None => facts.push(("driven by", "another entry".to_owned())),
        }
        if let Some(samples) = row.samples {
            facts.push(("answers weighed", samples.to_string()));
        }
        if let Some(verdict) = row.verdict {
            facts.push(("to be taken back because", verdict.name().to_owned()));
        }
        if row.expects_late == Some(true) {
            facts.push(("warning", "may not be done by its deadline".to_owned()));
        }
    }
    Ok(table(&["fact", "value"], facts.into_iter().map(|(fact, value)| vec![fact.into(), value])))
}
