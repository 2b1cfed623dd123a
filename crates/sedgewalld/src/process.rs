//! Resource usage of this process, memory and CPU time, from `/proc`.

/// The size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// The length of a clock tick of the kernel, in milliseconds.
const TICK_MS: u64 = 10;

/// Returns the resident memory in bytes, or 0 if it cannot be read.
pub(crate) fn resident_bytes() -> u64 {
    let Ok(text) = std::fs::read_to_string("/proc/self/statm") else {
        return 0;
    };
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0u64) * PAGE_BYTES
}

/// Returns the CPU time used, in milliseconds, or 0 if it cannot be read.
pub(crate) fn cpu_ms() -> u64 {
    let Ok(text) = std::fs::read_to_string("/proc/self/stat") else {
        return 0;
    };
    // The fields are counted after the process name, which may contain spaces.
    let Some((_, fields)) = text.rsplit_once(") ") else { return 0 };
    let mut fields = fields.split(' ').skip(11);
    let mut ticks =
        || fields.next().and_then(|field| field.parse().ok()).unwrap_or(0u64);
    (ticks() + ticks()) * TICK_MS
}
