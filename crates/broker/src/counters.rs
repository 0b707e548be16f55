//! Owns the counts of what the dispatcher takes in, sends and answers, and the few lines it says between. It must never
//! steer anything: nothing reads a count to decide by it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;

/// Lines on standard error in any second at most.
const MAX_LOG_LINES_PER_SECOND: u32 = 5;

/// All counts, by group and name.
#[derive(Debug, Default)]
pub struct Counters {
    counts: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    log_budget: Cell<(u64, u32)>,
    /// Final answers, by class.
    classes: RefCell<BTreeMap<String, AnswerCounts>>,
    written: Cell<u64>,
    extra_figures: ExtraFigures,
}

type Figures = Box<dyn Fn() -> Vec<(&'static str, u64)>>;

/// What others show when figures are asked for.
#[derive(Default)]
struct ExtraFigures(RefCell<Vec<Figures>>);

impl fmt::Debug for ExtraFigures {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} further", self.0.borrow().len())
    }
}

/// The final answers to the requests of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AnswerCounts {
    /// With a result.
    pub served: u64,
    /// With a refusal, whoever worded it.
    pub refused: u64,
    /// With anything else.
    pub failed: u64,
}

impl Counters {
    /// Counts one.
    pub fn count(&self, group: &'static str, name: &'static str) {
        *self.counts.borrow_mut().entry((group, name)).or_default() += 1;
    }

    /// Keeps the highest value seen.
    pub fn highest(&self, group: &'static str, name: &'static str, value: u64) {
        let mut counts = self.counts.borrow_mut();
        let highest = counts.entry((group, name)).or_default();
        *highest = value.max(*highest);
    }

    /// From now on a class is shown, if only with zeros.
    pub fn show_class(&self, class: &str) {
        self.classes.borrow_mut().entry(class.to_owned()).or_default();
    }

    /// A request of a class has had its final answer.
    pub fn count_answer(&self, class: &str, count: impl FnOnce(&mut AnswerCounts)) {
        // Nobody but those who set the classes may add to them: the names that come with requests have no end.
        if let Some(answered) = self.classes.borrow_mut().get_mut(class) {
            count(answered);
        }
    }

    /// The last byte of an attempt was written to its runner.
    pub fn attempt_written(&self) {
        self.written.set(self.written.get() + 1);
    }

    /// The final answers so far, by class.
    pub fn classes(&self) -> BTreeMap<String, AnswerCounts> {
        self.classes.borrow().clone()
    }

    /// The attempts written whole so far.
    pub fn attempts_written(&self) -> u64 {
        self.written.get()
    }

    /// From now on these figures are shown, too, as they are when they are asked for.
    pub fn show(&self, figures: impl Fn() -> Vec<(&'static str, u64)> + 'static) {
        self.extra_figures.0.borrow_mut().push(Box::new(figures));
    }

    /// The figures that others show.
    pub fn extra_figures(&self) -> Vec<(&'static str, u64)> {
        self.extra_figures.0.borrow().iter().flat_map(|figures| figures()).collect()
    }

    /// A count so far.
    pub fn value_of(&self, group: &'static str, name: &'static str) -> u64 {
        self.counts.borrow().get(&(group, name)).copied().unwrap_or_default()
    }

    /// Says a line on standard error, a few in any second at most; the rest are counted.
    pub fn log(&self, now_ms: f64, line: impl fmt::Display) {
        let second = (now_ms / 1e3) as u64;
        let (last, lines) = self.log_budget.get();
        let lines = if last == second { lines + 1 } else { 1 };
        self.log_budget.set((second, lines));
        match lines <= MAX_LOG_LINES_PER_SECOND {
            true => eprintln!("ruddervalve: {line}"),
            false => self.count("lines", "withheld"),
        }
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "counters")?;
        self.counts
            .borrow()
            .iter()
            .try_for_each(|((group, name), count)| write!(formatter, " {group}.{name}={count}"))
    }
}
