//! Signals that arrive while their handlers are installed.

use std::mem;
use std::time::Duration;

use ferry_kernel::lifecycle::{StopSignal, stop_signals};
use libc::{RTLD_NEXT, SIG_DFL, SIGTERM, c_int, dlsym, raise, sigaction as SignalAction};
use tokio::time::timeout;

/// Time within which a signal must have been received.
const RECEIVE_TIME: Duration = Duration::from_secs(5);

/// The system's call to install a handler.
type InstallHandler = unsafe extern "C" fn(c_int, *const SignalAction, *mut SignalAction) -> c_int;

/// Replaces the system's function of this name in this program: SIGTERM arrives as soon as its handler is installed, which is before the
/// libraries know what it is to do.
///
/// # Safety
///
/// As for the function of the system.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn sigaction(
    signal: c_int,
    action: *const SignalAction,
    former: *mut SignalAction,
) -> c_int {
    // SAFETY: the system has a function of this name and type; the arguments are the caller's.
    unsafe {
        let install = dlsym(RTLD_NEXT, c"sigaction".as_ptr());
        let install: InstallHandler = mem::transmute(install);
        let result = install(signal, action, former);
        let installs = action
            .as_ref()
            .is_some_and(|action| action.sa_sigaction != SIG_DFL);
        if signal == SIGTERM && installs {
            raise(SIGTERM);
        }
        result
    }
}

/// Guards against a process that never stops, because the signal came while it installed its handlers.
#[tokio::test]
async fn a_signal_that_comes_while_its_handler_is_installed_is_received() {
    let mut signals = stop_signals().unwrap();
    let received = timeout(RECEIVE_TIME, signals.recv()).await;
    assert_eq!(received, Ok(Some(StopSignal::Graceful)));
}
