//! Results that are kept for those who submit again.

use bytes::Bytes;

use super::job::{Job, JobEnd};
use super::{Jobs, StorageLimits};

/// The result of a job that is kept.
#[derive(Debug, Clone)]
pub struct KeptResult {
    /// The job's handle.
    pub handle: Bytes,
    /// How it ended; none where its bytes had to go: then only that it has ended is known.
    pub end: Option<JobEnd>,
    /// What was sent before the end.
    pub data: Vec<Bytes>,
    pub(super) bytes: usize,
    number: u64,
}

/// Unique id and function.
pub(super) type Key = (Bytes, Bytes);

/// Copied out of what was read with it, which would stay in memory as long.
fn detached_copy(bytes: &Bytes) -> Bytes {
    Bytes::copy_from_slice(bytes)
}

impl JobEnd {
    /// Its size in bytes.
    fn size(&self) -> usize {
        match self {
            Self::Complete(result) => result.len(),
            Self::Fail(exception) => exception.as_ref().map_or(0, Bytes::len),
        }
    }

    fn detached_copy(&self) -> Self {
        match self {
            Self::Complete(result) => Self::Complete(detached_copy(result)),
            Self::Fail(exception) => Self::Fail(exception.as_ref().map(detached_copy)),
        }
    }
}

impl Jobs {
    /// The kept result that a submission of this unique id is given.
    pub fn kept(&self, function: &Bytes, unique: &Bytes) -> Option<&KeptResult> {
        self.kept.get(&(unique.clone(), function.clone()))
    }

    /// How many results are kept, and their bytes.
    pub fn kept_size(&self) -> (usize, usize) {
        (self.kept.len(), self.kept_bytes)
    }

    /// Keeps how a job ended; where bytes are too many those of the oldest go, and that they ended stays known.
    pub fn keep(&mut self, job: &Job, end: &JobEnd, now_ms: f64, storage: &StorageLimits) {
        let key = (detached_copy(&job.unique), detached_copy(&job.function.name));
        self.next_kept += 1;
        let number = self.next_kept;
        let bytes = end.size() + job.data.iter().map(Bytes::len).sum::<usize>();
        let mut kept =
            KeptResult { handle: detached_copy(&job.handle), end: None, data: Vec::new(), bytes: 0, number };
        if !job.data_cut && bytes <= storage.bytes {
            kept.end = Some(end.detached_copy());
            kept.data = job.data.iter().map(detached_copy).collect();
            kept.bytes = bytes;
        }
        self.forget(&key);
        self.kept_bytes += kept.bytes;
        let expires_micros = ((now_ms + job.function.retention_ms) * 1e3) as u64;
        self.expiry.insert((expires_micros, number), key.clone());
        self.with_bytes.push_back((key.clone(), number));
        self.kept.insert(key, kept);
        self.drop_oldest_bytes(storage.bytes);
    }

    /// Drops the bytes of the oldest results until no more than so many are kept.
    fn drop_oldest_bytes(&mut self, max_bytes: usize) {
        while self.kept_bytes > max_bytes {
            let Some((key, number)) = self.with_bytes.pop_front() else { break };
            if let Some(kept) = self.kept.get_mut(&key).filter(|kept| kept.number == number) {
                self.kept_bytes -= std::mem::take(&mut kept.bytes);
                (kept.end, kept.data) = (None, Vec::new());
            }
        }
    }

    fn forget(&mut self, key: &Key) {
        if let Some(old) = self.kept.remove(key) {
            self.kept_bytes -= old.bytes;
        }
    }

    /// When the next kept result goes.
    pub fn next_expiry_ms(&self) -> Option<f64> {
        self.expiry.first_key_value().map(|((at, _), _)| *at as f64 / 1e3)
    }

    /// Lets go of results whose time is over.
    pub fn expire(&mut self, now_ms: f64) {
        while let Some(entry) = self.expiry.first_entry().filter(|entry| entry.key().0 as f64 <= now_ms * 1e3)
        {
            let ((_, number), key) = entry.remove_entry();
            if self.kept.get(&key).is_some_and(|kept| kept.number == number) {
                self.forget(&key);
            }
        }
        while let Some((key, number)) = self.with_bytes.front()
            && self.kept.get(key).is_none_or(|kept| kept.number != *number)
        {
            self.with_bytes.pop_front();
        }
    }
}
