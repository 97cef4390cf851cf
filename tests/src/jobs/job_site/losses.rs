//! Losses of all schedulers, during which minions work on without orders.

use std::time::Duration;

use snipevane_core::jobs::TaskId;

use super::{Event, JobSite, TICK};

impl JobSite {
    /// Runs the minions for this time without a scheduler, and then starts the next term.
    ///
    /// Orders that were on their way are still carried out. Leases that end meanwhile end the runs.
    pub fn lose_schedulers(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick_without_scheduler();
        }
        self.take_over();
    }

    fn tick_without_scheduler(&mut self) {
        self.now += TICK;
        for minion in self.minions.values_mut().filter(|minion| minion.up) {
            minion.advance(&mut self.records, self.now);
        }
        self.crash_minions();
        self.restart_minions();
        self.run_planned_restarts();
        self.run_restarts();
        self.events
            .retain(|(_, _, event)| !matches!(event, Event::Deliver(..) | Event::DeliverLate(..)));
        self.run_due_events();
    }

    /// Returns the number of runs of a task that are active now.
    pub fn live_runs_of(&self, task: TaskId) -> usize {
        let live = self.records.iter().filter(|record| {
            let minion = &self.minions[&record.minion];
            record.task == task
                && record.to.is_none()
                && minion.up
                && minion.incarnation == record.incarnation
        });
        live.count()
    }
}
