//! Applies commands to a configuration. The keeper of the stored configuration calls this for each
//! command that it receives.

use std::collections::BTreeMap;

use crate::command::{Command, Deadline, Field, Origin, Refusal, route_name, version_path};
use crate::config::{Change, Config, MAX_HISTORY};
use crate::object::{
    Domain, Kind, Move, Phase, Route, Service, Standing, Upstream, Version, Workspace,
};

/// Maximum number of slots of an upstream.
const MAX_SLOTS: u64 = 1_024;
/// Maximum time-out of a call, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 600_000;
/// Maximum weight of a workspace.
const MAX_WEIGHT: u64 = 1_000;
/// Maximum number of calls in progress of a workspace at one entry.
const MAX_LIMIT: u64 = 100_000;

impl Config {
    /// Returns the configuration that results from `command`, with its number increased by one.
    ///
    /// # Errors
    ///
    /// Returns the reason why the command cannot be carried out.
    pub fn apply(&self, command: &Command, origin: Origin) -> Result<Self, Refusal> {
        let mut next = self.clone();
        next.number += 1;
        next.change_objects(command, origin.when_ms)?;
        next.history.push(Change {
            number: next.number,
            write: origin.write,
            who: origin.who,
            when_ms: origin.when_ms,
            text: origin.text,
        });
        let surplus = next.history.len().saturating_sub(MAX_HISTORY);
        next.history.drain(..surplus);
        Ok(next)
    }

    fn change_objects(&mut self, command: &Command, now_ms: u64) -> Result<(), Refusal> {
        match command {
            Command::CreateService { name, slots, cold, timeout_ms } => {
                self.create_service(name, *slots, *cold, *timeout_ms)
            }
            Command::CreateDomain { name } => {
                let domain = Domain { withdrawn: false, until_ms: None, rev: self.number };
                insert(&mut self.domains, Kind::Domain, name, domain, |old| old.rev)
            }
            Command::SetWorkspace { name, weight, limit } => {
                self.set_workspace(name, *weight, *limit)
            }
            Command::CreateVersion { name, service } => self.create_version(name, service),
            Command::CreateUpstream { name, service, version, domain, address } => {
                find(&self.versions, Kind::Version, &version_path(service, version))?;
                find(&self.domains, Kind::Domain, domain)?;
                let upstream = Upstream {
                    service: service.clone(),
                    version: version.clone(),
                    domain: domain.clone(),
                    address: *address,
                    rev: self.number,
                };
                insert(&mut self.upstreams, Kind::Upstream, name, upstream, |old| old.rev)
            }
            Command::CreateRoute { service, method, prefix, idempotent } => {
                self.create_route(service, method.as_deref(), prefix, *idempotent)
            }
            Command::Delete { kind, name } => self.delete(*kind, name),
            Command::WithdrawDomain { domain, duration_ms } => {
                self.set_domain(domain, true, duration_ms.map(|duration_ms| now_ms + duration_ms))
            }
            Command::RestoreDomain { domain } => self.set_domain(domain, false, None),
            Command::StartMove { service, from, to, deadline } => {
                self.start_move(service, from, to, *deadline, now_ms)
            }
            Command::SetMove { name, phase, reason } => self.set_move(name, *phase, reason),
            Command::SetStanding { service, version, standing } => {
                self.set_standing(service, version, *standing)
            }
        }
    }

    fn create_service(
        &mut self,
        name: &str,
        slots: Option<u32>,
        cold: Option<u32>,
        timeout_ms: Option<u64>,
    ) -> Result<(), Refusal> {
        let default = Service::default();
        let service = Service {
            slots: slots.unwrap_or(default.slots),
            cold: cold.unwrap_or(default.cold),
            timeout_ms: timeout_ms.unwrap_or(default.timeout_ms),
            serving: None,
            rev: self.number,
        };
        check_range(Field::Slots, u64::from(service.slots), MAX_SLOTS)?;
        check_range(Field::Cold, u64::from(service.cold), u64::from(service.slots))?;
        check_range(Field::Timeout, service.timeout_ms, MAX_TIMEOUT_MS)?;
        insert(&mut self.services, Kind::Service, name, service, |old| old.rev)
    }

