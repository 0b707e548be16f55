//! Owns how the operator file's functions become pools: for each pool settings and names for decisions of its own, made
//! from the platform's, and for each function what the server is told. It must never decide on a job, and gives classes no
//! more rights than the platform's settings do: what must not run twice there must not here.

use std::collections::BTreeMap;
use std::rc::Rc;

use ruddervalve::{ClassSettings, Discovery, Effect, KindId, Names, Reporting, Rules, Settings};
use ruddervalve_broker::Pool;
use ruddervalve_operators::{Gearman, GearmanClass, GearmanFunction};

use crate::jobs::{Bounds, Function, Priority, Tally};
use crate::server::Limits;

/// A result of what must not run twice is kept for so long where the file says nothing.
const KEEP_MS: f64 = 600_000.0;
/// A background job may wait and run for so long where nothing is told of its class.
const BACKGROUND_WAIT_MS: f64 = 600_000.0;
/// What a job of high priority is worth beside others of its class, and how much less one of low priority.
const PRIORITY: f64 = 4.0;
/// A client that is turned away at the door is told to come back so soon, or as soon as is heeded.
const COME_BACK_MS: f64 = 250.0;
/// A tenth of a millisecond: what a round may be late.
const TICK: u64 = 100;

/// The class in a pool's settings that jobs of a function and priority are of. Background jobs are classes of their own,
/// as they have a time of their own.
pub fn class_name(function: &str, priority: Priority, background: bool) -> String {
    let priority = match priority {
        Priority::High => ";high",
        Priority::Normal => "",
        Priority::Low => ";low",
    };
    format!("{function}{priority}{}", if background { ";background" } else { "" })
}

/// The names of the pools, in the file's order.
pub fn pool_names(gearman: &Gearman) -> Vec<String> {
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
    gearman: &'a Gearman,
    settings: &'a Settings,
    names: &Names,
) -> Option<(&'a ClassSettings, Option<&'a GearmanClass>)> {
    let index = names.classes.iter().position(|name| *name == function.class)?;
    let told = gearman.classes.iter().find(|class| class.name == function.class);
    Some((settings.classes.get(index)?, told))
}

/// How long jobs of a pool's classes are expected to run, until runs are seen: as long as their class is wanted to take.
pub fn expected_runs(
    pool: &str,
    gearman: &Gearman,
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

fn background_wait_ms(told: Option<&GearmanClass>) -> f64 {
    told.map_or(BACKGROUND_WAIT_MS, |told| told.background_wait_ms)
}

fn wait_ms(class: &ClassSettings, told: Option<&GearmanClass>) -> f64 {
    told.and_then(|told| told.wait_ms).unwrap_or(class.deadline as f64 / 1e3)
}

/// The settings and names of a pool's decisions. Each function is a kind of worker, as the workers that can do it are the
/// set a job of it can go to, and has a class for each priority.
pub fn pool_settings(pool: &str, gearman: &Gearman, settings: &Settings, names: &Names) -> (Settings, Names) {
    let (mut classes, mut class_names, mut kinds) = (Vec::new(), Vec::new(), Vec::new());
    for function in gearman.functions.iter().filter(|function| function.pool == pool) {
        let Some((class, told)) = class_of(function, gearman, settings, names) else { continue };
        let kind = Some(KindId(kinds.len()));
        kinds.push(function.name.clone());
        // Workers here drop no repeats: what may be repeated only to some nodes may not be repeated.
        let effect = if class.effect == Effect::Safe { Effect::Safe } else { Effect::Unsafe };
        for (background, wait_ms) in [(false, wait_ms(class, told)), (true, background_wait_ms(told))] {
            // A Gearman caller names no wanted time: an answer within the time it waits is in time.
            let wait = (wait_ms * 1e3) as u64;
            let class =
                ClassSettings { aim: wait, aim_stretch: 0.0, deadline: wait, effect, kind, ..class.clone() };
            for (priority, factor) in
                [(Priority::Normal, 1.0), (Priority::High, PRIORITY), (Priority::Low, 1.0 / PRIORITY)]
            {
                class_names.push(class_name(&function.name, priority, background));
                classes.push(ClassSettings { worth: class.worth * factor, ..class.clone() });
            }
        }
    }
    let settings = Settings {
        // The workers that connect here are this dispatcher's alone, as far as can be known, and of no zone.
        index: 0,
        dispatchers: 1,
        zone: None,
        tick: TICK,
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
    };
    let names = Names { classes: class_names, tenants: names.tenants.clone(), zones: Vec::new(), kinds };
    (settings, names)
}

/// What the server is told of the functions. `tally` gives the counts of one that is served already.
pub fn functions(
    gearman: &Gearman,
    settings: &Settings,
    names: &Names,
    pools: &BTreeMap<String, Pool>,
    tally: impl Fn(&[u8]) -> Option<Rc<Tally>>,
) -> Vec<Function> {
    let function = |told: &GearmanFunction| {
        let (class, class_told) = class_of(told, gearman, settings, names)?;
        let once = class.effect != Effect::Safe;
        let tally = tally(told.name.as_bytes()).unwrap_or_default();
        tally.most.set(told.queue.unwrap_or(usize::MAX));
        Some(Function {
            name: told.name.clone().into(),
            text: told.name.clone(),
            pool: *pools.get(&told.pool)?,
            tenant: told.tenant.clone(),
            once,
            wait_ms: wait_ms(class, class_told),
            background_wait_ms: background_wait_ms(class_told),
            keep_ms: class_told.and_then(|told| told.keep_ms).unwrap_or(if once { KEEP_MS } else { 0.0 }),
            tally,
        })
    };
    gearman.functions.iter().filter_map(function).collect()
}

/// What bounds the server.
pub fn limits(gearman: &Gearman, settings: &Settings) -> Limits {
    let told = &gearman.limits;
    Limits {
        unread: told.unread,
        jobs_per_connection: told.jobs_per_connection,
        bounds: Bounds { jobs: told.held_jobs, results: told.kept_results, bytes: told.kept },
        grab_ms: told.grab_ms,
        come_back_ms: COME_BACK_MS.min(settings.limits.max_retry_after as f64 / 1e3),
        shutdown: gearman.shutdown,
    }
}
