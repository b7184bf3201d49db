//! Which of the operator's orders is in force, also after the store came back from an older copy.

use std::time::Duration;

use smallvec::SmallVec;

use super::RolloutOrder;
use crate::time::MonotonicTime;
use crate::topic::TopicPosition;

/// Number of orders of one service that are kept: a copy is some seconds old, and orders are further apart.
const ORDER_LIMIT: usize = 4;

/// Time after the first record of a new era in which the operator writes its newest order again.
const REWRITE_TIME: Duration = Duration::from_secs(10);

/// Effect of a record that holds an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderStep {
    /// A roll-out begins, in place of the former one.
    Begin,
    /// The order in force has another position in the store's new era; its roll-out goes on.
    Move,
    /// The order is known, or was replaced or withdrawn.
    Ignore,
}

/// The last orders of one service.
#[derive(Debug, Default)]
pub struct OrderHistory {
    /// Oldest first; the last one is in force unless it was withdrawn.
    orders: SmallVec<[KnownOrder; 2]>,
    /// Whether the operator withdrew the last one.
    is_withdrawn: bool,
}

#[derive(Debug)]
struct KnownOrder {
    order: RolloutOrder,
    position: TopicPosition,
    /// Until when the same order counts, once, as written again and not as a new one; absent in the era in which it began.
    rewritten_until: Option<MonotonicTime>,
}

impl OrderHistory {
    /// Applies at `now` the record at `position`, which holds `order`.
    ///
    /// Within an era each later record is an order of its own, even with the same content. In a new era the store first holds records of
    /// its copy, at the offsets that they had before, and the operator writes its newest order again, also if the copy holds it.
    pub fn observe(
        &mut self,
        order: &RolloutOrder,
        position: TopicPosition,
        now: MonotonicTime,
    ) -> OrderStep {
        let is_withdrawn = self.is_withdrawn;
        let Some((newest, replaced)) = self.orders.split_last_mut() else {
            return self.begin(order, position);
        };
        if position <= newest.position {
            return OrderStep::Ignore;
        }
        let is_same = newest.order == *order && !is_withdrawn;
        if position.era == newest.position.era {
            if is_same && newest.rewritten_until.take().is_some_and(|end| now < end) {
                newest.position = position;
                return OrderStep::Move;
            }
            return self.begin(order, position);
        }
        if is_same {
            newest.rewritten_until = Some(now.after(REWRITE_TIME));
            newest.position = position;
            return OrderStep::Move;
        }
        let is_copied =
            |known: &KnownOrder| known.order == *order && known.position.offset == position.offset;
        if is_copied(newest) || replaced.iter().any(is_copied) {
            return OrderStep::Ignore;
        }
        self.begin(order, position)
    }

    /// Records that the operator withdrew the order in force.
    pub fn withdraw(&mut self) {
        self.is_withdrawn = true;
    }

    fn begin(&mut self, order: &RolloutOrder, position: TopicPosition) -> OrderStep {
        if self.orders.len() == ORDER_LIMIT {
            self.orders.remove(0);
        }
        self.orders.push(KnownOrder {
            order: order.clone(),
            position,
            rewritten_until: None,
        });
        self.is_withdrawn = false;
        OrderStep::Begin
    }
}
