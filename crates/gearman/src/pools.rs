//! Owns how the operator file's functions become pools: for each pool settings and names for decisions of its own, made
//! from the platform's, and for each function what the server needs of it. It must never decide on a job, and gives
//! classes no more rights than the platform's settings do: what must not run twice there must not here.

use std::collections::BTreeMap;
use std::rc::Rc;

use ruddervalve::{ClassSettings, Discovery, Effect, KindId, Names, Reporting, Rules, Settings};
use ruddervalve_broker::Pool;
use ruddervalve_operators::{GearmanClass, GearmanFunction, GearmanSettings};

use crate::jobs::{Function, JobCounts, Priority, StorageLimits};
use crate::server::Limits;

/// Milliseconds for which a result of what must not run twice is kept where the file says nothing.
const RETENTION_MS: f64 = 600_000.0;
/// Milliseconds that a background job may wait and run where the file says nothing of its class.
const BACKGROUND_WAIT_MS: f64 = 600_000.0;
/// What a job of high priority is worth beside others of its class, and how much less one of low priority.
const PRIORITY_FACTOR: f64 = 4.0;
const PRIORITY_FACTORS: [(Priority, f64); 3] =
    [(Priority::Normal, 1.0), (Priority::High, PRIORITY_FACTOR), (Priority::Low, 1.0 / PRIORITY_FACTOR)];
/// Milliseconds after which a client that is turned away is to come back, if clients heed so long a wait.
const RETRY_AFTER_MS: f64 = 250.0;
/// Microseconds that a round may be late.
const TICK_MICROS: u64 = 100;

/// The class in a pool's settings that jobs of a function and priority are of. Background jobs are classes of their
/// own, as they have a time of their own.
pub fn class_name(function: &str, priority: Priority, background: bool) -> String {
    let priority = match priority {
        Priority::High => ";high",
        Priority::Normal => "",
        Priority::Low => ";low",
    };
    format!("{function}{priority}{}", if background { ";background" } else { "" })
}

/// The names of the pools, in the file's order.
pub fn pool_names(gearman: &GearmanSettings) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for function in &gearman.functions {
        if !names.contains(&function.pool) {
            names.push(function.pool.clone());
        }
    }
    names
}

/// A function's class, among the platform's, and what the file says of it.
fn class_of<'a>(
    function: &GearmanFunction,
    gearman: &'a GearmanSettings,
    settings: &'a Settings,
    names: &Names,
) -> Option<(&'a ClassSettings, Option<&'a GearmanClass>)> {
    let index = names.classes.iter().position(|name| *name == function.class)?;
    let stated = gearman.classes.iter().find(|class| class.name == function.class);
    Some((settings.classes.get(index)?, stated))
}

/// How long jobs of a pool's classes are expected to run, until runs are seen: as long as their class is wanted to
/// take.
pub fn expected_runs(
    pool: &str,
    gearman: &GearmanSettings,
    settings: &Settings,
    names: &Names,
) -> Vec<(String, f64)> {
    let functions = gearman.functions.iter().filter(|function| function.pool == pool);
    let of = |function: &GearmanFunction| {
        let aim_ms = class_of(function, gearman, settings, names)?.0.aim.max(1) as f64 / 1e3;
        let priorities = [Priority::Normal, Priority::High, Priority::Low].into_iter();
        let names =
            priorities.flat_map(|priority| [false, true].map(|it| class_name(&function.name, priority, it)));
        Some(names.map(|name| (name, aim_ms)).collect::<Vec<_>>())
    };
    functions.filter_map(of).flatten().collect()
}

fn background_wait_ms(stated: Option<&GearmanClass>) -> f64 {
    stated.map_or(BACKGROUND_WAIT_MS, |class| class.background_wait_ms)
}

fn wait_ms(class: &ClassSettings, stated: Option<&GearmanClass>) -> f64 {
    stated.and_then(|class| class.wait_ms).unwrap_or(class.deadline as f64 / 1e3)
}

