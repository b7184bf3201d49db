//! How a brittle upstream behaves, and when.

use std::time::Duration;

use tokio::time::Instant;

/// Properties of a brittle upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrittleOptions {
    /// Identifier; see [`ReturnName`].
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that may wait before [`BrittleTimes::queues_few`].
    pub long_queue: u32,
    /// Requests that may wait from then on.
    pub short_queue: u32,
    /// Rejections in a second that it survives.
    pub survived: u32,
    /// Time between a break down and the return.
    pub away_time: Duration,
    /// Under which identifier it returns.
    pub returns_as: ReturnName,
    /// Whether it goes on with requests whose connections were closed.
    pub keeps_abandoned: bool,
}

/// When upstreams say that they are brittle, and when fewer requests may wait and rejections break them down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrittleTimes {
    /// They say so from then on.
    pub says_so: Instant,
    /// Fewer requests may wait, and rejections break them down, from then on.
    pub queues_few: Instant,
    /// End of both.
    pub ends: Instant,
}

/// Under which identifier an upstream returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReturnName {
    /// The same.
    Same,
    /// A new one for each process.
    New,
}

/// How requests are answered. All of them hold their slot to the end of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerPlan {
    /// Time before the head of an answer.
    pub run_time: Duration,
    /// Events of an answer, the first of them with the head; 0 for a body that is whole.
    pub events: u64,
    /// Pause between two events.
    pub gap: Duration,
    /// Time for which a new connection holds a slot.
    pub link_time: Duration,
}

impl BrittleTimes {
    /// Whether upstreams say that they are brittle now.
    pub fn is_brittle(&self) -> bool {
        Instant::now() >= self.says_so && !self.has_ended()
    }

    /// Whether few requests may wait, and rejections break upstreams down now.
    pub fn is_endangered(&self) -> bool {
        Instant::now() >= self.queues_few && !self.has_ended()
    }

    fn has_ended(&self) -> bool {
        Instant::now() >= self.ends
    }
}

impl AnswerPlan {
    /// Answers with whole bodies after `run_time`.
    pub fn whole(run_time: Duration) -> Self {
        Self {
            run_time,
            events: 0,
            gap: Duration::ZERO,
            link_time: Duration::ZERO,
        }
    }

    /// Time for which a request holds its slot.
    pub fn slot_time(&self) -> Duration {
        self.run_time + self.gap * self.events.saturating_sub(1) as u32
    }
}
