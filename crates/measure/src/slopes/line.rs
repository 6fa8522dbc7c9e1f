//! Lines printed: one for each size, and the straight line fitted through them.

use serde::Serialize;

use crate::json::print;

/// A measured value, with the least and the most of what it is the median of.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Sample {
    value: f64,
    least: f64,
    most: f64,
}

impl Sample {
    /// Median, least and most of some values.
    pub(super) fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |n: usize| values.get(n).copied().unwrap_or(f64::NAN);
        Self {
            value: at(values.len() / 2),
            least: at(0),
            most: at(values.len().saturating_sub(1)),
        }
    }

    /// A value that was measured once, or does not vary.
    pub(super) fn once(value: f64) -> Self {
        Self::of(vec![value])
    }
}

/// A figure measured at several sizes.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Figure {
    /// Part of the measurement.
    pub(super) part: &'static str,
    /// What was measured.
    pub(super) figure: &'static str,
    /// Unit of the value.
    pub(super) unit: &'static str,
    /// What is counted.
    pub(super) per: &'static str,
}

/// Values of a figure by count.
#[derive(Debug)]
pub(super) struct Series {
    figure: Figure,
    points: Vec<Point>,
}

#[derive(Clone, Copy, Debug)]
struct Point {
    count: f64,
    value: f64,
}

#[derive(Serialize)]
struct SizeLine<'a> {
    measure: &'static str,
    #[serde(flatten)]
    figure: &'a Figure,
    count: u32,
    #[serde(flatten)]
    sample: Sample,
}

#[derive(Serialize)]
struct FitLine<'a> {
    measure: &'static str,
    #[serde(flatten)]
    figure: &'a Figure,
    /// Value at a count of none.
    base: f64,
    /// Growth with each one more.
    slope: f64,
    /// Part of the variance that the line explains.
    r2: f64,
}

impl Series {
    /// Series without values.
    pub(super) fn new(figure: Figure) -> Self {
        let points = Vec::new();
        Self { figure, points }
    }

    /// Prints and keeps the value at one size.
    pub(super) fn add(&mut self, count: u32, sample: Sample) {
        print(&SizeLine {
            measure: "slopes",
            figure: &self.figure,
            count,
            sample,
        });
        self.points.push(Point {
            count: f64::from(count),
            value: sample.value,
        });
    }

    /// Prints the line of least squares.
    pub(super) fn fit(&self) {
        let mean_count = self.mean(|p| p.count);
        let mean_value = self.mean(|p| p.value);
        let spread = self.mean(|p| (p.count - mean_count).powi(2));
        let shared = self.mean(|p| (p.count - mean_count) * (p.value - mean_value));
        let variance = self.mean(|p| (p.value - mean_value).powi(2));
        let slope = shared / spread;
        let explained = slope * shared;
        print(&FitLine {
            measure: "slopes fit",
            figure: &self.figure,
            base: mean_value - slope * mean_count,
            slope,
            r2: if variance > 0.0 {
                explained / variance
            } else {
                1.0
            },
        });
    }

    fn mean(&self, read: impl Fn(&Point) -> f64) -> f64 {
        let sum: f64 = self.points.iter().map(read).sum();
        let count = u32::try_from(self.points.len()).unwrap_or(u32::MAX);
        sum / f64::from(count)
    }
}
