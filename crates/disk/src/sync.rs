//! The locks and threads of the worker. Its own tests run it on `shuttle`'s, which try out many interleavings.

use std::io;
use std::sync::PoisonError;
use std::time::Duration;

#[cfg(not(test))]
pub(crate) use std::{
    sync::{Condvar, Mutex, MutexGuard},
    thread::JoinHandle,
};

#[cfg(test)]
pub(crate) use shuttle::{
    sync::{Condvar, Mutex, MutexGuard},
    thread::JoinHandle,
};

/// Locks; a thread that panicked while it held the lock left nothing half done here.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Waits as long as `condition` holds.
pub(crate) fn wait_while<'a, T>(
    wake: &Condvar,
    guard: MutexGuard<'a, T>,
    condition: impl FnMut(&mut T) -> bool,
) -> MutexGuard<'a, T> {
    wake.wait_while(guard, condition).unwrap_or_else(PoisonError::into_inner)
}

/// Waits as long as `condition` holds, for `duration` at most.
#[cfg(not(test))]
pub(crate) fn wait_while_for<'a, T>(
    _mutex: &'a Mutex<T>,
    wake: &Condvar,
    guard: MutexGuard<'a, T>,
    duration: Duration,
    condition: impl FnMut(&mut T) -> bool,
) -> MutexGuard<'a, T> {
    wake.wait_timeout_while(guard, duration, condition).unwrap_or_else(PoisonError::into_inner).0
}

/// Lets other threads run and returns as if the time were over: `shuttle` has no time.
#[cfg(test)]
pub(crate) fn wait_while_for<'a, T>(
    mutex: &'a Mutex<T>,
    _wake: &Condvar,
    guard: MutexGuard<'a, T>,
    _duration: Duration,
    _condition: impl FnMut(&mut T) -> bool,
) -> MutexGuard<'a, T> {
    drop(guard);
    shuttle::thread::yield_now();
    lock(mutex)
}

/// Starts a thread.
#[cfg(not(test))]
pub(crate) fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    std::thread::Builder::new().name(name.to_owned()).spawn(body)
}

/// Starts a thread of `shuttle`.
#[cfg(test)]
pub(crate) fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    shuttle::thread::Builder::new().name(name.to_owned()).spawn(body)
}
