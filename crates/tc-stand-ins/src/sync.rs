//! Locking that goes on after another thread panicked while holding the lock.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`. A failed assertion in one test task must not hide behind poisoned locks in all others.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