    fn set_workspace(
        &mut self,
        name: &str,
        weight: Option<u32>,
        limit: Option<u32>,
    ) -> Result<(), Refusal> {
        let old = self.workspaces.get(name).cloned().unwrap_or_default();
        let weight = weight.unwrap_or(old.weight);
        let limit = limit.unwrap_or(old.limit);
        check_range(Field::Weight, u64::from(weight), MAX_WEIGHT)?;
        check_range(Field::Limit, u64::from(limit), MAX_LIMIT)?;
        self.workspaces.insert(name.into(), Workspace { weight, limit, rev: self.number });
        Ok(())
    }

    fn create_version(&mut self, name: &str, service: &str) -> Result<(), Refusal> {
        find(&self.services, Kind::Service, service)?;
        let version =
            Version { service: service.into(), standing: Standing::Good, rev: self.number };
        insert(&mut self.versions, Kind::Version, &version_path(service, name), version, |old| {
            old.rev
        })?;
        if let Some(service) = self.services.get_mut(service)
            && service.serving.is_none()
        {
            service.serving = Some(name.into());
            service.rev = self.number;
        }
        Ok(())
    }

    fn create_route(
        &mut self,
        service: &str,
        method: Option<&str>,
        prefix: &str,
        idempotent: bool,
    ) -> Result<(), Refusal> {
        find(&self.services, Kind::Service, service)?;
        let name = route_name(service, method, prefix);
        let route = Route {
            service: service.into(),
            method: method.map(Into::into),
            prefix: prefix.into(),
            idempotent,
            rev: self.number,
        };
        insert(&mut self.routes, Kind::Route, &name, route, |old| old.rev)
    }

    fn set_domain(
        &mut self,
        name: &str,
        withdrawn: bool,
        until_ms: Option<u64>,
    ) -> Result<(), Refusal> {
        let rev = self.number;
        let domain = find_mut(&mut self.domains, Kind::Domain, name)?;
        *domain = Domain { withdrawn, until_ms, rev };
        Ok(())
    }

    fn start_move(
        &mut self,
        service: &str,
        from: &str,
        to: &str,
        deadline: Deadline,
        now_ms: u64,
    ) -> Result<(), Refusal> {
        let deadline_ms = match deadline {
            Deadline::Within(duration_ms) => now_ms.saturating_add(duration_ms),
            Deadline::At(time_ms) => time_ms,
        };
        if deadline_ms <= now_ms {
            return Err(Refusal::DeadlinePassed);
        }
        if find(&self.services, Kind::Service, service)?.serving.as_deref() != Some(from) {
            return Err(Refusal::NotServing { service: service.into(), version: from.into() });
        }
        let target = find(&self.versions, Kind::Version, &version_path(service, to))?;
        if target.standing != Standing::Good {
            return Err(Refusal::Ineligible { version: to.into(), standing: target.standing });
        }
        let is_active =
            |(_, plan): &(&String, &Move)| plan.service == service && !plan.phase.is_final();
        if let Some((name, _)) = self.moves.iter().find(is_active) {
            return Err(Refusal::MoveInProgress { service: service.into(), name: name.clone() });
        }
        let plan = Move {
            service: service.into(),
            from: from.into(),
            to: to.into(),
            start_ms: now_ms,
            deadline_ms,
            phase: Phase::Running,
            reason: String::new(),
            rev: self.number,
        };
        self.moves.insert(format!("{service}-{}", self.number), plan);
        Ok(())
    }

    fn set_move(&mut self, name: &str, phase: Phase, reason: &str) -> Result<(), Refusal> {
        let rev = self.number;
        let plan = find_mut(&mut self.moves, Kind::Move, name)?;
        if plan.phase.is_final() {
            return Err(Refusal::MoveEnded { name: name.into(), phase: plan.phase });
        }
        plan.phase = phase;
        plan.reason = reason.into();
        plan.rev = rev;
        let (service, to) = (plan.service.clone(), plan.to.clone());
        if phase == Phase::Done
            && let Some(service) = self.services.get_mut(&service)
        {
            service.serving = Some(to);
            service.rev = rev;
        }
        Ok(())
    }