/// The settings and names of a pool's decisions. Each function is a kind of worker, as the workers that can do it are
/// the set a job of it can go to, and has a class for each priority.
pub fn pool_settings(
    pool: &str,
    gearman: &GearmanSettings,
    settings: &Settings,
    names: &Names,
) -> (Settings, Names) {
    let (mut classes, mut class_names, mut kinds) = (Vec::new(), Vec::new(), Vec::new());
    for function in gearman.functions.iter().filter(|function| function.pool == pool) {
        let Some((class, stated)) = class_of(function, gearman, settings, names) else { continue };
        let kind = KindId(kinds.len());
        kinds.push(function.name.clone());
        for (name, class) in function_classes(&function.name, kind, class, stated) {
            class_names.push(name);
            classes.push(class);
        }
    }
    let names = Names { classes: class_names, tenants: names.tenants.clone(), zones: Vec::new(), kinds };
    (settings_of_workers(classes, settings), names)
}

/// The classes of a function's jobs, by name: for each priority one with a client that waits, and one in the
/// background.
fn function_classes(
    function: &str,
    kind: KindId,
    class: &ClassSettings,
    stated: Option<&GearmanClass>,
) -> Vec<(String, ClassSettings)> {
    // Workers here drop no repeats: what may be repeated only to some runners may not be repeated.
    let effect = if class.effect == Effect::Safe { Effect::Safe } else { Effect::Unsafe };
    let mut classes = Vec::new();
    for (background, wait_ms) in [(false, wait_ms(class, stated)), (true, background_wait_ms(stated))] {
        // A Gearman caller names no wanted time: an answer within the time it waits is in time.
        let wait = (wait_ms * 1e3) as u64;
        for (priority, factor) in PRIORITY_FACTORS {
            let class = ClassSettings {
                aim: wait,
                aim_stretch: 0.0,
                deadline: wait,
                worth: class.worth * factor,
                effect,
                kind: Some(kind),
                ..class.clone()
            };
            classes.push((class_name(function, priority, background), class));
        }
    }
    classes
}

/// The platform's settings, but for what is otherwise with workers that connect here.
fn settings_of_workers(classes: Vec<ClassSettings>, settings: &Settings) -> Settings {
    Settings {
        // The workers that connect here are this dispatcher's alone, as far as can be known, and of no zone.
        index: 0,
        dispatchers: 1,
        zone: None,
        tick: TICK_MICROS,
        classes,
        // Priorities are classes only here: none of them is to be served for being served worst.
        worst_class_weight: 0.0,
        cross_zone_price: 0.0,
        conn_kept: 0,
        discovery: Discovery::Pushed,
        reporting: Reporting::Answers,
        live_weights: false,
        tells_start: true,
        // A worker is never cold: a connection takes one job at a time.
        rules: Rules { cold_share: 1.0, cold: 0, fall_after: 0, ..settings.rules.clone() },
        limits: ruddervalve::Limits { cancel: true, probes: false, ..settings.limits.clone() },
        ..settings.clone()
    }
}

/// The functions as the server has them. `counts` gives the counts of one that is served already.
pub fn functions(
    gearman: &GearmanSettings,
    settings: &Settings,
    names: &Names,
    pools: &BTreeMap<String, Pool>,
    counts: impl Fn(&[u8]) -> Option<Rc<JobCounts>>,
) -> Vec<Function> {
    let served = |function: &GearmanFunction| {
        let (class, stated) = class_of(function, gearman, settings, names)?;
        let run_once = class.effect != Effect::Safe;
        let usual_retention_ms = if run_once { RETENTION_MS } else { 0.0 };
        let counts = counts(function.name.as_bytes()).unwrap_or_default();
        counts.limit.set(function.queue.unwrap_or(usize::MAX));
        Some(Function {
            name: function.name.clone().into(),
            text: function.name.clone(),
            pool: *pools.get(&function.pool)?,
            tenant: function.tenant.clone(),
            run_once,
            wait_ms: wait_ms(class, stated),
            background_wait_ms: background_wait_ms(stated),
            retention_ms: stated.and_then(|class| class.keep_ms).unwrap_or(usual_retention_ms),
            counts,
        })
    };
    gearman.functions.iter().filter_map(served).collect()
}

/// What bounds the server.
pub fn limits(gearman: &GearmanSettings, settings: &Settings) -> Limits {
    let stated = &gearman.limits;
    Limits {
        unread_bytes: stated.unread_bytes,
        jobs_per_connection: stated.jobs_per_connection,
        storage: StorageLimits {
            jobs: stated.held_jobs,
            results: stated.kept_results,
            bytes: stated.kept_bytes,
        },
        grab_timeout_ms: stated.grab_ms,
        retry_after_ms: RETRY_AFTER_MS.min(settings.limits.max_retry_after as f64 / 1e3),
        shutdown: gearman.shutdown,
    }
}
