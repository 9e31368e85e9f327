//! Validates a chart file and compiles it to a dense transition table.

use base::derive::Symbol;

use crate::error::{Error, Kind};
use crate::file::{self, File};

/// The result of one event: a transition and its actions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step<'a, S, A> {
    /// The state after the event, which may be the same one.
    pub next: S,
    /// The actions to perform, in order.
    pub actions: &'a [A],
}

/// A compiled chart over states `S`, events `E` and actions `A`.
#[derive(Clone, Debug)]
pub struct Chart<S, E, A> {
    initial: S,
    transitions: Vec<Transition<S>>,
    actions: Vec<A>,
    _event: std::marker::PhantomData<E>,
}

/// An entry of the transition table: the next state and a range of `Chart::actions`.
#[derive(Clone, Copy, Debug)]
struct Transition<S> {
    next: S,
    from: usize,
    to: usize,
}

impl<S: Symbol, E: Symbol, A: Symbol> Chart<S, E, A> {
    /// Compiles a chart from the text of its file.
    ///
    /// # Errors
    ///
    /// Returns the first error found in the file.
    pub fn load(text: &str) -> Result<Self, Error> {
        let file = file::parse(text)?;
        check_state_names::<S>(&file)?;
        let initial = lookup("initial", Kind::State, &file.initial)?;
        let mut chart = Self {
            initial,
            transitions: Vec::with_capacity(S::ALL.len() * E::ALL.len()),
            actions: Vec::new(),
            _event: std::marker::PhantomData,
        };
        for state in S::ALL {
            chart.compile_state(&file, *state)?;
        }
        chart.check_reachability()?;
        Ok(chart)
    }

    /// Returns the initial state.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Looks up the transition taken in `state` on `event`.
    #[must_use]
    pub fn step(&self, state: S, event: E) -> Step<'_, S, A> {
        let transition = &self.transitions[state.index() * E::ALL.len() + event.index()];
        Step { next: transition.next, actions: &self.actions[transition.from..transition.to] }
    }

    fn compile_state(&mut self, file: &File, state: S) -> Result<(), Error> {
        let source =
            file.states.get(state.name()).ok_or(Error::MissingState { state: state.name() })?;
        let place = format!("states.{}", state.name());
        for name in source.on.keys().chain(&source.ignore) {
            lookup::<E>(&place, Kind::Event, name)?;
        }
        for event in E::ALL {
            let ignored = source.ignore.iter().any(|name| name == event.name());
            let transition = match source.on.get(event.name()) {
                Some(_) if ignored => {
                    return Err(Error::ConflictingEvent {
                        state: state.name(),
                        event: event.name(),
                    });
                }
                Some(transition) => self.compile_transition(&place, transition)?,
                None if ignored => Transition { next: state, from: 0, to: 0 },
                None => {
                    return Err(Error::MissingEvent { state: state.name(), event: event.name() });
                }
            };
            self.transitions.push(transition);
        }
        Ok(())
    }

    fn compile_transition(
        &mut self,
        place: &str,
        transition: &file::Transition,
    ) -> Result<Transition<S>, Error> {
        let next = lookup(place, Kind::State, &transition.to)?;
        let from = self.actions.len();
        for name in &transition.actions {
            self.actions.push(lookup(place, Kind::Action, name)?);
        }
        Ok(Transition { next, from, to: self.actions.len() })
    }

    fn check_reachability(&self) -> Result<(), Error> {
        let mut reached = vec![false; S::ALL.len()];
        let mut pending = vec![self.initial];
        while let Some(state) = pending.pop() {
            if std::mem::replace(&mut reached[state.index()], true) {
                continue;
            }
            pending.extend(E::ALL.iter().map(|event| self.step(state, *event).next));
        }
        match S::ALL.iter().find(|state| !reached[state.index()]) {
            Some(state) => Err(Error::Unreachable { state: state.name() }),
            None => Ok(()),
        }
    }
}

fn check_state_names<S: Symbol>(file: &File) -> Result<(), Error> {
    for name in file.states.keys() {
        lookup::<S>("states", Kind::State, name)?;
    }
    Ok(())
}

fn lookup<T: Symbol>(place: &str, kind: Kind, name: &str) -> Result<T, Error> {
    T::parse(name).ok_or_else(|| Error::Unknown { place: place.into(), kind, name: name.into() })
}
