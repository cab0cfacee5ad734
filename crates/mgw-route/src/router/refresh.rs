//! Updates the routing tables when targets, links or loads change.

use mgw_world::Millis;

use super::facade::Router;
use super::routing_table::{ModelVariant, RoutingTable};

impl Router {
    /// Updates the routing table of `variant` to the current targets, links and loads.
    ///
    /// Afterwards the table exists unless the model is unknown or no target serves this variant.
    pub(super) fn refresh(&mut self, variant: &ModelVariant, now: Millis) {
        if self.needs_rebuild {
            self.rebuild_all(now);
        } else if self.needs_weight_update {
            for table in self.tables.values_mut() {
                table.update_weights(&self.fleet, &self.settings, now);
            }
        }
        self.needs_rebuild = false;
        self.needs_weight_update = false;
        let existing = self.tables.get(variant);
        let active_paths = existing.map_or(0, |table| table.active_paths);
        if existing.is_none_or(|table| table.valid_until <= now) {
            self.rebuild_table(variant, active_paths, now);
        }
    }

    fn rebuild_all(&mut self, now: Millis) {
        let tables = std::mem::take(&mut self.tables);
        for (variant, table) in tables {
            self.rebuild_table(&variant, table.active_paths, now);
        }
    }

    /// Rebuilds the routing table of a variant, or removes it if the model is unknown or if it has
    /// neither targets nor active paths.
    fn rebuild_table(&mut self, variant: &ModelVariant, active_paths: u32, now: Millis) {
        let Some(model) = self.models.get(&variant.model) else {
            self.tables.remove(variant);
            return;
        };
        let mut table = RoutingTable::build(
            model,
            variant,
            &self.fleet,
            &self.links,
            &self.settings,
            now,
        );
        table.active_paths = active_paths;
        if table.is_empty() && active_paths == 0 {
            self.tables.remove(variant);
        } else {
            self.tables.insert(variant.clone(), table);
        }
    }
}
