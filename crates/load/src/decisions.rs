//! What the decisions alone cost.

use std::time::Instant;

use ruddervalve::{Availability, Facade, JobFacts, ListKind, LoadReport, Machine, Outcome, Report, Step};
use ruddervalve_gearman::pool_settings;
use ruddervalve_operators::Operators;

use super::{CONFIG, Failure, OPERATORS};

/// What is decided in all, so that each measurement takes about as long: requests times what one costs.
const WORK: u64 = 2_000_000;
/// What a request costs, as many times what it costs for each worker.
const BASE: u64 = 200;

/// What the decisions alone take for a request with so many workers, in microseconds: pick, start, end, with a report.
pub(super) fn decisions_us(workers: usize) -> Result<f64, Failure> {
    let load = LoadReport { free_slots: Some(1.0), queued: Some(0.0) };
    let mut facade = facade_with(workers, load)?;
    let facts = JobFacts {
        class: "tint".to_owned(),
        tenant: Some("acme".to_owned()),
        remaining_ms: 10_000.0,
        slots: 1.0,
        memory: 0.0,
        hint_ms: None,
    };
    let requests = WORK / (workers as u64 + BASE);
    let began = Instant::now();
    for request in 0..requests {
        let now = 1.0 + request as f64 * 0.1;
        let steps = facade.pick(now, request, &facts);
        if !steps.iter().any(|step| matches!(step, Step::Claim { .. })) {
            return Err("the decisions claimed no worker".into());
        }
        facade.report(now + 0.05, request, 0, Report::Started);
        let served = Report::Ended { outcome: Outcome::Served, closed: true, load: Some(load) };
        facade.report(now + 0.09, request, 0, served);
    }
    Ok(began.elapsed().as_secs_f64() * 1e6 / requests as f64)
}

/// The decisions of the example's pool, with so many idle workers.
fn facade_with(workers: usize, load: LoadReport) -> Result<Facade, Failure> {
    let start = CONFIG.find("\"settings\":").ok_or("no settings")? + "\"settings\":".len();
    let text = CONFIG[start..].trim().trim_end_matches('}').trim_end().to_owned() + "}";
    let (settings, names) = ruddervalve_settings::Info::read(&text)?.checked()?;
    let operators = Operators::read(OPERATORS).map_err(|faults| format!("{faults:?}"))?;
    let gearman = operators.gearman.ok_or("no gearman")?;
    let (settings, names) = pool_settings("gearman", &gearman, &settings, &names);
    let mut facade = Facade::new(settings, names, 1)?;
    let machines: Vec<Machine> = (0..workers).map(machine).collect();
    facade.list(0.0, ListKind::Full, &machines);
    machines.iter().for_each(|machine| drop(facade.load(0.0, &machine.name, load)));
    Ok(facade)
}

fn machine(number: usize) -> Machine {
    Machine {
        name: format!("conn-{number}"),
        availability: Availability::Ready,
        started_ms: 0.0,
        zone: None,
        kind: None,
        abilities: vec!["tint".to_owned()],
        cell: None,
        weight: 1.0,
    }
}
