//! Moving averages.

/// `MovingAverage` is a mean in which each new sample counts by a weight from 0 to 1.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    mean: f64,
}

impl MovingAverage {
    /// Creates an average that starts at `mean`.
    pub(crate) const fn new(mean: f64) -> Self {
        Self { mean }
    }

    /// Mean of the samples.
    pub(crate) const fn mean(self) -> f64 {
        self.mean
    }

    /// Records a sample.
    pub(crate) fn record(&mut self, sample: f64, weight: f64) {
        self.mean += weight * (sample - self.mean);
    }
}
