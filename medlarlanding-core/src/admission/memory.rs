//! Forecast of an engine's memory use from the remaining lengths of its requests.

use super::lengths::LengthCurve;

/// Further tokens at which the forecast is evaluated. All requests of a batch decode one token
/// per step, so one number of steps applies to all of them.
const HORIZONS: [u32; 12] = [0, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384, 32768];

/// Memory need of one request.
#[derive(Clone, Copy, Debug)]
pub struct MemoryNeed<'a> {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Tokens decoded so far.
    pub decoded: u32,
    /// Largest number of output tokens.
    pub max_tokens: u32,
    /// Length distribution of the request's route.
    pub curve: &'a LengthCurve,
}

/// Mean and variance of the memory in use after each number of steps, if nothing is added.
#[derive(Clone, Debug, Default)]
pub struct MemoryForecast {
    mean: [f64; HORIZONS.len()],
    variance: [f64; HORIZONS.len()],
}

impl MemoryForecast {
    /// Adds a request.
    pub fn add(&mut self, need: &MemoryNeed) {
        for (at, &steps) in HORIZONS.iter().enumerate() {
            let alive = need.curve.continues(need.decoded, steps, need.max_tokens);
            let held = f64::from(need.prompt_tokens) + f64::from(need.decoded) + f64::from(steps);
            self.mean[at] += alive * held;
            self.variance[at] += alive * (1.0 - alive) * held * held;
        }
    }

    /// Returns the highest memory use in tokens within `horizon` steps, with `z` standard
    /// deviations kept free.
    pub fn peak(&self, z: f64, horizon: u32) -> f64 {
        self.mean
            .iter()
            .zip(&self.variance)
            .zip(HORIZONS)
            .filter(|&(_, steps)| steps <= horizon)
            .map(|((mean, variance), _)| mean + z * variance.sqrt())
            .fold(0.0, f64::max)
    }
}
