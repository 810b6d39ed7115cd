//! The environment that commands and instances run in.

use std::{env, sync::Arc};

use crate::clock::Clock;

type Lookup = dyn Fn(&str) -> Option<String> + Send + Sync;

/// Clock and environment variables, which `main` passes down and tests replace.
#[derive(Clone)]
pub struct Context {
    /// The clock in use.
    pub clock: Clock,
    variable: Arc<Lookup>,
}

impl Context {
    /// Returns the context of the running process.
    pub fn of_process() -> Context {
        Context::new(Clock::system(), |name| env::var(name).ok())
    }

    /// Returns a context with this clock and this lookup of environment variables.
    pub fn new(
        clock: Clock,
        variable: impl Fn(&str) -> Option<String> + Send + Sync + 'static,
    ) -> Context {
        Context { clock, variable: Arc::new(variable) }
    }

    /// Returns the environment variable `name`, if it is set.
    pub fn variable(&self, name: &str) -> Option<String> {
        (self.variable)(name)
    }
}
