//! The configuration in the form that a node works with: arenas of objects that refer to each other
//! by `Copy` keys instead of names.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use base::hash::digest;
use base::prelude::*;
use slotmap::{Key, SlotMap};

use crate::command::version_path;
use crate::config::Config;
use crate::object::{self, Phase, Standing};

record! {
    /// A service with its references resolved.
    pub struct Service {
        /// Name of the service.
        pub name: String,
        /// Identity that is the same on every node.
        pub ident: u64,
        /// Concurrent calls that each upstream runs.
        pub slots: u32,
        /// Concurrent calls that a cold upstream can take from all entries together.
        pub cold: u32,
        /// Time-out of a call.
        pub timeout: Span,
        /// Version that gets the traffic, except for the share of a move in progress.
        pub serving: Option<key::Version>,
        /// All versions of the service.
        pub versions: Vec<key::Version>,
        /// All routes of the service, the one with the longest prefix first.
        pub routes: Vec<key::Route>,
        /// Move in progress, if there is one.
        pub active_move: Option<key::Move>,
    }

    /// A version with its references resolved.
    pub struct Version {
        /// Name of the version, unique within the service.
        pub name: String,
        /// Identity that is the same on every node.
        pub ident: u64,
        /// Service of the version.
        pub service: key::Service,
        /// Whether the version may get traffic.
        pub standing: Standing,
        /// All upstreams that run the version.
        pub upstreams: Vec<key::Upstream>,
    }

    /// An upstream with its references resolved.
    pub struct Upstream {
        /// Name of the upstream.
        pub name: String,
        /// Identity that is the same on every node and changes with the address.
        pub ident: u64,
        /// Service that the upstream runs.
        pub service: key::Service,
        /// Version that it runs.
        pub version: key::Version,
        /// Failure domain that it runs in.
        pub domain: key::Domain,
        /// Address that it listens on.
        pub address: SocketAddr,
    }

    /// A failure domain.
    pub struct Domain {
        /// Name of the failure domain.
        pub name: String,
        /// Whether operators have withdrawn it.
        pub withdrawn: bool,
        /// Unix time in milliseconds at which the withdrawal ends; unlimited if absent.
        pub until_ms: Option<u64>,
    }

    /// A workspace and its limits.
    pub struct Workspace {
        /// Name of the workspace.
        pub name: String,
        /// Share relative to other workspaces when calls have to wait.
        pub weight: u32,
        /// Maximum number of calls in progress at one entry.
        pub limit: u32,
    }

    /// A route with its references resolved.
    pub struct Route {
        /// Name of the route.
        pub name: String,
        /// Identity that is the same on every node.
        pub ident: u64,
        /// Service that gets the requests.
        pub service: key::Service,
        /// Method of the requests; any if absent.
        pub method: Option<String>,
        /// Prefix of the path.
        pub prefix: String,
        /// Whether a request may be executed more than once.
        pub idempotent: bool,
    }

    /// A move with its references resolved.
    pub struct Move {
        /// Name of the move.
        pub name: String,
        /// Identity that is the same on every node.
        pub ident: u64,
        /// Service whose traffic moves.
        pub service: key::Service,
        /// Version that serves the traffic before the move.
        pub from: key::Version,
        /// Version that serves the traffic after the move.
        pub to: key::Version,
        /// Unix time in milliseconds at which the command was accepted.
        pub start_ms: u64,
        /// Unix time in milliseconds by which the move has to be complete.
        pub deadline_ms: u64,
        /// Progress of the move.
        pub phase: Phase,
    }
}

/// The resolved configuration of a node.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Number of the configuration in force.
    pub number: u64,
    /// Services.
    pub services: SlotMap<key::Service, Service>,
    /// Failure domains.
    pub domains: SlotMap<key::Domain, Domain>,
    /// Workspaces.
    pub workspaces: SlotMap<key::Workspace, Workspace>,
    /// Versions.
    pub versions: SlotMap<key::Version, Version>,
    /// Upstreams.
    pub upstreams: SlotMap<key::Upstream, Upstream>,
    /// Routes.
    pub routes: SlotMap<key::Route, Route>,
    /// Moves.
    pub moves: SlotMap<key::Move, Move>,
    names: Names,
}

/// Indices from names and identities to keys.
#[derive(Clone, Debug, Default)]
struct Names {
    services: BTreeMap<String, key::Service>,
    domains: BTreeMap<String, key::Domain>,
    workspaces: BTreeMap<String, key::Workspace>,
    versions: BTreeMap<String, key::Version>,
    upstreams: BTreeMap<String, key::Upstream>,
    upstream_idents: BTreeMap<u64, key::Upstream>,
    routes: BTreeMap<String, key::Route>,
    moves: BTreeMap<String, key::Move>,
}

