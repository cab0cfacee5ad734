//! Prefers the holder of a prompt's prefix while its load is within a limit.

use super::path_search::{Goal, PathSearch, SelectedTarget};
use super::routing_table::Choice;

impl PathSearch<'_> {
    /// Chooses a target that holds a prefix of the prompt, else the home of the prefix, each only
    /// if it isn't overloaded for affinity.
    pub(super) fn choose_within_load_limit(
        &self,
        choices: &[Choice],
        goal: Goal,
    ) -> Option<SelectedTarget> {
        let holder = self.find_holder_within_load_limit(choices, goal);
        holder.or_else(|| self.find_home(choices, goal))
    }

    /// Returns the first target with a cached prefix that the plan uses here, that can accept the
    /// request and isn't overloaded for affinity.
    fn find_holder_within_load_limit(
        &self,
        choices: &[Choice],
        goal: Goal,
    ) -> Option<SelectedTarget> {
        for holder in self.prefix_holders {
            let key = holder.key;
            let Some((group, index)) = self.table.positions.get(key).copied() else {
                continue;
            };
            let is_choice = choices
                .iter()
                .any(|it| it.group == group && it.weight > 0.0);
            if !is_choice || !self.is_usable(group, goal) || !self.can_accept(group, key) {
                continue;
            }
            if !self.exceeds_affinity_load(&self.table.members[group].all[index]) {
                return Some(SelectedTarget { group, key });
            }
        }
        None
    }
}
