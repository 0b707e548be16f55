//! The start of a role: settings, identity of this life, logs.

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

use displaydoc::Display;
use ruddervalve_configuration::{Settings, SettingsError};
use ruddervalve_disk::Folder;
use ruddervalve_protocol::{Channel, Greeting, Incarnation, PROTOCOL_VERSION};
use tokio::task::LocalSet;
use tracing_subscriber::EnvFilter;

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "RUDDERVALVE_BOOT";
/// The environment variable that sets what is logged, in the form of `tracing`.
const LOG_VARIABLE: &str = "RUDDERVALVE_LOG";
/// What is logged unless that says otherwise: lines cost processor time.
const DEFAULT_LOG: &str = "info";

/// Why a role cannot start.
#[derive(Debug, Display)]
pub enum BootError {
    /// RUDDERVALVE_BOOT is not set: set it to the path of the settings file
    NoVariable,
    /// {0}
    Settings(SettingsError),
    /// the runtime cannot be started ({0}): check the limits on descriptors and threads
    Runtime(std::io::Error),
}

impl std::error::Error for BootError {}

/// A folder that takes the place of the one that the settings name.
#[derive(Clone)]
struct GivenFolder(Arc<dyn Folder>);

impl fmt::Debug for GivenFolder {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("GivenFolder")
    }
}

/// The settings in force and where they come from.
#[derive(Debug, Clone)]
pub struct Boot {
    /// The settings.
    pub settings: Settings,
    /// This life of the process.
    pub incarnation: Incarnation,
    path: PathBuf,
    folder: Option<GivenFolder>,
}

impl Boot {
    /// Reads the file that [`SETTINGS_VARIABLE`] names.
    ///
    /// # Errors
    /// The variable is not set, or the file is faulty.
    pub fn read() -> Result<Self, BootError> {
        let path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from).ok_or(BootError::NoVariable)?;
        let settings = Settings::read(&path).map_err(BootError::Settings)?;
        Ok(Self { settings, incarnation: draw_incarnation(), path, folder: None })
    }

    /// Settings that were read already, from the file at this path.
    pub fn new(settings: Settings, incarnation: Incarnation, path: PathBuf) -> Self {
        Self { settings, incarnation, path, folder: None }
    }

    /// The same with this folder for the data, in place of `DataDir`.
    #[must_use]
    pub fn with_folder(mut self, folder: Option<Arc<dyn Folder>>) -> Self {
        self.folder = folder.map(GivenFolder);
        self
    }

    /// The folder that takes the place of `DataDir`, if there is one.
    pub(crate) fn given_folder(&self) -> Option<Arc<dyn Folder>> {
        self.folder.as_ref().map(|folder| Arc::clone(&folder.0))
    }

    /// Reads the file again. What is faulty leaves all as it was and is logged. True if something changed.
    pub fn reload(&mut self) -> bool {
        match Settings::read(&self.path) {
            Ok(settings) => {
                let changed = settings != self.settings;
                self.settings = settings;
                changed
            }
            Err(error) => {
                tracing::warn!(%error, "the settings file has changed and is faulty: the old settings stay in force");
                false
            }
        }
    }

    /// How this process greets on connections.
    pub fn greeting(&self, channel: Channel) -> Greeting {
        Greeting {
            version: PROTOCOL_VERSION,
            channel,
            node: self.settings.node.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
        }
    }
}

/// A new life.
pub fn draw_incarnation() -> Incarnation {
    Incarnation(draw_seed())
}

/// 64 random bits of the system.
pub fn draw_seed() -> u64 {
    rand::random()
}

/// Logs go to standard error.
pub fn log_to_stderr() {
    let filter = EnvFilter::try_from_env(LOG_VARIABLE).unwrap_or_else(|_| EnvFilter::new(DEFAULT_LOG));
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    let _ = subscriber.with_ansi(false).with_target(false).try_init();
}

/// Runs a role on one thread until it ends.
///
/// # Errors
/// The runtime cannot be started.
pub fn run_role<T>(role: impl Future<Output = T>) -> Result<T, BootError> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(BootError::Runtime)?;
    Ok(runtime.block_on(LocalSet::new().run_until(role)))
}
