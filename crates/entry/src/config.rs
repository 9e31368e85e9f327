//! The configuration manager: the task that executes commands on the stored configuration.
//!
//! It holds the newest configuration known, passes each newer one to the dispatcher, and replaces
//! the stored object by compare-and-swap. Operators, the synchronizer and peers send messages to
//! it.

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
use crate::dispatch::{Apply, Dispatcher};

/// Maximum number of attempts at a write if each conflicts with another writer.
const MAX_WRITE_ATTEMPTS: u32 = 8;

/// The state of the task.
#[derive(xtra::Actor)]
pub struct Manager<S: Store> {
    store: S,
    dispatcher: Address<Dispatcher>,
    config: Arc<Config>,
}

/// Executes a command.
#[derive(Debug)]
pub struct Execute {
    /// Name of the operator or system that issued it.
    pub who: String,
    /// The command as text, for the history.
    pub text: String,
    /// The command.
    pub command: Command,
    /// Whether to only check that the command would be accepted, without a change.
    pub dry_run: bool,
}

/// Adopts an encoded configuration of the store or a peer if it is newer than the known one.
#[derive(Debug)]
pub struct Adopt(pub Vec<u8>);

/// Returns the newest known configuration as the store encodes it, or `None` if there is none.
#[derive(Debug)]
pub struct GetEncoded;

/// Returns the newest known configuration.
#[derive(Debug)]
pub struct GetConfig;

/// Why a command was not accepted, or may not have been.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The configuration does not allow the command; nothing was changed.
    #[display("{_0}")]
    Refused(Refusal),
    /// Another operator changed the same object at the same time; nothing was changed.
    #[display("change {} by {} came first: {}", _0.number, _0.who, _0.text)]
    #[from(skip)]
    Raced(#[error(not(source))] Change),
    /// Every attempt at the write met a conflict; nothing was changed.
    #[display("others kept changing the configuration")]
    #[from(skip)]
    Busy,
    /// The store failed before the write; nothing was changed.
    #[display("the store failed: {_0}")]
    Store(store::Error),
    /// The store failed during the write, which may have taken effect.
    #[display("the store failed; the change may have been accepted, as write {write}: {cause}")]
    #[from(skip)]
    Unknown {
        /// Identity of the write, which the history shows if it took effect.
        write: u64,
        /// The error of the store.
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
    /// Number of the configuration that it created.
    pub number: u64,
    /// Identity of the write.
    pub write: u64,
}

impl<S: Store> Manager<S> {
    /// Creates the state of the task with an empty configuration.
    pub fn new(store: S, dispatcher: Address<Dispatcher>) -> Self {
        Self { store, dispatcher, config: Arc::new(Config::default()) }
    }

    /// Adopts a configuration if it is newer than the known one, and passes it to the engine.
    async fn adopt(&mut self, config: Config) {
        if config.number <= self.config.number {
            return;
        }
        log::info!("event=config_adopted number={}", config.number);
        self.config = Arc::new(config.clone());
        // The dispatcher outlives this task, so sending fails only when the process ends.
        let _ = self.dispatcher.send(Apply(Input::Config(Box::new(config)))).await;
    }

    /// Returns the stored configuration with the version of its object.
    async fn read(&mut self) -> Result<(Config, u64), Fault> {
        let object = self.store.get(CONFIG).await?;
        let Some(Object { version, bytes }) = object else { return Ok((Config::default(), 0)) };
        Ok((Config::decode(&bytes)?, version))
    }

    /// Applies a command to the stored configuration and retries after conflicts.
    ///
    /// A change of the same object by someone else since the first attempt ends the retries.
    async fn execute(&mut self, execute: &Execute) -> Result<Accepted, Fault> {
        let write: u64 = rand::rng().random();
        let (kind, name) = execute.command.target();
        let mut first_number = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let (config, version) = self.read().await?;
            let base_number = *first_number.get_or_insert(config.number);
            if let Some(change) = conflicting_change(&config, base_number, config.rev(kind, &name))
            {
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

    /// Writes a configuration; returns `None` if another write came first.
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
            Err(store::Error::Conflict { .. }) => Ok(self.find_write(write).await?),
            Err(cause) if cause.is_ambiguous() => match self.find_write(write).await {
                Ok(found) => Ok(found),
                Err(_) => Err(Fault::Unknown { write, cause }),
            },
            Err(cause) => Err(cause.into()),
        }
    }

    /// Reads the store again to find out whether a write has taken effect.
    async fn find_write(&mut self, write: u64) -> Result<Option<Accepted>, Fault> {
        let (config, _) = self.read().await?;
        let found = config.change(write).map(|change| Accepted { number: change.number, write });
        if found.is_some() {
            self.adopt(config).await;
        }
        Ok(found)
    }
}

/// Returns the change of an object that came after configuration `base_number`, if any.
fn conflicting_change(config: &Config, base_number: u64, rev: Option<u64>) -> Option<Change> {
    let rev = rev.filter(|rev| *rev > base_number)?;
    config.history.iter().find(|change| change.number == rev).cloned()
}

impl<S: Store> Handler<Execute> for Manager<S> {
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

impl<S: Store> Handler<Adopt> for Manager<S> {
    type Return = ();

    async fn handle(&mut self, adopt: Adopt, _: &mut Context<Self>) {
        match Config::decode(&adopt.0) {
            Ok(config) => self.adopt(config).await,
            Err(fault) => log::error!("event=config_unreadable error=\"{fault}\""),
        }
    }
}

impl<S: Store> Handler<GetConfig> for Manager<S> {
    type Return = Arc<Config>;

    async fn handle(&mut self, _: GetConfig, _: &mut Context<Self>) -> Arc<Config> {
        Arc::clone(&self.config)
    }
}

impl<S: Store> Handler<GetEncoded> for Manager<S> {
    type Return = Option<Vec<u8>>;

    async fn handle(&mut self, _: GetEncoded, _: &mut Context<Self>) -> Option<Vec<u8>> {
        (self.config.number > 0).then(|| self.config.encode())
    }
}
