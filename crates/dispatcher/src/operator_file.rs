//! The program's options and the operator file that they name.

use std::path::PathBuf;

use clap::Parser;
use ruddervalve_gearman::Gearman;
use ruddervalve_http::RESERVED_DESCRIPTORS;
use ruddervalve_operators::Operators;

use crate::config::Config;

/// Dispatches jobs to execute nodes. ROUTER_CONFIG names the platform's configuration.
#[derive(Debug, Parser)]
#[command(name = "ruddervalve", version)]
pub struct Options {
    /// The operator file, in XML; its schema is crates/operators/operators.xsd
    #[arg(long, value_name = "FILE", env = "RUDDERVALVE_OPERATORS")]
    operators: Option<PathBuf>,
}

/// File descriptors that are left to clients, runners and discovery, whatever else is served.
const PLATFORM_DESCRIPTORS: usize = 64;

impl Options {
    /// Reads the operator file, if there is one, and checks it against the platform's.
    ///
    /// # Errors
    ///
    /// A line for each fault.
    pub fn read(&self, config: &Config) -> Result<Operators, Vec<String>> {
        let Some(path) = &self.operators else { return Ok(Operators::default()) };
        let name = path.display();
        let text = std::fs::read_to_string(path).map_err(|error| vec![format!("{name}: {error}")])?;
        let spare = config.sockets.saturating_sub(RESERVED_DESCRIPTORS + PLATFORM_DESCRIPTORS);
        let check =
            |read: Operators| read.check(&config.names.classes, &config.names.tenants, spare).map(|()| read);
        let line = |fault| format!("{name}: {fault}");
        Operators::read(&text).and_then(check).map_err(|faults| faults.into_iter().map(line).collect())
    }

    /// Reads the operator file again and puts it in force, as far as that can be done while the program runs. Also
    /// returns a line for each setting that takes effect with the next start.
    ///
    /// # Errors
    ///
    /// A line for each fault; nothing of the file is in force then.
    pub fn read_again(
        &self,
        config: &Config,
        old: &Operators,
        gearman: Option<&Gearman>,
    ) -> Result<(Operators, Vec<String>), Vec<String>> {
        let mut new = self.read(config)?;
        let mut notes = Vec::new();
        match (gearman, &mut new.gearman, &old.gearman) {
            (Some(gearman), Some(settings), Some(before)) => {
                gearman
                    .reconfigure(settings, (&config.settings, &config.names))
                    .map_err(|error| vec![format!("gearman: {error}")])?;
                if std::mem::replace(&mut settings.listen, before.listen) != before.listen {
                    notes.push("operator file: gearman listen takes effect with the next start".to_owned());
                }
            }
            (_, now, before) if now.is_some() != before.is_some() => {
                notes.push("operator file: gearman takes effect with the next start".to_owned());
                now.clone_from(before);
            }
            _ => {}
        }
        Ok((new, notes))
    }
}