/// Upstreams that a new configuration added or removed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
    /// Keys of new upstreams.
    pub added: Vec<key::Upstream>,
    /// Keys of removed upstreams, which are no longer valid.
    pub removed: Vec<key::Upstream>,
}

impl Catalog {
    /// Replaces the configuration in force, unless its number is the same or greater.
    ///
    /// Returns `None` if `config` is not newer. Objects that exist in both keep their keys.
    pub fn adopt(&mut self, config: &Config) -> Option<Delta> {
        if config.number <= self.number {
            return None;
        }
        self.number = config.number;
        self.adopt_domains_and_workspaces(config);
        self.adopt_services(config);
        self.adopt_versions(config);
        let delta = self.adopt_upstreams(config);
        self.adopt_routes(config);
        self.adopt_moves(config);
        self.link_references();
        Some(delta)
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<key::Service> {
        self.names.services.get(name).copied()
    }

    /// Finds a failure domain by name.
    #[must_use]
    pub fn domain(&self, name: &str) -> Option<key::Domain> {
        self.names.domains.get(name).copied()
    }

    /// Finds a workspace by name.
    #[must_use]
    pub fn workspace(&self, name: &str) -> Option<key::Workspace> {
        self.names.workspaces.get(name).copied()
    }

    /// Finds an upstream by name.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<key::Upstream> {
        let found = self.upstreams.iter().find(|(_, upstream)| upstream.name == name)?;
        Some(found.0)
    }

    /// Finds an upstream by its identity, which is the same on every node.
    #[must_use]
    pub fn upstream_by_ident(&self, ident: u64) -> Option<key::Upstream> {
        self.names.upstream_idents.get(&ident).copied()
    }

    /// Finds a move by its identity, which is the same on every node.
    #[must_use]
    pub fn move_by_ident(&self, ident: u64) -> Option<key::Move> {
        let found = self.moves.iter().find(|(_, plan)| plan.ident == ident)?;
        Some(found.0)
    }

    /// Finds the route of a request by its method and path.
    #[must_use]
    pub fn route(&self, service: key::Service, method: &str, path: &str) -> Option<key::Route> {
        let routes = &self.services.get(service)?.routes;
        routes.iter().copied().find(|key| {
            let route = &self.routes[*key];
            let method_matches = route.method.as_deref().is_none_or(|wanted| wanted == method);
            method_matches && path.starts_with(&route.prefix)
        })
    }

    /// Returns whether a failure domain is withdrawn at `now_ms` in Unix time.
    ///
    /// An unknown domain counts as withdrawn.
    #[must_use]
    pub fn is_withdrawn(&self, domain: key::Domain, now_ms: u64) -> bool {
        let Some(domain) = self.domains.get(domain) else {
            return true;
        };
        domain.withdrawn && domain.until_ms.is_none_or(|until| now_ms < until)
    }

    fn adopt_domains_and_workspaces(&mut self, config: &Config) {
        let domains = config.domains.iter().map(|(name, domain)| {
            let object::Domain { withdrawn, until_ms, .. } = *domain;
            (name.clone(), Domain { name: name.clone(), withdrawn, until_ms })
        });
        sync(&mut self.domains, &mut self.names.domains, domains);
        let workspaces = config.workspaces.iter().map(|(name, workspace)| {
            let object::Workspace { weight, limit, .. } = *workspace;
            (name.clone(), Workspace { name: name.clone(), weight, limit })
        });
        sync(&mut self.workspaces, &mut self.names.workspaces, workspaces);
    }

    fn adopt_services(&mut self, config: &Config) {
        let services = config.services.iter().map(|(name, service)| {
            let resolved = Service {
                name: name.clone(),
                ident: digest(&[b"service", name.as_bytes()]),
                slots: service.slots,
                cold: service.cold,
                timeout: Span::millis(service.timeout_ms),
                serving: None,
                versions: Vec::new(),
                routes: Vec::new(),
                active_move: None,
            };
            (name.clone(), resolved)
        });
        sync(&mut self.services, &mut self.names.services, services);
    }

    fn adopt_versions(&mut self, config: &Config) {
        let names = &self.names.services;
        let versions = config.versions.iter().filter_map(|(name, version)| {
            let resolved = Version {
                name: name.rsplit('/').next().unwrap_or(name).into(),
                ident: digest(&[b"version", name.as_bytes()]),
                service: *names.get(&version.service)?,
                standing: version.standing,
                upstreams: Vec::new(),
            };
            Some((name.clone(), resolved))
        });
        sync(&mut self.versions, &mut self.names.versions, versions);
    }

