//! What a runner says about its load.

use std::str::FromStr;

/// `Instance-Load` of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceLoad {
    /// Messages that it works on.
    pub running: u32,
    /// Messages that it has queued.
    pub waiting: u32,
    /// Messages that it can work on at the same time.
    pub slots: u32,
}

/// not a load: send running, waiting and slots as whole numbers, separated by commas
#[derive(Debug, displaydoc::Display, Clone, Copy, PartialEq, Eq)]
pub struct BadLoad;

impl std::error::Error for BadLoad {}

impl FromStr for InstanceLoad {
    type Err = BadLoad;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut numbers = text.split(',').map(|word| word.trim().parse::<u32>());
        let mut next = || numbers.next().and_then(Result::ok).ok_or(BadLoad);
        let load = Self { running: next()?, waiting: next()?, slots: next()? };
        if numbers.next().is_some() {
            return Err(BadLoad);
        }
        Ok(load)
    }
}
