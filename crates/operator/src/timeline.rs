//! Timeline of one request, reconstructed from the log lines of a fleet's routers.

mod log_line;
mod outcome_cause;
mod request_timeline;

pub use log_line::LogLine;
pub use outcome_cause::OutcomeCause;
pub use request_timeline::{RequestTimeline, TimelineCollector};
