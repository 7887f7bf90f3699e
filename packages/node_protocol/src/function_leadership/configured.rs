//! What a new generation of the configuration means for leaders: by what changed, or as a whole.

use super::scheduler_settings;
use crate::node::Node;
use configuration_schema::{ChangedFunctions, ConfigurationDelta, FunctionTargets};
use std::collections::BTreeSet;

impl Node {
    /// A generation of which it is not known how it came of the last.
    pub(crate) fn configuration_replaced(&mut self) {
        let configuration = self.configuration.current();
        let functions: BTreeSet<String> = configuration.functions.keys().cloned().collect();
        self.leadership.targets = FunctionTargets::of(&configuration);
        let led: Vec<String> = self.leadership.works.keys().cloned().collect();
        led.iter().for_each(|function| self.renew_work_settings(function));
        self.leadership.election.set_functions(functions);
        self.forget_unconfigured();
        self.keep_room_for_smallest_instance();
        // New functions are polled for at once.
        self.leadership.poll_due = self.now;
    }

    /// A generation is about to come of the one that holds here by this delta. Returns the functions whose
    /// settings it touches.
    pub(crate) fn configuration_changes(&mut self, delta: &ConfigurationDelta) -> BTreeSet<String> {
        let base = self.configuration.current();
        let ChangedFunctions { added, removed, .. } = delta.changed_functions(&base);
        let mut touched = self.leadership.targets.apply(delta, &base);
        touched.extend(delta.functions.keys().cloned());
        if !added.is_empty() {
            // New functions are polled for at once.
            self.leadership.poll_due = self.now;
        }
        self.leadership.election.change_functions(added, &removed);
        touched
    }

    /// The delta's generation holds here now.
    pub(crate) fn settings_changed(&mut self, delta: &ConfigurationDelta, touched: &BTreeSet<String>) {
        touched.iter().for_each(|function| self.renew_work_settings(function));
        if delta.functions.is_empty() {
            return;
        }
        self.keep_room_for_smallest_instance();
        if delta.functions.values().any(Option::is_none) {
            self.forget_unconfigured();
        }
    }

    fn renew_work_settings(&mut self, function: &str) {
        let configuration = self.configuration.current();
        let Some(work) = self.leadership.works.get_mut(function) else { return };
        let Some(settings) = configuration.functions.get(function) else { return };
        let target = self.leadership.targets.get(function);
        work.update_settings(scheduler_settings(settings, target, self.settings.costs));
    }

    fn keep_room_for_smallest_instance(&mut self) {
        let configuration = self.configuration.current();
        let smallest_instance =
            configuration.functions.values().map(|function| function.instance_memory_mb).min();
        self.leadership.placement.set_reserve(smallest_instance.unwrap_or(0));
    }

    fn forget_unconfigured(&mut self) {
        let configuration = self.configuration.current();
        let is_configured = |function: &str| configuration.functions.contains_key(function);
        let fallback_count = self.leadership.fallbacks.len();
        self.leadership.fallbacks.retain(|function, _| is_configured(function));
        if self.leadership.fallbacks.len() < fallback_count {
            self.leadership.fallbacks_from = self.now;
        }
        self.leadership.no_room_reported.retain(|function, _| is_configured(function));
        self.gossip
            .forget(|topic| topic.strip_prefix("cells/").is_some_and(|function| !is_configured(function)));
    }
}
