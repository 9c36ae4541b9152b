//! Estimates how long a list of each part of the store takes.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

use super::{PART_COUNT, WorldPart};

/// Number of objects that fit on a page of any store.
const MIN_PAGE_OBJECTS: usize = 100;

/// Estimates how long a list of each part takes, from the last one.
///
/// A list must be complete when the confirmation of its part reaches a certain age, and it takes
/// longer the more objects there are. All parts follow the longest list: what others learn of an
/// instance is the age of its oldest part.
#[derive(Debug, Default)]
pub(crate) struct ListTimes(Mutex<[PartTimes; PART_COUNT]>);

#[derive(Clone, Copy, Debug, Default)]
struct PartTimes {
    took: Duration,
    objects: usize,
    expected: Duration,
}

impl ListTimes {
    /// Records that a list of this many objects took this long.
    pub(super) fn record(&self, part: WorldPart, took: Duration, objects: usize) {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        times[part as usize] = PartTimes {
            took,
            objects,
            expected: took,
        };
    }

    /// Returns the expected time of the longest list if this part has this many objects now. A list
    /// of less than a page takes as long as one of a page.
    pub(super) fn longest(&self, part: WorldPart, objects: usize) -> Duration {
        let mut times = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let pages = |objects: usize| objects.max(MIN_PAGE_OBJECTS) as f64;
        let own = &mut times[part as usize];
        own.expected = own.took.mul_f64(pages(objects) / pages(own.objects));
        let expected = times.iter().map(|part| part.expected);
        expected.max().unwrap_or_default()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a first long list that ends after followers have given up their source: the last
    /// list was read while a tenth of the upstreams had registered.
    #[test]
    fn time_of_a_list_follows_the_number_of_objects() {
        let times = ListTimes::default();
        let longest = |objects| times.longest(WorldPart::Upstreams, objects);
        assert_eq!(longest(10_000), Duration::ZERO);
        times.record(WorldPart::Upstreams, Duration::from_millis(50), 1_000);
        assert_eq!(longest(10_000), Duration::from_millis(500));
        times.record(WorldPart::Upstreams, Duration::from_millis(5), 1);
        assert_eq!(longest(1), Duration::from_millis(5));
        assert_eq!(longest(1_000), Duration::from_millis(50));
    }

    /// Guards against watchers that list all upstreams because the first one confirms its
    /// configuration later than these.
    #[test]
    fn short_lists_start_as_early_as_the_longest() {
        let times = ListTimes::default();
        times.record(WorldPart::Upstreams, Duration::from_millis(450), 10_000);
        times.record(WorldPart::Config, Duration::from_millis(5), 1);
        for (part, objects) in [(WorldPart::Upstreams, 10_000), (WorldPart::Config, 1)] {
            assert_eq!(times.longest(part, objects), Duration::from_millis(450));
        }
    }
}
