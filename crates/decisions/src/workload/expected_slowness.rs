//! Corrects the observed slowness of upstreams for the number of samples behind it.

/// Samples at which half of an observed slowness is believed.
const SLOWNESS_SAMPLES: f64 = 2.0;

/// Expected slowness of an upstream for which `samples` runs show `observed`; near 1 while there are few.
pub fn expected_slowness(observed: f64, samples: f64) -> f64 {
    if !observed.is_finite() || observed <= 0.0 || samples.is_nan() || samples <= 0.0 {
        return 1.0;
    }
    let share = match samples.is_finite() {
        true => samples / (samples + SLOWNESS_SAMPLES),
        false => 1.0,
    };
    observed.powf(share)
}
