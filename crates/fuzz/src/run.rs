//! The run: each target's share of the inputs, and what was found.

use std::any::Any;
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};

use crate::{Args, Broken, Target, all, draw};

/// Longest part of an input that a report shows, bytes.
const SHOWN: usize = 400;

/// An input that broke a target.
#[derive(Clone, Debug)]
pub struct Finding {
    /// Target.
    pub target: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Number of the input.
    pub number: u64,
    /// Panic or broken invariant.
    pub cause: String,
    /// Input.
    pub input: Vec<u8>,
}

/// What came of one target.
#[derive(Clone, Debug)]
pub struct TargetSummary {
    /// Target.
    pub name: &'static str,
    /// Inputs given.
    pub inputs: u64,
    /// Inputs that it took as valid, wholly or in part.
    pub taken: u64,
    /// Time.
    pub took: Duration,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// By target.
    pub targets: Vec<TargetSummary>,
    /// Inputs that broke one.
    pub findings: Vec<Finding>,
}

/// Runs all targets, or the one named.
#[must_use]
pub fn run(args: &Args) -> Summary {
    run_on(&all(), args)
}

/// Runs `targets`, or the one of them that `args` names.
#[must_use]
pub fn run_on(targets: &[Box<dyn Target>], args: &Args) -> Summary {
    let named = |t: &&dyn Target| args.target.as_ref().is_none_or(|n| n == t.name());
    let targets = targets.iter().map(AsRef::as_ref);
    let chosen: Vec<&dyn Target> = targets.filter(named).collect();
    let weights: u64 = chosen.iter().map(|t| t.weight()).sum();
    let mut summary = Summary::default();
    for target in chosen {
        let share = (args.inputs * target.weight()).div_ceil(weights);
        let numbers = match args.only {
            Some(number) => number..number + 1,
            None => 0..share,
        };
        summary.add(target, args.seed, numbers);
    }
    summary
}

impl Summary {
    fn add(&mut self, target: &dyn Target, seed: u64, numbers: std::ops::Range<u64>) {
        let from = Instant::now();
        let samples = target.samples();
        let inputs = numbers.end - numbers.start;
        let mut taken = 0;
        for number in numbers {
            let input = draw(&samples, seed, number);
            match try_input(target, &input) {
                Ok(valid) => taken += u64::from(valid),
                Err(cause) => self.findings.push(Finding {
                    target: target.name(),
                    seed,
                    number,
                    cause,
                    input,
                }),
            }
        }
        self.targets.push(TargetSummary {
            name: target.name(),
            inputs,
            taken,
            took: from.elapsed(),
        });
    }

    /// Inputs given to all targets.
    #[must_use]
    pub fn inputs(&self) -> u64 {
        self.targets.iter().map(|t| t.inputs).sum()
    }
}

fn try_input(target: &dyn Target, input: &[u8]) -> Result<bool, String> {
    match catch_unwind(AssertUnwindSafe(|| target.check(input))) {
        Ok(Ok(valid)) => Ok(valid),
        Ok(Err(Broken { what })) => Err(what),
        Err(panic) => Err(format!("panic: {}", panic_text(panic.as_ref()))),
    }
}

fn panic_text(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|t| (*t).to_owned());
    let text = text.or_else(|| panic.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "without text".to_owned())
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for target in &self.targets {
            let TargetSummary {
                name,
                inputs,
                taken,
                took,
            } = target;
            let ms = took.as_millis();
            writeln!(
                f,
                "{name:<12} inputs {inputs:>8} taken {taken:>8} ms {ms:>7}"
            )?;
        }
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        let (inputs, found) = (self.inputs(), self.findings.len());
        write!(f, "inputs {inputs} findings {found}")
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let shown = &self.input[..self.input.len().min(SHOWN)];
        writeln!(
            f,
            "{}, --seed {} --only {}:",
            self.target, self.seed, self.number
        )?;
        writeln!(f, "  {}", self.cause)?;
        write!(f, "  {}", shown.escape_ascii())
    }
}
