//! Forecast of an engine's memory use from the expected remaining lengths of its requests.

use super::lengths::LengthCurve;

/// Numbers of decoding steps after which the forecast is evaluated. Each step decodes one token
/// of every request of the batch, so one number of steps applies to all requests.
const HORIZONS: [u32; 12] = [0, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384, 32768];

/// Inputs for the memory forecast of one request.
#[derive(Clone, Copy, Debug)]
pub struct MemoryNeed<'a> {
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Tokens decoded so far.
    pub decoded: u32,
    /// Upper limit of output tokens.
    pub max_tokens: u32,
    /// Length distribution of the request's route.
    pub curve: &'a LengthCurve,
}

/// Mean and variance of the memory in use after each number of steps, without further
/// admissions.
#[derive(Clone, Debug, Default)]
pub struct MemoryForecast {
    mean: [f64; HORIZONS.len()],
    variance: [f64; HORIZONS.len()],
}

impl MemoryForecast {
    /// Adds a request.
    pub fn add(&mut self, need: &MemoryNeed) {
        for (at, &steps) in HORIZONS.iter().enumerate() {
            let running = need.curve.continuation_probability(need.decoded, steps, need.max_tokens);
            let held = f64::from(need.prompt_tokens) + f64::from(need.decoded) + f64::from(steps);
            self.mean[at] += running * held;
            self.variance[at] += running * (1.0 - running) * held * held;
        }
    }

    /// Returns the highest expected memory use within `horizon` steps plus `z` standard
    /// deviations, in tokens.
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
