//! The story of one request, told from the log lines of a fleet's routers.

mod log_line;
mod request_story;
mod story_cause;

pub use log_line::LogLine;
pub use request_story::{RequestStory, StoryCollector};
pub use story_cause::StoryCause;
