//! Limits of clients' connections.

use ruddervalve_configuration::Configuration;
use ruddervalve_runtime::Boot;

use crate::front::FrontLimits;

/// Descriptors that are set aside for files, as the deployment has it, and for stores and coordinators.
const DESCRIPTORS_SET_ASIDE: u64 = 264;

/// The front's limits: the operator's, and what follows from the process's own.
pub(super) fn front_limits(boot: &Boot, configuration: Option<&Configuration>) -> FrontLimits {
    let descriptors = boot.settings.limits.max_open_files.saturating_sub(DESCRIPTORS_SET_ASIDE);
    let default = FrontLimits {
        max_connections: usize::try_from(descriptors / 2).unwrap_or(usize::MAX).max(1),
        ..FrontLimits::default()
    };
    let Some(limits) = configuration.map(Configuration::limits) else {
        return default;
    };
    let size = |bytes: u64| usize::try_from(bytes).unwrap_or(usize::MAX);
    FrontLimits {
        max_header_bytes: size(limits.max_header_bytes),
        max_body_bytes: size(limits.max_body_bytes),
        header_timeout_ms: limits.header_timeout_ms,
        idle_timeout_ms: limits.idle_timeout_ms,
        ..default
    }
}
