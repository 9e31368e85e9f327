//! A small deployment on loopback addresses, with store, upstreams and entries as tasks of this
//! process.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use derive_more::{Display, Error, From};
use entry::settings::{Keys, Limits, Listen, Operator, Settings, Source};
use hyper::StatusCode;

use crate::caller;
use crate::store::Store;
use crate::upstream::{Behavior, Upstream};

/// Bearer token of the operator of local deployments.
pub const TOKEN: &str = "local-operator";
/// Name of the only service of a local deployment.
pub const SERVICE: &str = "seal";

/// Size and behavior of a local deployment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of entries.
    pub entries: usize,
    /// Number of upstreams of the active version, spread over the domains.
    pub upstreams: usize,
    /// Number of upstreams of the next version.
    pub next_upstreams: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Behavior of each upstream, apart from its name.
    pub behavior: Behavior,
    /// Limits of each entry.
    pub limits: Limits,
    /// First port. With zero, the system chooses all ports.
    pub port: u16,
}

/// A running deployment.
#[derive(Debug)]
pub struct Local {
    /// The simulated store.
    pub store: Store,
    /// The simulated upstreams, with those of the next version last.
    pub upstreams: Vec<Upstream>,
    /// The entries, which run in this process.
    pub entries: Vec<Entry>,
}

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    /// Addresses that the entry listens on.
    pub listen: Listen,
    /// Handle to the tasks of the entry.
    pub handle: entry::Handle,
}

/// Failure to start or configure a deployment.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// A listener could not be bound.
    #[display("{_0}")]
    Listen(std::io::Error),
    /// An entry could not be started.
    #[display("{_0}")]
    Entry(entry::Fault),
    /// The keys for the links between entries could not be issued.
    #[display("{_0}")]
    Keys(peer::KeyError),
    /// An entry did not respond to an operator's statement.
    #[display("{_0}")]
    Call(store::Error),
    /// An entry did not accept a statement.
    #[display("statement '{statement}' not accepted: status {status}: {body}")]
    #[from(skip)]
    Statement {
        /// Text of the statement.
        statement: String,
        /// Status of the response.
        status: StatusCode,
        /// Body of the response.
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
            behavior: Behavior { cold_calls: 20, ..Behavior::default() },
            limits: Limits { resolve_ttl: Duration::from_millis(500), ..Limits::default() },
            port: 0,
        }
    }
}

impl Local {
    /// Starts a deployment and creates its configuration with operator statements.
    ///
    /// # Errors
    ///
    /// Returns the first failure to start a part or to configure it.
    pub async fn start(plan: &Plan) -> Result<Self, Fault> {
        let mut ports = Ports { next: plan.port };
        let store = Store::start(ports.next_address()).await?;
        let keys = peer::issue(plan.entries)?;
        let mut entries: Vec<Entry> = Vec::new();
        for (number, material) in keys.into_iter().enumerate() {
            // As in an operator's settings, each entry knows the addresses of earlier entries.
            let peers = entries.iter().map(|entry| entry.listen.peers).collect();
            let mut settings = settings(plan, number, store.address, ports.listen(), material);
            settings.peers = peers;
            let handle = entry::start(settings).await?;
            entries.push(Entry { listen: handle.listen, handle });
        }
        let mut local = Self { store, upstreams: Vec::new(), entries };
        local.configure(plan, &mut ports).await?;
        Ok(local)
    }

    /// Submits a statement to the first entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not respond or does not accept the statement.
    pub async fn submit(&self, text: &str) -> Result<(), Fault> {
        let operators = self.entries[0].listen.operators;
        let response = caller::send_statement(operators, TOKEN, text).await?;
        if response.status() == StatusCode::OK {
            return Ok(());
        }
        let body = String::from_utf8_lossy(response.body()).into_owned();
        Err(Fault::Statement { statement: text.into(), status: response.status(), body })
    }

    async fn configure(&mut self, plan: &Plan, ports: &mut Ports) -> Result<(), Fault> {
        for domain in 1..=plan.domains {
            self.submit(&format!("create domain d{domain}")).await?;
        }
        let slots = plan.behavior.slots;
        self.submit(&format!("create service {SERVICE} slots {slots} cold 1 timeout 10s")).await?;
        self.submit(&format!("create route POST / of {SERVICE} once")).await?;
        for version in ["v1", "v2"] {
            self.submit(&format!("create version {version} of {SERVICE}")).await?;
        }
        for number in 0..plan.upstreams + plan.next_upstreams {
            let version = if number < plan.upstreams { "v1" } else { "v2" };
            let name = format!("{version}-{number}");
            let behavior = Behavior { name: name.clone(), ..plan.behavior.clone() };
            let upstream = Upstream::start(ports.next_address(), behavior).await?;
            let domain = number % plan.domains + 1;
            let address = upstream.address;
            self.submit(&format!(
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

/// Allocator of the ports of a deployment.
struct Ports {
    next: u16,
}

impl Ports {
    /// Returns the listen addresses for the next entry.
    fn listen(&mut self) -> Listen {
        Listen {
            callers: self.next_address(),
            operators: self.next_address(),
            peers: self.next_address(),
        }
    }

    /// Returns the next address. Without a first port, the port is zero and the system chooses.
    fn next_address(&mut self) -> SocketAddr {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
        self.next += u16::from(self.next > 0);
        address
    }
}
