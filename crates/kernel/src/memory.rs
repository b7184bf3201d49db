//! Memory that the process takes from the system.

/// Length from which a buffer has memory of its own, in bytes.
#[cfg(target_env = "gnu")]
const LARGE_BUFFER_BYTES: libc::c_int = 128 * 1024;

/// Lets each large buffer have memory of its own, which the system gets back when the buffer is dropped.
///
/// To be called before large buffers are made. Without it, the allocator of `glibc` puts large buffers between small ones once one of them has
/// been dropped; the gaps that they leave stay with the process.
pub fn set_large_buffers_apart() {
    #[cfg(target_env = "gnu")]
    // SAFETY: the call takes no pointers and only changes a parameter of the allocator.
    let is_set = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES) } == 1;
    #[cfg(not(target_env = "gnu"))]
    let is_set = true;
    if !is_set {
        spdlog::warn!(
            "the allocator refused its parameter: large buffers take more memory than they hold"
        );
    }
}
