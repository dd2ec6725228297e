//! Open-loop arrivals of requests with heavy-tailed lengths.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};

use super::plan::{Deployment, FaultKind};

/// Prompt templates per customer; each template is a cacheable prefix.
const TEMPLATES: u64 = 4;
/// Fraction of a prompt that its template covers.
const TEMPLATE_FRACTION: f64 = 0.6;
/// Index of the customer that exceeds its limit under `NoisyCustomer`: the first small one.
pub const NOISY_CUSTOMER: usize = 3;
/// Factor by which the noisy customer's requests exceed its limit of open requests.
const NOISY_FACTOR: f64 = 10.0;

/// Request of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Virtual time, µs.
    pub at: u64,
    /// Index of the class.
    pub class: usize,
    /// Index of the customer.
    pub customer: usize,
    /// Index of the instance that the load balancer chooses.
    pub instance: usize,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Tokens that the model will produce. No policy knows it in advance.
    pub output_tokens: u32,
    /// Id of the prompt's template.
    pub prefix: u64,
    /// Tokens of the prompt that the template covers.
    pub prefix_tokens: u32,
}

/// Returns the mean time for which a request of the mix is open, in seconds, at 25 ms per token.
fn mean_open_seconds(deployment: &Deployment) -> f64 {
    let class_mean = |class: &super::plan::RequestClass| {
        let (median, sigma) = class.output;
        class.fraction * median * (sigma * sigma / 2.0).exp() * 0.025
    };
    deployment.classes.iter().map(class_mean).sum()
}

/// Creates the arrivals of a run of `seconds` at `rate` requests per second.
///
/// The same seed yields the same requests in the same order at every rate; only the times between
/// them differ. The requests of a noisy customer are drawn from a random number generator of their
/// own, so that the other requests do not depend on the fault.
pub fn arrivals(
    deployment: &Deployment,
    instances: usize,
    fault: FaultKind,
    rate: f64,
    seconds: f64,
    seed: u64,
) -> Vec<Arrival> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut all = Vec::new();
    draw_arrivals(deployment, instances, rate, seconds, None, &mut random, &mut all);
    if fault == FaultKind::NoisyCustomer {
        let mut random = SmallRng::seed_from_u64(seed ^ 0x006e_6f69_7379);
        let limit = deployment.customers[NOISY_CUSTOMER] * deployment.open_limit_total;
        let rate = NOISY_FACTOR * limit / mean_open_seconds(deployment);
        let noisy = Some(NOISY_CUSTOMER);
        draw_arrivals(deployment, instances, rate, seconds, noisy, &mut random, &mut all);
        all.sort_by_key(|arrival| arrival.at);
    }
    all
}

/// Appends the arrivals of all customers, or of `only_customer`, to `all`.
fn draw_arrivals(
    deployment: &Deployment,
    instances: usize,
    rate: f64,
    seconds: f64,
    only_customer: Option<usize>,
    random: &mut SmallRng,
    all: &mut Vec<Arrival>,
) {
    let mut at = 0.0;
    loop {
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        if at >= seconds {
            return;
        }
        let class = draw_index(deployment.classes.iter().map(|class| class.fraction), random);
        let customer = draw_index(deployment.customers.iter().copied(), random);
        let customer = only_customer.unwrap_or(customer);
        let request_class = &deployment.classes[class];
        let prompt_tokens = draw_length(request_class.prompt, 16_000, random);
        let output_tokens = draw_length(request_class.output, request_class.max_tokens, random);
        let template = random.random_range(0..TEMPLATES);
        all.push(Arrival {
            at: (at * 1e6) as u64,
            class,
            customer,
            instance: random.random_range(0..instances),
            prompt_tokens,
            output_tokens,
            prefix: (class as u64) << 32 | (customer as u64) << 8 | template,
            prefix_tokens: (f64::from(prompt_tokens) * TEMPLATE_FRACTION) as u32,
        });
    }
}

/// Draws an index with the given probabilities.
fn draw_index(fractions: impl Iterator<Item = f64>, random: &mut SmallRng) -> usize {
    let mut remainder = random.random::<f64>();
    let mut last = 0;
    for (index, fraction) in fractions.enumerate() {
        last = index;
        if remainder < fraction {
            break;
        }
        remainder -= fraction;
    }
    last
}

/// Draws a length from a log-normal distribution, limited to 1 to `limit`.
fn draw_length((median, sigma): (f64, f64), limit: u32, random: &mut SmallRng) -> u32 {
    let lengths = LogNormal::new(median.ln(), sigma).expect("the deviation is finite");
    (lengths.sample(random) as u32).clamp(1, limit)
}
