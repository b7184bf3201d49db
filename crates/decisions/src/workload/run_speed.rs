//! Learns the time to the response head by the length of the prompt, and the time per stream event.

use std::time::Duration;

/// Number of ranges of prompt lengths; range `n` begins at two to the power of `n` tokens.
const RANGES: usize = 18;
/// Weight of a head above the estimate of its range, and of one below it. Heads contain waiting, which only adds; so the
/// estimate stays near the lower heads.
const WEIGHT_ABOVE: f64 = 0.2;
/// See [`WEIGHT_ABOVE`].
const WEIGHT_BELOW: f64 = 0.8;
/// Number of runs over which the head of a range is averaged.
const HEAD_RUNS: f64 = 20.0;
/// Prompts from this length on: their time counts as caused by the tokens when only one range is known.
const LONG_PROMPT: f64 = 256.0;

/// Heads of the prompts of one range of lengths.
#[derive(Debug, Clone, Copy, Default)]
struct HeadRange {
    weight: f32,
    tokens: f32,
    seconds: f32,
}

/// Speed of the runs of one class at an upstream of usual speed.
#[derive(Debug, Clone, Default)]
pub(super) struct RunSpeed {
    heads: [HeadRange; RANGES],
    /// Time to the head of a prompt without tokens, in seconds.
    fixed_s: f64,
    /// Additional time to the head per token of the prompt, in seconds.
    token_s: f64,
    /// Decayed number of runs.
    weight: f64,
    /// Decayed time from head to end, in seconds, of runs with events.
    body_s: f64,
    /// Decayed number of events.
    events: f64,
}

impl RunSpeed {
    /// Number of runs known, decayed; 0 until one of them had events.
    pub(super) fn weight(&self) -> f64 {
        if self.events > 0.0 { self.weight } else { 0.0 }
    }

    /// Multiplies the weight of all runs by `factor`.
    pub(super) fn decay(&mut self, factor: f64) {
        for range in &mut self.heads {
            range.weight *= factor as f32;
        }
        self.weight *= factor;
        self.body_s *= factor;
        self.events *= factor;
    }

    /// Adds a run with this uncached prompt, its times divided by the slowness of the upstream.
    pub(super) fn record(&mut self, prompt: u32, head: Duration, events: u32, body: f64) {
        self.weight += 1.0;
        self.body_s += body;
        self.events += f64::from(events);
        let (tokens, head) = (f64::from(prompt), head.as_secs_f64());
        let index = (tokens.max(1.0).log2() as usize).min(RANGES - 1);
        let range = &mut self.heads[index];
        range.weight = (range.weight + 1.0).min(HEAD_RUNS as f32);
        let rate = 1.0 / f64::from(range.weight).max(1.0);
        let mean_tokens = f64::from(range.tokens);
        range.tokens = (mean_tokens + (tokens - mean_tokens) * rate) as f32;
        let mean_head = f64::from(range.seconds);
        let side = match head > mean_head {
            _ if rate >= 1.0 => 1.0,
            true => WEIGHT_ABOVE,
            false => WEIGHT_BELOW,
        };
        range.seconds = (mean_head + (head - mean_head) * rate * side) as f32;
        self.fit_heads();
    }

    /// Time to the head of a prompt with this many uncached tokens, in seconds.
    pub(super) fn head_s(&self, tokens: u32) -> f64 {
        self.fixed_s + self.token_s * f64::from(tokens)
    }

    /// Time per event, in seconds.
    pub(super) fn pace_s(&self) -> f64 {
        self.body_s / self.events.max(f64::MIN_POSITIVE)
    }

    /// Fits a straight line to the heads of the ranges by least squares; neither part may be negative.
    fn fit_heads(&mut self) {
        let (mut weight, mut tokens, mut heads) = (0.0, 0.0, 0.0);
        let (mut squares, mut products) = (0.0, 0.0);
        for range in &self.heads {
            let w = f64::from(range.weight);
            let (t, h) = (f64::from(range.tokens), f64::from(range.seconds));
            weight += w;
            tokens += w * t;
            heads += w * h;
            squares += w * t * t;
            products += w * t * h;
        }
        let (mean_tokens, mean_head) = (tokens / weight, heads / weight);
        let variance = squares / weight - mean_tokens * mean_tokens;
        let covariance = products / weight - mean_tokens * mean_head;
        let has_slope = variance > (0.1 * mean_tokens).powi(2).max(1.0);
        self.token_s = match has_slope {
            true => (covariance / variance).max(0.0),
            false if mean_tokens >= LONG_PROMPT => mean_head / mean_tokens,
            false => 0.0,
        };
        self.fixed_s = mean_head - self.token_s * mean_tokens;
        if self.fixed_s < 0.0 {
            self.fixed_s = 0.0;
            self.token_s = mean_head / mean_tokens.max(1.0);
        }
    }
}