    fn adopt_upstreams(&mut self, config: &Config) -> Delta {
        let names = &self.names;
        let upstreams = config.upstreams.iter().filter_map(|(name, upstream)| {
            let address = upstream.address.to_string();
            let resolved = Upstream {
                name: name.clone(),
                ident: digest(&[b"upstream", name.as_bytes(), address.as_bytes()]),
                service: *names.services.get(&upstream.service)?,
                version: *names
                    .versions
                    .get(&version_path(&upstream.service, &upstream.version))?,
                domain: *names.domains.get(&upstream.domain)?,
                address: upstream.address,
            };
            Some((format!("{name}@{address}"), resolved))
        });
        let upstreams: Vec<_> = upstreams.collect();
        let delta =
            sync(&mut self.upstreams, &mut self.names.upstreams, upstreams.into_iter()).into();
        let idents = self.upstreams.iter().map(|(key, upstream)| (upstream.ident, key));
        self.names.upstream_idents = idents.collect();
        delta
    }

    fn adopt_routes(&mut self, config: &Config) {
        let names = &self.names.services;
        let routes = config.routes.iter().filter_map(|(name, route)| {
            let resolved = Route {
                name: name.clone(),
                ident: digest(&[b"route", name.as_bytes()]),
                service: *names.get(&route.service)?,
                method: route.method.clone(),
                prefix: route.prefix.clone(),
                idempotent: route.idempotent,
            };
            Some((name.clone(), resolved))
        });
        sync(&mut self.routes, &mut self.names.routes, routes);
    }

    fn adopt_moves(&mut self, config: &Config) {
        let names = &self.names;
        let moves = config.moves.iter().filter_map(|(name, plan)| {
            let version = |version: &str| names.versions.get(&version_path(&plan.service, version));
            let resolved = Move {
                name: name.clone(),
                ident: digest(&[b"move", name.as_bytes()]),
                service: *names.services.get(&plan.service)?,
                from: *version(&plan.from)?,
                to: *version(&plan.to)?,
                start_ms: plan.start_ms,
                deadline_ms: plan.deadline_ms,
                phase: plan.phase,
            };
            Some((name.clone(), resolved))
        });
        let moves: Vec<_> = moves.collect();
        sync(&mut self.moves, &mut self.names.moves, moves.into_iter());
        for (name, service) in &config.services {
            let serving = service.serving.as_ref();
            let version = serving.and_then(|version| resolve_version(&self.names, name, version));
            if let Some(key) = self.names.services.get(name) {
                self.services[*key].serving = version;
            }
        }
    }

    /// Fills the lists of objects that refer to a service or a version.
    fn link_references(&mut self) {
        for (key, upstream) in &self.upstreams {
            self.versions[upstream.version].upstreams.push(key);
        }
        for (key, version) in &self.versions {
            self.services[version.service].versions.push(key);
        }
        for (key, route) in &self.routes {
            self.services[route.service].routes.push(key);
        }
        for (key, plan) in &self.moves {
            if !plan.phase.is_final() {
                self.services[plan.service].active_move = Some(key);
            }
        }
        let routes = &self.routes;
        let precedence = |key: &key::Route| {
            let route = &routes[*key];
            (std::cmp::Reverse(route.prefix.len()), route.method.is_none(), route.ident)
        };
        for service in self.services.values_mut() {
            service.routes.sort_by_key(precedence);
        }
    }
}

fn resolve_version(names: &Names, service: &str, version: &str) -> Option<key::Version> {
    names.versions.get(&version_path(service, version)).copied()
}

/// Updates an arena to hold exactly the wanted values. Names that it already has keep their keys.
fn sync<K: Key, T>(
    arena: &mut SlotMap<K, T>,
    names: &mut BTreeMap<String, K>,
    wanted: impl Iterator<Item = (String, T)>,
) -> KeyDelta<K> {
    let mut delta = KeyDelta { added: Vec::new(), removed: Vec::new() };
    let mut old = std::mem::take(names);
    for (name, value) in wanted {
        let key = match old.remove(&name) {
            Some(key) => {
                arena[key] = value;
                key
            }
            None => {
                let key = arena.insert(value);
                delta.added.push(key);
                key
            }
        };
        names.insert(name, key);
    }
    for key in old.into_values() {
        arena.remove(key);
        delta.removed.push(key);
    }
    delta
}

/// Keys that were added to or removed from an arena.
struct KeyDelta<K> {
    added: Vec<K>,
    removed: Vec<K>,
}

impl From<KeyDelta<key::Upstream>> for Delta {
    fn from(delta: KeyDelta<key::Upstream>) -> Self {
        Self { added: delta.added, removed: delta.removed }
    }
}
