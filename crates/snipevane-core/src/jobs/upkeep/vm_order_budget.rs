//! Budget of the orders for VMs, of which the platform accepts so many a second.

use std::collections::VecDeque;
use std::time::Duration;

/// Time within which no more orders are sent than the platform accepts in a second. Orders may take longer to arrive
/// than those after them.
const WINDOW: Duration = Duration::from_millis(1_100);

/// Budget of the orders for VMs.
///
/// The platform refuses orders beyond its rate. Each refused one would be planned, stored and sent again in the next
/// planning round, together with those that follow.
#[derive(Clone, Debug)]
pub struct VmOrderBudget {
    max_orders: usize,
    /// Times and numbers of the orders that were sent within the window.
    sent: VecDeque<(Duration, usize)>,
}

impl VmOrderBudget {
    /// Creates the budget for a platform that accepts this many orders per second.
    pub fn new(orders_per_s: f64) -> Self {
        Self {
            max_orders: orders_per_s.max(1.0) as usize,
            sent: VecDeque::new(),
        }
    }

    /// Returns the number of orders that may be sent now.
    pub fn available(&mut self, now: Duration) -> usize {
        while let Some((at, _)) = self.sent.front()
            && now >= *at + WINDOW
        {
            self.sent.pop_front();
        }
        let sent: usize = self.sent.iter().map(|(_, orders)| orders).sum();
        self.max_orders.saturating_sub(sent)
    }

    /// Records that orders are sent, which may be more than are available.
    pub fn record_sent(&mut self, orders: usize, now: Duration) {
        if orders > 0 {
            self.sent.push_back((now, orders));
        }
    }
}
