//! The task that changes the configuration in the store.

use std::sync::Arc;

use derive_more::{Display, Error, From};
use model::command::{Command, Origin, Refusal};
use model::config::{Change, Config};
use model::document;
use policy::engine::Input;
use rand::RngExt;
use serde::Serialize;
use store::{CONFIG, Object, Put, Store};
use xtra::prelude::*;

use crate::clock::unix_ms;
use crate::steer::{Feed, Steer};

/// Tries at a write that loses against others.
const MOST_TRIES: u32 = 8;

/// The task's state.
#[derive(xtra::Actor)]
pub struct Keeper<S: Store> {
    store: S,
    steer: Address<Steer>,
    config: Arc<Config>,
}

/// Carries out a command.
#[derive(Debug)]
pub struct Execute {
    /// Who orders it.
    pub who: String,
    /// The command as given.
    pub text: String,
    /// The command.
    pub command: Command,
    /// Whether to change nothing and only tell whether it would be accepted.
    pub dry_run: bool,
}

/// Takes in an object that the store or a peer has.
#[derive(Debug)]
pub struct Seen(pub Vec<u8>);

/// Asks for the newest configuration known, in the form in which the store holds it.
#[derive(Debug)]
pub struct Encoded;

/// Asks for the newest configuration known.
#[derive(Debug)]
pub struct Current;

/// Why a command was not accepted, or not certainly.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The command does not fit the configuration; nothing was changed.
    #[display("{_0}")]
    Refused(Refusal),
    /// Another operator changed the same object at the same time; nothing was changed.
    #[display("change {} by {} came first: {}", _0.number, _0.who, _0.text)]
    #[from(skip)]
    Raced(#[error(not(source))] Change),
    /// Others kept changing the configuration; nothing was changed.
    #[display("others kept changing the configuration")]
    #[from(skip)]
    Busy,
    /// The store failed before the write; nothing was changed.
    #[display("the store failed: {_0}")]
    Store(store::Error),
    /// The store failed within the write, which may have taken effect.
    #[display("the store failed; the change may have been accepted, as write {write}: {cause}")]
    #[from(skip)]
    Unknown {
        /// Identity of the write, by which the history shows it.
        write: u64,
        /// The failure.
        #[error(source)]
        cause: store::Error,
    },
    /// The stored configuration cannot be read.
    #[display("the stored configuration: {_0}")]
    Document(document::Fault),
}

/// An accepted command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Accepted {
    /// The number that it gave the configuration.
    pub number: u64,
    /// Identity of the write.
    pub write: u64,
}

impl<S: Store> Keeper<S> {
    /// Makes the task's state.
    pub fn new(store: S, steer: Address<Steer>) -> Self {
        Self { store, steer, config: Arc::new(Config::default()) }
    }

    /// Takes over a configuration if it is newer than the one known.
    async fn adopt(&mut self, config: Config) {
        if config.number <= self.config.number {
            return;
        }
        log::info!("event=config_adopted number={}", config.number);
        self.config = Arc::new(config.clone());
        // The decisions outlive the keeper, so this fails only when the process ends.
        let _ = self.steer.send(Feed(Input::Config(Box::new(config)))).await;
    }

    async fn read(&mut self) -> Result<(Config, u64), Fault> {
        let object = self.store.get(CONFIG).await?;
        let Some(Object { version, bytes }) = object else { return Ok((Config::default(), 0)) };
        Ok((Config::decode(&bytes)?, version))
    }

    async fn execute(&mut self, execute: &Execute) -> Result<Accepted, Fault> {
        let write: u64 = rand::rng().random();
        let (kind, name) = execute.command.target();
        let mut base = None;
        for _ in 0..MOST_TRIES {
            let (config, version) = self.read().await?;
            let base = *base.get_or_insert(config.number);
            if let Some(change) = raced(&config, base, config.rev(kind, &name)) {
                return Err(Fault::Raced(change));
            }
            let origin = Origin {
                who: execute.who.clone(),
                when_ms: unix_ms(),
                write,
                text: execute.text.clone(),
            };
            let next = config.apply(&execute.command, origin)?;
            let accepted = Accepted { number: next.number, write };
            if execute.dry_run {
                return Ok(accepted);
            }
            if let Some(accepted) = self.write(version, next, write).await? {
                return Ok(accepted);
            }
        }
        Err(Fault::Busy)
    }

    /// Writes a configuration; returns nothing if another write came first.
    async fn write(
        &mut self,
        expected: u64,
        next: Config,
        write: u64,
    ) -> Result<Option<Accepted>, Fault> {
        let number = next.number;
        let put = Put { name: CONFIG.into(), expected, write, bytes: next.encode() };
        match self.store.put(put).await {
            Ok(_) => {
                self.adopt(next).await;
                Ok(Some(Accepted { number, write }))
            }
            Err(store::Error::Conflict { .. }) => Ok(self.recognise(write).await?),
            Err(cause) if cause.is_ambiguous() => match self.recognise(write).await {
                Ok(found) => Ok(found),
                Err(_) => Err(Fault::Unknown { write, cause }),
            },
            Err(cause) => Err(cause.into()),
        }
    }

    /// Reads the store again to see whether a write has taken effect.
    async fn recognise(&mut self, write: u64) -> Result<Option<Accepted>, Fault> {
        let (config, _) = self.read().await?;
        let found = config.change(write).map(|change| Accepted { number: change.number, write });
        if found.is_some() {
            self.adopt(config).await;
        }
        Ok(found)
    }
}

/// Finds the change of an object that came after `base`.
fn raced(config: &Config, base: u64, rev: Option<u64>) -> Option<Change> {
    let rev = rev.filter(|rev| *rev > base)?;
    config.history.iter().find(|change| change.number == rev).cloned()
}

impl<S: Store> Handler<Execute> for Keeper<S> {
    type Return = Result<Accepted, Fault>;

    async fn handle(&mut self, execute: Execute, _: &mut Context<Self>) -> Self::Return {
        let result = self.execute(&execute).await;
        match &result {
            Ok(accepted) => log::info!(
                "event=command_accepted number={} who={} text=\"{}\"",
                accepted.number,
                execute.who,
                execute.text
            ),
            Err(fault) => log::warn!(
                "event=command_not_accepted who={} text=\"{}\" error=\"{fault}\"",
                execute.who,
                execute.text
            ),
        }
        result
    }
}

impl<S: Store> Handler<Seen> for Keeper<S> {
    type Return = ();

    async fn handle(&mut self, seen: Seen, _: &mut Context<Self>) {
        match Config::decode(&seen.0) {
            Ok(config) => self.adopt(config).await,
            Err(fault) => log::error!("event=config_unreadable error=\"{fault}\""),
        }
    }
}

impl<S: Store> Handler<Current> for Keeper<S> {
    type Return = Arc<Config>;

    async fn handle(&mut self, _: Current, _: &mut Context<Self>) -> Arc<Config> {
        Arc::clone(&self.config)
    }
}

impl<S: Store> Handler<Encoded> for Keeper<S> {
    type Return = Option<Vec<u8>>;

    async fn handle(&mut self, _: Encoded, _: &mut Context<Self>) -> Option<Vec<u8>> {
        (self.config.number > 0).then(|| self.config.encode())
    }
}
