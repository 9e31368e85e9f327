//! Checks a chart file and compiles it to a dense table.

use base::derive::Symbol;

use crate::error::{Error, What};
use crate::file::{self, File};

/// What a machine does on one event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step<'a, S, A> {
    /// The next state.
    pub next: S,
    /// The actions to carry out, in order.
    pub actions: &'a [A],
}

/// A compiled chart over states `S`, events `E` and actions `A`.
#[derive(Clone, Debug)]
pub struct Chart<S, E, A> {
    initial: S,
    cells: Vec<Cell<S>>,
    actions: Vec<A>,
    event: std::marker::PhantomData<E>,
}

/// One entry of the table: the next state and a range of actions.
#[derive(Clone, Copy, Debug)]
struct Cell<S> {
    next: S,
    from: usize,
    to: usize,
}

impl<S: Symbol, E: Symbol, A: Symbol> Chart<S, E, A> {
    /// Loads a chart from the text of its file.
    ///
    /// # Errors
    ///
    /// Returns the first fault found in the file.
    pub fn load(text: &str) -> Result<Self, Error> {
        let file = file::parse(text)?;
        check_names::<S>(&file)?;
        let initial = lookup("initial", What::State, &file.initial)?;
        let mut chart = Self {
            initial,
            cells: Vec::with_capacity(S::ALL.len() * E::ALL.len()),
            actions: Vec::new(),
            event: std::marker::PhantomData,
        };
        for state in S::ALL {
            chart.compile_state(&file, *state)?;
        }
        chart.check_reach()?;
        Ok(chart)
    }

    /// Returns the state in which a machine starts.
    #[must_use]
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns what happens to a machine in `state` on `event`.
    #[must_use]
    pub fn step(&self, state: S, event: E) -> Step<'_, S, A> {
        let cell = &self.cells[state.index() * E::ALL.len() + event.index()];
        Step { next: cell.next, actions: &self.actions[cell.from..cell.to] }
    }

    fn compile_state(&mut self, file: &File, state: S) -> Result<(), Error> {
        let source =
            file.states.get(state.name()).ok_or(Error::MissingState { state: state.name() })?;
        let place = format!("states.{}", state.name());
        for name in source.on.keys().chain(&source.ignore) {
            lookup::<E>(&place, What::Event, name)?;
        }
        for event in E::ALL {
            let ignored = source.ignore.iter().any(|name| name == event.name());
            let cell = match source.on.get(event.name()) {
                Some(_) if ignored => {
                    return Err(Error::TwiceEvent { state: state.name(), event: event.name() });
                }
                Some(transition) => self.compile_transition(&place, transition)?,
                None if ignored => Cell { next: state, from: 0, to: 0 },
                None => {
                    return Err(Error::MissingEvent { state: state.name(), event: event.name() });
                }
            };
            self.cells.push(cell);
        }
        Ok(())
    }

    fn compile_transition(
        &mut self,
        place: &str,
        transition: &file::Transition,
    ) -> Result<Cell<S>, Error> {
        let next = lookup(place, What::State, &transition.to)?;
        let from = self.actions.len();
        for name in &transition.actions {
            self.actions.push(lookup(place, What::Action, name)?);
        }
        Ok(Cell { next, from, to: self.actions.len() })
    }

    fn check_reach(&self) -> Result<(), Error> {
        let mut reached = vec![false; S::ALL.len()];
        let mut open = vec![self.initial];
        while let Some(state) = open.pop() {
            if std::mem::replace(&mut reached[state.index()], true) {
                continue;
            }
            open.extend(E::ALL.iter().map(|event| self.step(state, *event).next));
        }
        match S::ALL.iter().find(|state| !reached[state.index()]) {
            Some(state) => Err(Error::Unreachable { state: state.name() }),
            None => Ok(()),
        }
    }
}

fn check_names<S: Symbol>(file: &File) -> Result<(), Error> {
    for name in file.states.keys() {
        lookup::<S>("states", What::State, name)?;
    }
    Ok(())
}

fn lookup<T: Symbol>(place: &str, what: What, name: &str) -> Result<T, Error> {
    T::parse(name).ok_or_else(|| Error::Unknown { place: place.into(), what, name: name.into() })
}
