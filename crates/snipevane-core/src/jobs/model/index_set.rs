//! Sets of indices that are kept as ranges.

use rangemap::RangeInclusiveSet;

/// Set of indices below `u32::MAX`, which takes memory for its gaps rather than for its members.
#[derive(Clone, Debug, Default)]
pub(in crate::jobs) struct IndexSet {
    ranges: RangeInclusiveSet<u32>,
    len: u64,
}

impl IndexSet {
    /// Returns the number of members.
    pub(in crate::jobs) fn len(&self) -> u64 {
        self.len
    }

    /// Returns whether the set has no members.
    pub(in crate::jobs) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns whether an index is a member.
    pub(in crate::jobs) fn contains(&self, index: u32) -> bool {
        self.ranges.contains(&index)
    }

    /// Adds an index; returns whether it is new.
    pub(in crate::jobs) fn insert(&mut self, index: u32) -> bool {
        let is_new = !self.contains(index);
        if is_new {
            self.ranges.insert(index..=index);
            self.len += 1;
        }
        is_new
    }

    /// Adds the indices from `first` to `last`.
    pub(in crate::jobs) fn insert_range(&mut self, first: u32, last: u32) {
        if first > last {
            return;
        }
        let range = first..=last;
        let gaps = self.ranges.gaps(&range);
        let added = gaps.map(|gap| u64::from(gap.end() - gap.start()) + 1);
        self.len += added.sum::<u64>();
        self.ranges.insert(range);
    }

    /// Removes an index; returns whether it was a member.
    pub(in crate::jobs) fn remove(&mut self, index: u32) -> bool {
        let was_member = self.contains(index);
        if was_member {
            self.ranges.remove(index..=index);
            self.len -= 1;
        }
        was_member
    }

    /// Removes and returns the smallest member.
    pub(in crate::jobs) fn pop_first(&mut self) -> Option<u32> {
        let first = *self.ranges.first()?.start();
        self.ranges.remove(first..=first);
        self.len -= 1;
        Some(first)
    }

    /// Returns the smallest index from `from` on that isn't a member.
    pub(in crate::jobs) fn first_absent(&self, from: u32) -> u32 {
        self.ranges
            .get(&from)
            .map_or(from, |range| range.end().saturating_add(1))
    }

    /// Returns the members as ranges, with first and last index, in ascending order.
    pub(in crate::jobs) fn ranges(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        let ranges = self.ranges.iter();
        ranges.map(|range| (*range.start(), *range.end()))
    }

    /// Returns the number of ranges.
    pub(in crate::jobs) fn range_count(&self) -> usize {
        self.ranges.len()
    }

    /// Returns the members that are in another set too.
    pub(in crate::jobs) fn intersection(&self, other: &Self) -> Self {
        let mut both = Self::default();
        for range in self.ranges.intersection(&other.ranges) {
            both.insert_range(*range.start(), *range.end());
        }
        both
    }

    /// Returns the members that aren't in another set.
    pub(in crate::jobs) fn difference(&self, other: &Self) -> Self {
        let mut rest = Self::default();
        for range in self.ranges.iter() {
            for gap in other.ranges.gaps(range) {
                rest.insert_range(*gap.start(), *gap.end());
            }
        }
        rest
    }
}
