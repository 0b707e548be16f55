//! A dispatcher's loop around the library, with a worker that answers from memory after a fixed time.

use std::collections::BTreeMap;

use ruddervalve::*;

const RUN: Micros = 80_000;

fn main() -> Result<(), SettingsError> {
    let class = ClassSettings {
        aim: 200_000,
        aim_stretch: 1.0,
        deadline: 2_000_000,
        worth: 1.0,
        late_worth: 0.0,
        effect: Effect::Safe,
        kind: None,
    };
    let settings = Settings {
        index: 0,
        dispatchers: 1,
        zone: None,
        tick: 1_000,
        classes: vec![class],
        tenants: vec![],
        worth_by_work: false,
        over_share_worth: 1.0,
        worst_class_weight: 0.0,
        cross_zone_price: 0.0,
        conn_kept: 0,
        discovery: Discovery::Pushed,
        reporting: Reporting::Answers,
        live_weights: false,
        tells_start: false,
        limits: Limits { max_attempts: 3, cancel: true, probes: false, max_retry_after: 2_000_000 },
        rules: Rules {
            cold_share: 0.2,
            cold: 10_000_000,
            fall_multiple: 3.0,
            fall_after: 1_000_000,
            ask_within: 0,
        },
    };
    let mut dispatcher = Dispatcher::new(settings, 1)?;
    // What is to come: events by their time. A real dispatcher waits on its sockets and timers instead.
    let mut agenda: BTreeMap<Micros, Vec<Event>> = BTreeMap::new();
    let member = |id| Member {
        worker: WorkerId(id),
        availability: Availability::Ready,
        booted: 0,
        zone: None,
        kind: None,
        kinds: Vec::new(),
        cell: None,
        weight: 1.0,
    };
    let members = (0..2).map(member).collect();
    agenda.insert(1_000_000, vec![Event::Members { kind: ListKind::Full, members }]);
    for id in 0..8 {
        let request = NewRequest {
            id: RequestId(id),
            class: ClassId(0),
            tenant: None,
            expires_in: 2_000_000,
            slots: 1.0,
            memory: 0.0,
            hint: None,
        };
        agenda.entry(1_100_000 + id * 30_000).or_default().push(Event::Request(request));
    }
    let mut attempts: BTreeMap<RequestId, usize> = BTreeMap::new();
    while let Some((now, events)) = agenda.pop_first() {
        let mut actions = Vec::new();
        dispatcher.round(now, &events, &mut actions);
        for action in actions {
            println!("{now:>8} {action:?}");
            match action {
                Action::Send { request, .. } => {
                    let attempt = attempts.entry(request).or_default();
                    let ended = Event::AttemptEnded {
                        request,
                        attempt: *attempt,
                        outcome: Outcome::Served,
                        closed: true,
                        report: Some(LoadReport { free_slots: Some(2.0), queued: Some(0.0) }),
                    };
                    *attempt += 1;
                    agenda.entry(now + RUN).or_default().push(ended);
                }
                Action::WakeAt(at) => agenda.entry(at.max(now + 1)).or_default().push(Event::Wake),
                _ => {}
            }
        }
    }
    Ok(())
}
