//! Applies a new generation of the configuration to the led functions, by its delta or as a whole.

use super::scheduler_settings;
use crate::node::Node;
use configuration_schema::{ChangedFunctions, ConfigurationDelta, FunctionTargets};
use std::collections::BTreeSet;

impl Node {
    /// Applies a generation whose delta to the previous one is not known.
    pub(crate) fn configuration_replaced(&mut self) {
        let configuration = self.configuration.current();
        let functions: BTreeSet<String> = configuration.functions.keys().cloned().collect();
        self.leadership.targets = FunctionTargets::of(&configuration);
        let led: Vec<String> = self.leadership.schedulers.keys().cloned().collect();
        led.iter().for_each(|function| self.update_scheduler_settings(function));
        self.leadership.election.set_functions(functions);
        self.remove_unconfigured();
        self.keep_room_for_smallest_instance();
        // The records of new functions are polled at once.
        self.leadership.poll_due = self.now;
    }

    /// Prepares for a delta to the configuration in force; called before the delta is applied. Returns the
    /// functions whose settings it affects.
    pub(crate) fn configuration_changes(&mut self, delta: &ConfigurationDelta) -> BTreeSet<String> {
        let base = self.configuration.current();
        let ChangedFunctions { added, removed, .. } = delta.changed_functions(&base);
        let mut affected = self.leadership.targets.apply(delta, &base);
        affected.extend(delta.functions.keys().cloned());
        if !added.is_empty() {
            // The records of new functions are polled at once.
            self.leadership.poll_due = self.now;
        }
        self.leadership.election.change_functions(added, &removed);
        affected
    }

    /// Completes a delta; called when its generation is in force on this node.
    pub(crate) fn settings_changed(&mut self, delta: &ConfigurationDelta, affected: &BTreeSet<String>) {
        affected.iter().for_each(|function| self.update_scheduler_settings(function));
        if delta.functions.is_empty() {
            return;
        }
        self.keep_room_for_smallest_instance();
        if delta.functions.values().any(Option::is_none) {
            self.remove_unconfigured();
        }
    }

    fn update_scheduler_settings(&mut self, function: &str) {
        let configuration = self.configuration.current();
        let Some(scheduler) = self.leadership.schedulers.get_mut(function) else { return };
        let Some(settings) = configuration.functions.get(function) else { return };
        let target = self.leadership.targets.get(function);
        scheduler.update_settings(scheduler_settings(settings, target, self.settings.costs));
    }

    fn keep_room_for_smallest_instance(&mut self) {
        let configuration = self.configuration.current();
        let smallest_instance =
            configuration.functions.values().map(|function| function.instance_memory_mb).min();
        self.leadership.placement.set_reserve(smallest_instance.unwrap_or(0));
    }

    fn remove_unconfigured(&mut self) {
        let configuration = self.configuration.current();
        let is_configured = |function: &str| configuration.functions.contains_key(function);
        let fallback_count = self.leadership.fallbacks.len();
        self.leadership.fallbacks.retain(|function, _| is_configured(function));
        if self.leadership.fallbacks.len() < fallback_count {
            self.leadership.fallbacks_reset_at = self.now;
        }
        self.leadership.no_room_reported.retain(|function, _| is_configured(function));
        self.gossip
            .forget(|topic| topic.strip_prefix("cells/").is_some_and(|function| !is_configured(function)));
    }
}
