//! Estimates how long a list of a kind takes.

use std::{
    sync::{Mutex, PoisonError},
    time::Duration,
};

/// Number of objects that fit on a page of any store.
const MIN_PAGE_OBJECTS: usize = 100;

/// Estimates how long a list of a kind takes, from the last one.
#[derive(Debug, Default)]
pub(super) struct ListTime(Mutex<LastList>);

#[derive(Clone, Copy, Debug, Default)]
struct LastList {
    took: Duration,
    objects: usize,
}

impl ListTime {
    /// Records that a list of this many objects took this long.
    pub(super) fn record(&self, took: Duration, objects: usize) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = LastList { took, objects };
    }

    /// Returns the expected time of a list of this many objects. A list of less than a page takes as
    /// long as one of a page.
    pub(super) fn estimate(&self, objects: usize) -> Duration {
        let last = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let pages = |objects: usize| objects.max(MIN_PAGE_OBJECTS) as f64;
        last.took.mul_f64(pages(objects) / pages(last.objects))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a first long list that ends after followers have given up their source: the last
    /// list was read while a tenth of the upstreams had registered.
    #[test]
    fn time_of_a_list_follows_the_number_of_objects() {
        let list_time = ListTime::default();
        assert_eq!(list_time.estimate(10_000), Duration::ZERO);
        list_time.record(Duration::from_millis(50), 1_000);
        assert_eq!(list_time.estimate(10_000), Duration::from_millis(500));
        list_time.record(Duration::from_millis(5), 1);
        assert_eq!(list_time.estimate(1), Duration::from_millis(5));
        assert_eq!(list_time.estimate(1_000), Duration::from_millis(50));
    }
}
