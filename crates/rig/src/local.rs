//! A small deployment on loopback addresses: a store, upstreams and entries as tasks.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use derive_more::{Display, Error, From};
use entry::settings::{Keys, Limits, Listen, Operator, Settings, Source};
use hyper::StatusCode;

use crate::caller;
use crate::store::Store;
use crate::upstream::{Behaviour, Upstream};

/// The secret of the operator of local deployments.
pub const TOKEN: &str = "local-operator";
/// The only service of a local deployment.
pub const SERVICE: &str = "seal";

/// What a local deployment consists of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entries.
    pub entries: usize,
    /// Upstreams of the version that serves, spread over the domains.
    pub upstreams: usize,
    /// Upstreams of the next version.
    pub next_upstreams: usize,
    /// Failure domains.
    pub domains: usize,
    /// How each upstream behaves.
    pub behaviour: Behaviour,
    /// Bounds of each entry.
    pub limits: Limits,
    /// First port, or zero for ports that the system chooses.
    pub port: u16,
}

/// A running deployment.
#[derive(Debug)]
pub struct Local {
    /// The store.
    pub store: Store,
    /// Upstreams, those of the next version last.
    pub upstreams: Vec<Upstream>,
    /// Entries.
    pub entries: Vec<Entry>,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// Where it listens.
    pub listen: Listen,
    /// Its tasks.
    pub handle: entry::Handle,
}

/// A deployment that cannot start.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// An address cannot be listened on.
    #[display("{_0}")]
    Listen(std::io::Error),
    /// An entry cannot start.
    #[display("{_0}")]
    Entry(entry::Fault),
    /// Keys cannot be issued.
    #[display("{_0}")]
    Keys(peer::KeyError),
    /// An entry does not answer an operator.
    #[display("{_0}")]
    Call(store::Error),
    /// A statement was not accepted.
    #[display("'{statement}' was answered with {status}: {body}")]
    #[from(skip)]
    Statement {
        /// The statement.
        statement: String,
        /// The status.
        status: StatusCode,
        /// The answer.
        body: String,
    },
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            entries: 4,
            upstreams: 8,
            next_upstreams: 4,
            domains: 4,
            behaviour: Behaviour { cold_calls: 20, ..Behaviour::default() },
            limits: Limits { resolve_ttl: Duration::from_millis(500), ..Limits::default() },
            port: 0,
        }
    }
}

impl Local {
    /// Starts a deployment and creates its configuration by statements.
    ///
    /// # Errors
    ///
    /// Returns the first part that could not be started.
    pub async fn start(plan: &Plan) -> Result<Self, Fault> {
        let mut ports = Ports { next: plan.port };
        let store = Store::start(ports.address()).await?;
        let keys = peer::issue(plan.entries)?;
        let mut entries: Vec<Entry> = Vec::new();
        for (number, material) in keys.into_iter().enumerate() {
            // Each entry knows those before it, as an operator's settings would.
            let known = entries.iter().map(|entry| entry.listen.peers).collect();
            let mut settings = settings(plan, number, store.address, ports.listen(), material);
            settings.peers = known;
            let handle = entry::start(settings).await?;
            entries.push(Entry { listen: handle.listen, handle });
        }
        let mut local = Self { store, upstreams: Vec::new(), entries };
        local.configure(plan, &mut ports).await?;
        Ok(local)
    }

    /// Gives the first entry a statement that has to be accepted.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not.
    pub async fn order(&self, text: &str) -> Result<(), Fault> {
        let operators = self.entries[0].listen.operators;
        let response = caller::statement(operators, TOKEN, text).await?;
        if response.status() == StatusCode::OK {
            return Ok(());
        }
        let body = String::from_utf8_lossy(response.body()).into_owned();
        Err(Fault::Statement { statement: text.into(), status: response.status(), body })
    }

    async fn configure(&mut self, plan: &Plan, ports: &mut Ports) -> Result<(), Fault> {
        for domain in 1..=plan.domains {
            self.order(&format!("create domain d{domain}")).await?;
        }
        let slots = plan.behaviour.slots;
        self.order(&format!("create service {SERVICE} slots {slots} cold 1 timeout 10s")).await?;
        self.order(&format!("create route POST / of {SERVICE} once")).await?;
        for version in ["v1", "v2"] {
            self.order(&format!("create version {version} of {SERVICE}")).await?;
        }
        for number in 0..plan.upstreams + plan.next_upstreams {
            let version = if number < plan.upstreams { "v1" } else { "v2" };
            let name = format!("{version}-{number}");
            let behaviour = Behaviour { name: name.clone(), ..plan.behaviour.clone() };
            let upstream = Upstream::start(ports.address(), behaviour).await?;
            let domain = number % plan.domains + 1;
            let address = upstream.address;
            self.order(&format!(
                "create upstream {name} of {SERVICE} version {version} in d{domain} at {address}"
            ))
            .await?;
            self.upstreams.push(upstream);
        }
        Ok(())
    }
}

fn settings(
    plan: &Plan,
    number: usize,
    store: SocketAddr,
    listen: Listen,
    material: peer::Material,
) -> Settings {
    Settings {
        name: format!("entry-{}", number + 1),
        domain: format!("d{}", number % plan.domains + 1),
        listen,
        store: entry::settings::Store { address: store, timeout: Duration::from_secs(2) },
        peers: Vec::new(),
        keys: Some(Keys {
            authority: Source::Inline(material.authority),
            certificate: Source::Inline(material.certificate),
            key: Source::Inline(material.key),
        }),
        operators: vec![Operator { name: "local".into(), token: TOKEN.into(), commands: true }],
        limits: plan.limits,
        log: log::LevelFilter::Info,
    }
}

/// Ports for a deployment.
struct Ports {
    next: u16,
}

impl Ports {
    /// Returns addresses for an entry.
    fn listen(&mut self) -> Listen {
        Listen { callers: self.address(), operators: self.address(), peers: self.address() }
    }

    /// Returns the next address; with no first port given, the system chooses.
    fn address(&mut self) -> SocketAddr {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
        self.next += u16::from(self.next > 0);
        address
    }
}
