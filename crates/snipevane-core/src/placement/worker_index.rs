//! Finds a worker with enough free resources.

use super::Resources;

/// A tree over the workers' free resources, each node the maximum of its children.
///
/// Finding a worker and changing one take a time that grows with the logarithm of their number,
/// unless the free resources are spread so unevenly that a search has to turn back.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkerIndex {
    nodes: Vec<Resources>,
    leaves: usize,
}

impl WorkerIndex {
    /// Sets the free resources of the worker at a position.
    pub(super) fn set(&mut self, position: usize, free: Resources) {
        if position >= self.leaves {
            self.grow(position + 1);
        }
        let mut node = self.leaves + position;
        self.nodes[node] = free;
        while node > 1 {
            node /= 2;
            let max = self.nodes[2 * node].max(&self.nodes[2 * node + 1]);
            if self.nodes[node] == max {
                break;
            }
            self.nodes[node] = max;
        }
    }

    /// Returns the most of each resource.
    pub(super) fn max(&self) -> &Resources {
        const NONE: &Resources = &Resources {
            cpu_millis: 0,
            memory_mib: 0,
            accelerators: 0,
        };
        self.nodes.get(1).unwrap_or(NONE)
    }

    /// Returns the first position with at least `size` free that is accepted.
    pub(super) fn find(&self, size: &Resources, accept: impl Fn(usize) -> bool) -> Option<usize> {
        if self.leaves == 0 {
            return None;
        }
        self.find_below(1, size, &accept)
    }

    fn find_below(
        &self,
        node: usize,
        size: &Resources,
        accept: &impl Fn(usize) -> bool,
    ) -> Option<usize> {
        if !size.fits_in(&self.nodes[node]) {
            return None;
        }
        if node >= self.leaves {
            let position = node - self.leaves;
            return accept(position).then_some(position);
        }
        self.find_below(2 * node, size, accept)
            .or_else(|| self.find_below(2 * node + 1, size, accept))
    }

    fn grow(&mut self, positions: usize) {
        let leaves = positions.next_power_of_two();
        let mut nodes = vec![Resources::default(); 2 * leaves];
        for position in 0..self.leaves {
            nodes[leaves + position] = self.nodes[self.leaves + position];
        }
        for node in (1..leaves).rev() {
            nodes[node] = nodes[2 * node].max(&nodes[2 * node + 1]);
        }
        self.nodes = nodes;
        self.leaves = leaves;
    }
}
