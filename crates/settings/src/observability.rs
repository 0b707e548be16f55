//! What a dispatcher can learn from, for those who run it.

use ruddervalve::{Discovery, Reporting};

use super::Info;

/// What a dispatcher can learn from, for those who run it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Observability {
    /// All of it, in a line.
    pub line: String,
    /// What is missing, a line each.
    pub missing: Vec<String>,
}

/// How the line on load reports says that there are none.
const NO_REPORTS: &str = "none";

impl Info {
    /// What a dispatcher hears of runners under these settings, and what it would need and does not hear.
    pub fn observability(&self) -> Observability {
        let reports = match (self.reports_come(), self.limits.probes) {
            (Reporting::Answers, false) => "with answers",
            (Reporting::Answers, true) => "with answers and probes",
            (Reporting::Probes, true) => "by probes",
            _ => NO_REPORTS,
        };
        let progress = match self.family_info.progress {
            0 => "not told".to_owned(),
            every => format!("each {} ms", every as f64 / 1e3),
        };
        let list = match self.list_comes() {
            Discovery::Pushed => "pushed",
            Discovery::OnRequest => "asked for",
        };
        let starts = if self.family_info.tells_start { "told" } else { "not told" };
        let line = format!(
            "learns from load reports: {reports}; starts: {starts}; progress: {progress}; list: {list}"
        );
        Observability { line, missing: self.missing(reports) }
    }

    /// What keeps the dispatcher from learning that a runner is idle again, a line each.
    fn missing(&self, reports: &str) -> Vec<String> {
        let (how, fields) = (self.reports_come(), &self.reporting.fields);
        let no_free_slots =
            reports != NO_REPORTS && !fields.is_empty() && !fields.iter().any(|field| field == "x0");
        [
            (how == Reporting::None, "settings.reporting.how is neither 'answers' nor 'probe'"),
            (
                how == Reporting::Probes && !self.limits.probes,
                "settings.reporting.how is 'probe', and settings.limits.probes forbids them",
            ),
            (no_free_slots, "settings.reporting.fields has no 'x0', the free slots"),
        ]
        .into_iter()
        .filter(|(missing, _)| *missing)
        .map(|(_, what)| format!("nothing tells that a node is idle again: {what}"))
        .collect()
    }
}
