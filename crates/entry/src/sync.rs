//! The task that synchronizes the entry with the store.
//!
//! On request of the dispatcher it reads the roster, the configuration and the platform's list of
//! instances, and writes proposed rosters. It also passes commands of the engine to the
//! configuration manager.

use model::Command;
use model::document;
use model::instance::{self, Instances};
use policy::engine::Input;
use policy::roster::{Roster, SCHEMA};
use rand::RngExt;
use store::{CONFIG, Error, INSTANCES, Put, ROSTER, Store};
use xtra::prelude::*;

use crate::clock::Clock;
use crate::config::{Adopt, Execute, Manager};
use crate::dispatch::{Apply, Dispatcher};

/// The author that the history shows for commands of the engine.
const ENGINE_AUTHOR: &str = "nutmegwharf";

/// The state of the task, with the version of each object that was read last.
#[derive(xtra::Actor)]
pub struct Synchronizer<S: Store> {
    store: S,
    clock: Clock,
    dispatcher: Address<Dispatcher>,
    config_manager: Address<Manager<S>>,
    roster: Roster,
    roster_version: u64,
    config_version: u64,
    instances_version: u64,
}

/// Reads from the store what has changed and confirms the roster.
#[derive(Debug)]
pub struct Confirm;

/// Writes a roster if its number follows that of the stored one.
#[derive(Debug)]
pub struct Propose(pub Roster);

/// Executes a command that the engine decided on.
#[derive(Debug)]
pub struct Submit {
    /// The command.
    pub command: Command,
    /// The command as text with its reason, for the history.
    pub text: String,
}

impl<S: Store> Synchronizer<S> {
    /// Creates the state of the task; nothing has been read yet.
    pub fn new(
        store: S,
        clock: Clock,
        dispatcher: Address<Dispatcher>,
        config_manager: Address<Manager<S>>,
    ) -> Self {
        Self {
            store,
            clock,
            dispatcher,
            config_manager,
            roster: Roster::default(),
            roster_version: 0,
            config_version: 0,
            instances_version: 0,
        }
    }

    /// Reads the versions of all objects in one call, and then only the objects that have changed.
    async fn confirm(&mut self) -> Result<(), Error> {
        let asked_at = self.clock.moment();
        let versions = self.store.list("").await?;
        let version = |name: &str| {
            versions.iter().find(|(listed, _)| listed == name).map_or(0, |(_, version)| *version)
        };
        let (roster, config) = (version(ROSTER), version(CONFIG));
        let instances = version(INSTANCES);
        if roster > self.roster_version {
            self.read_roster().await?;
        }
        // The roster was current at `asked_at`; a newer one may have been written since.
        let input = Input::Roster { asked_at, roster: self.roster.clone() };
        let _ = self.dispatcher.send(Apply(input)).await;
        if config > self.config_version {
            self.read_config().await?;
        }
        if instances > self.instances_version {
            self.read_instances().await?;
        }
        Ok(())
    }

    /// Reads the platform's list of instances and reports which upstreams are being drained.
    async fn read_instances(&mut self) -> Result<(), Error> {
        let Some(object) = self.store.get(INSTANCES).await? else { return Ok(()) };
        match document::decode::<Instances>(&object.bytes, instance::SCHEMA) {
            Ok(instances) => {
                self.instances_version = object.version;
                let _ =
                    self.dispatcher.send(Apply(Input::DrainAddresses(instances.leaving()))).await;
            }
            Err(fault) => log::error!("event=instances_unreadable error=\"{fault}\""),
        }
        Ok(())
    }

    async fn read_roster(&mut self) -> Result<(), Error> {
        let Some(object) = self.store.get(ROSTER).await? else { return Ok(()) };
        match document::decode::<Roster>(&object.bytes, SCHEMA) {
            Ok(roster) => {
                self.roster = roster;
                self.roster_version = object.version;
            }
            Err(fault) => log::error!("event=roster_unreadable error=\"{fault}\""),
        }
        Ok(())
    }

    async fn read_config(&mut self) -> Result<(), Error> {
        let Some(object) = self.store.get(CONFIG).await? else { return Ok(()) };
        self.config_version = object.version;
        let _ = self.config_manager.send(Adopt(object.bytes)).await;
        Ok(())
    }

    /// Writes a roster, unless another one was stored since it was proposed.
    async fn propose(&mut self, next: Roster) -> Result<(), Error> {
        self.read_roster().await?;
        if self.roster.number + 1 != next.number {
            return Ok(());
        }
        let put = Put {
            name: ROSTER.into(),
            expected: self.roster_version,
            write: rand::rng().random(),
            bytes: serde_json::to_vec(&next).unwrap_or_default(),
        };
        match self.store.put(put).await {
            Ok(_) => {
                log::info!("event=roster_written number={}", next.number);
                Ok(())
            }
            // Another member has written first; `confirm`, which follows, reads its roster.
            Err(Error::Conflict { .. }) => Ok(()),
            Err(error) => Err(error),
        }
    }
}

impl<S: Store> Handler<Confirm> for Synchronizer<S> {
    type Return = ();

    async fn handle(&mut self, _: Confirm, _: &mut Context<Self>) {
        if let Err(error) = self.confirm().await {
            log::warn!("event=roster_not_confirmed error=\"{error}\"");
        }
    }
}

impl<S: Store> Handler<Propose> for Synchronizer<S> {
    type Return = ();

    async fn handle(&mut self, propose: Propose, _: &mut Context<Self>) {
        let proposed = self.propose(propose.0).await;
        let confirmed = match proposed {
            Ok(()) => self.confirm().await,
            Err(error) => Err(error),
        };
        if let Err(error) = confirmed {
            log::warn!("event=roster_not_written error=\"{error}\"");
        }
    }
}

impl<S: Store> Handler<Submit> for Synchronizer<S> {
    type Return = ();

    async fn handle(&mut self, submit: Submit, _: &mut Context<Self>) {
        let Submit { command, text } = submit;
        let execute = Execute { who: ENGINE_AUTHOR.into(), text, command, dry_run: false };
        // The manager logs the result. The engine submits the command again until it is in force.
        let _ = self.config_manager.send(execute).await;
    }
}