    fn set_standing(
        &mut self,
        service: &str,
        version: &str,
        standing: Standing,
    ) -> Result<(), Refusal> {
        let rev = self.number;
        let found = find_mut(&mut self.versions, Kind::Version, &version_path(service, version))?;
        if found.standing == Standing::Bad && standing != Standing::Bad {
            return Err(Refusal::Ineligible { version: version.into(), standing: found.standing });
        }
        found.standing = standing;
        found.rev = rev;
        Ok(())
    }

    fn delete(&mut self, kind: Kind, name: &str) -> Result<(), Refusal> {
        if let Some((by, user)) = self.find_user(kind, name) {
            return Err(Refusal::InUse { kind, name: name.into(), by, user });
        }
        let found = match kind {
            Kind::Service => self.services.remove(name).is_some(),
            Kind::Domain => self.domains.remove(name).is_some(),
            Kind::Workspace => self.workspaces.remove(name).is_some(),
            Kind::Version => self.versions.remove(name).is_some(),
            Kind::Upstream => self.upstreams.remove(name).is_some(),
            Kind::Route => self.routes.remove(name).is_some(),
            Kind::Move => self.moves.remove(name).is_some(),
        };
        if found { Ok(()) } else { Err(Refusal::NotFound { kind, name: name.into() }) }
    }

    /// Finds an object that refers to the named one and thus prevents its deletion.
    fn find_user(&self, kind: Kind, name: &str) -> Option<(Kind, String)> {
        match kind {
            Kind::Service => {
                let version = self.versions.iter().find(|(_, version)| version.service == name);
                let route = self.routes.iter().find(|(_, route)| route.service == name);
                version
                    .map(|(user, _)| (Kind::Version, user.clone()))
                    .or_else(|| route.map(|(user, _)| (Kind::Route, user.clone())))
            }
            Kind::Domain => self.find_upstream(|upstream| upstream.domain == name),
            Kind::Version => {
                let plan = self.moves.iter().find(|(_, plan)| {
                    !plan.phase.is_final()
                        && [&plan.from, &plan.to]
                            .iter()
                            .any(|version| version_path(&plan.service, version) == name)
                });
                self.find_upstream(|upstream| {
                    version_path(&upstream.service, &upstream.version) == name
                })
                .or_else(|| plan.map(|(user, _)| (Kind::Move, user.clone())))
                .or_else(|| self.find_serving_service(name))
            }
            Kind::Move => {
                let plan = self.moves.get(name).filter(|plan| !plan.phase.is_final());
                plan.map(|plan| (Kind::Service, plan.service.clone()))
            }
            Kind::Workspace | Kind::Upstream | Kind::Route => None,
        }
    }

    fn find_upstream(&self, predicate: impl Fn(&Upstream) -> bool) -> Option<(Kind, String)> {
        let found = self.upstreams.iter().find(|(_, upstream)| predicate(upstream))?;
        Some((Kind::Upstream, found.0.clone()))
    }

    fn find_serving_service(&self, version: &str) -> Option<(Kind, String)> {
        let serves = |(name, service): &(&String, &Service)| {
            service.serving.as_ref().is_some_and(|serving| version_path(name, serving) == version)
        };
        self.services.iter().find(serves).map(|(name, _)| (Kind::Service, name.clone()))
    }
}

fn check_range(field: Field, found: u64, high: u64) -> Result<(), Refusal> {
    if (1..=high).contains(&found) {
        return Ok(());
    }
    Err(Refusal::OutOfRange { field, low: 1, high, found })
}

fn insert<T>(
    map: &mut BTreeMap<String, T>,
    kind: Kind,
    name: &str,
    value: T,
    rev: impl Fn(&T) -> u64,
) -> Result<(), Refusal> {
    if let Some(old) = map.get(name) {
        return Err(Refusal::AlreadyExists { kind, name: name.into(), rev: rev(old) });
    }
    map.insert(name.into(), value);
    Ok(())
}

fn find<'a, T>(map: &'a BTreeMap<String, T>, kind: Kind, name: &str) -> Result<&'a T, Refusal> {
    map.get(name).ok_or_else(|| Refusal::NotFound { kind, name: name.into() })
}

fn find_mut<'a, T>(
    map: &'a mut BTreeMap<String, T>,
    kind: Kind,
    name: &str,
) -> Result<&'a mut T, Refusal> {
    map.get_mut(name).ok_or_else(|| Refusal::NotFound { kind, name: name.into() })
}
