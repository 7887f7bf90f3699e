//! What a new generation of the configuration means for leaders: by what changed, or as a whole.

use super::work_settings;
use crate::node::Node;
use configuration_schema::{ChangedFunctions, ConfigurationDelta, FunctionTargets};
use std::collections::BTreeSet;

impl Node {
    /// A generation of which it is not known how it came of the last.
    pub(crate) fn configuration_replaced(&mut self) {
        let configuration = self.configuration.current();
        let functions: BTreeSet<String> = configuration.functions.keys().cloned().collect();
        self.stewards.targets = FunctionTargets::of(&configuration);
        let led: Vec<String> = self.stewards.works.keys().cloned().collect();
        led.iter().for_each(|function| self.renew_work_settings(function));
        self.stewards.election.take_functions(functions);
        self.forget_unconfigured();
        self.keep_room_for_smallest_cell();
        // New functions are polled for at once.
        self.stewards.poll_due = self.now;
    }

    /// A generation is about to come of the one that holds here by this delta. Returns the functions whose
    /// settings it touches.
    pub(crate) fn configuration_changes(&mut self, delta: &ConfigurationDelta) -> BTreeSet<String> {
        let base = self.configuration.current();
        let ChangedFunctions { added, removed, .. } = delta.changed_functions(&base);
        let mut touched = self.stewards.targets.take(delta, &base);
        touched.extend(delta.functions.keys().cloned());
        if !added.is_empty() {
            // New functions are polled for at once.
            self.stewards.poll_due = self.now;
        }
        self.stewards.election.change_functions(added, &removed);
        touched
    }

    /// The delta's generation holds here now.
    pub(crate) fn settings_changed(&mut self, delta: &ConfigurationDelta, touched: &BTreeSet<String>) {
        touched.iter().for_each(|function| self.renew_work_settings(function));
        if delta.functions.is_empty() {
            return;
        }
        self.keep_room_for_smallest_cell();
        if delta.functions.values().any(Option::is_none) {
            self.forget_unconfigured();
        }
    }

    fn renew_work_settings(&mut self, function: &str) {
        let configuration = self.configuration.current();
        let Some(work) = self.stewards.works.get_mut(function) else { return };
        let Some(settings) = configuration.functions.get(function) else { return };
        let target = self.stewards.targets.get(function);
        work.take_settings(work_settings(settings, target, self.settings.costs));
    }

    fn keep_room_for_smallest_cell(&mut self) {
        let configuration = self.configuration.current();
        let smallest_cell = configuration.functions.values().map(|function| function.cell_memory_mb).min();
        self.stewards.placement.keep_free(smallest_cell.unwrap_or(0));
    }

    fn forget_unconfigured(&mut self) {
        let configuration = self.configuration.current();
        let is_configured = |function: &str| configuration.functions.contains_key(function);
        let deputy_count = self.stewards.deputies.len();
        self.stewards.deputies.retain(|function, _| is_configured(function));
        if self.stewards.deputies.len() < deputy_count {
            self.stewards.deputies_from = self.now;
        }
        self.stewards.no_room_told.retain(|function, _| is_configured(function));
        self.news
            .forget(|topic| topic.strip_prefix("cells/").is_some_and(|function| !is_configured(function)));
    }
}
