//! An upstream on raw sockets that is brittle: it breaks down when it has to reject too many requests in a second, and comes back as a new process.

mod brittle_options;
mod brittle_process;
mod brittle_standin;
mod brittle_state;

pub use brittle_options::{AnswerPlan, BrittleOptions, BrittleTimes, ReturnName};
pub use brittle_standin::BrittleStandin;
pub use brittle_state::{Arrival, Rejection};
