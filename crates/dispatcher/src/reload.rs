//! SIGHUP: both files are read again, and put in force whole or not at all.

use ruddervalve_broker::Pool;

use crate::config::Config;
use crate::dispatcher::Dispatcher;
use crate::{file, variable};

impl Dispatcher {
    /// Reads both files again. What is faulty stays as it was, and is told.
    pub(super) fn reload(&mut self) {
        self.reload_config();
        self.reload_operators();
    }

    fn reload_config(&mut self) {
        match self.put_config() {
            Err(error) => {
                self.counters.count("reloads", "faulty");
                let line = format_args!("configuration stays as it was: {error}");
                self.counters.log(self.clock.now(), line);
            }
            Ok(new) => {
                self.counters.count("reloads", "taken");
                for key in self.config.fixed_keys_changed(&new) {
                    let line = format_args!("configuration: {key} takes effect with the next start");
                    self.counters.log(self.clock.now(), line);
                }
                self.log_observability(&new);
                self.list.follow(new.discovery, &new.network);
                self.config = new;
            }
        }
    }

    /// Reads the configuration again and puts it in force at the broker.
    fn put_config(&self) -> Result<Config, String> {
        let new = self.config.read_again(variable, file).map_err(|error| error.to_string())?;
        let (settings, names) = (new.settings.clone(), new.names.clone());
        self.broker.reconfigure(Pool::PLATFORM, settings, names).map_err(|error| error.to_string())?;
        Ok(new)
    }

    fn reload_operators(&mut self) {
        match self.options.read_again(&self.config, &self.operators, self.gearman.as_deref()) {
            Err(faults) => {
                self.counters.count("operators", "faulty");
                self.counters.log(self.clock.now(), "the operator file in force stays as it was:");
                faults.iter().for_each(|fault| self.counters.log(self.clock.now(), fault));
            }
            Ok((new, notes)) => {
                self.counters.count("operators", "taken");
                notes.iter().for_each(|note| self.counters.log(self.clock.now(), note));
                self.operators = new;
            }
        }
    }

    /// Tells those on call what the dispatcher can learn from under its settings, and what is missing.
    pub(super) fn log_observability(&self, config: &Config) {
        self.counters.log(self.clock.now(), &config.observability.line);
        for what in &config.observability.missing {
            self.counters.log(self.clock.now(), format_args!("warning: {what}"));
        }
    }
}
