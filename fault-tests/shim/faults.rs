//! Makes system calls of the current process fail with errors that Linux documents, controlled by another
//! process.
//!
//! `fault-tests/build.rs` compiles this file and its modules into a shared library that the fault tests
//! preload into gateways; tests of other packages include the file as a module. The shim interposes functions
//! of the C library: each `extern "C"` function replaces the function of the same name, and either fails with
//! an injected error or performs the system call.
//!
//! The rates of all faults are read from a [`Control`] that is mapped from the file at `TERNSTACK_FAULTS`, so
//! that another process can change them at any time. The numbers of injected faults are counted in the same
//! [`Control`].
mod files;
mod syscall_numbers;

use std::ffi::{c_char, c_int, c_long, c_void, CStr};
use std::ptr::null_mut;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::atomic::{AtomicI32, AtomicI64, AtomicPtr, AtomicU32, AtomicU64, AtomicU8};
use syscall_numbers as number;

/// Environment variable with the path of the control file.
pub const CONTROL_VARIABLE: &CStr = c"TERNSTACK_FAULTS";
/// Environment variable with a path prefix; only files whose path starts with the prefix are subject to
/// faults.
pub const FOLDER_VARIABLE: &CStr = c"TERNSTACK_FAULTS_FOLDER";
/// Maximum number of kinds of faults, which fixes the layout of [`Control`].
pub const MAX_KINDS: usize = 32;
/// Rate that injects a fault into every call; smaller rates are fractions of it.
pub const ALWAYS: u32 = 1 << 16;

/// The kinds of faults. The value of a kind is its index in [`Control::rates`] and [`Control::injected`].
#[derive(Clone, Copy)]
#[repr(usize)]
pub enum Kind {
    /// `accept4` fails with ECONNABORTED.
    AcceptAborted = 0,
    /// `accept4` fails with ENFILE.
    AcceptFileTable = 1,
    /// `accept4` fails with ENOBUFS.
    AcceptNoBuffers = 2,
    /// `accept4` fails with EINTR.
    AcceptInterrupted = 3,
    /// `socket` fails with ENFILE.
    SocketFileTable = 4,
    /// `socket` fails with ENOBUFS.
    SocketNoBuffers = 5,
    /// `connect` fails with EADDRNOTAVAIL.
    ConnectNoAddress = 6,
    /// `connect` fails with ENETUNREACH.
    ConnectUnreachable = 7,
    /// `connect` fails with ENOBUFS.
    ConnectNoBuffers = 8,
    /// `epoll_wait` fails with EINTR.
    WaitInterrupted = 9,
    /// A read from a socket returns only a part of the requested bytes.
    ReadShort = 10,
    /// A read from a socket fails with EINTR.
    ReadInterrupted = 11,
    /// A read from a server fails with ETIMEDOUT and shuts the connection down.
    ReadTimedOut = 12,
    /// A read from a server fails with EHOSTUNREACH and shuts the connection down.
    ReadHostUnreachable = 13,
    /// A write to a socket accepts only a part of the given bytes.
    WriteShort = 14,
    /// A write to a socket fails with EINTR.
    WriteInterrupted = 15,
    /// A write to a server fails with ETIMEDOUT and shuts the connection down.
    WriteTimedOut = 16,
    /// A write to a server fails with EHOSTUNREACH and shuts the connection down.
    WriteHostUnreachable = 17,
    /// A write to a socket fails with ENOBUFS.
    WriteNoBuffers = 18,
    /// Opening a file fails with ENFILE.
    FileOpen = 19,
    /// Reading a file fails with EIO.
    FileRead = 20,
    /// Writing a file fails with ENOSPC.
    FileWrite = 21,
    /// Syncing a file fails with EIO.
    FileSync = 22,
    /// A write to a socket is delayed by [`Control::write_delay_ms`].
    WriteDelayed = 23,
    /// A read from or write to a client fails with ETIMEDOUT and shuts the connection down.
    ClientTimedOut = 24,
    /// A read from or write to a client fails with EHOSTUNREACH and shuts the connection down.
    ClientUnreachable = 25,
    /// A read of the wall clock returns a time with [`Control::wall_offset_ns`] added; this kind is only
    /// counted.
    ClockStep = 26,
}

/// The rates of faults and the numbers of injected faults. The fault tests read and write the same layout in
/// the control file.
#[derive(Default)]
#[repr(C)]
pub struct Control {
    /// State of the random number generator, initially the seed.
    pub seed: AtomicU64,
    /// Offset that is added to the wall clock, in ns.
    pub wall_offset_ns: AtomicI64,
    /// Id of the only thread whose calls are subject to faults; 0 for all threads.
    pub thread: AtomicI32,
    /// Delay of a write by [`Kind::WriteDelayed`], in ms.
    pub write_delay_ms: AtomicU32,
    /// Probability of each kind, as a fraction of [`ALWAYS`].
    pub rates: [AtomicU32; MAX_KINDS],
    /// Number of injected faults of each kind.
    pub injected: [AtomicU64; MAX_KINDS],
    /// Number of the next calls into which a fault of each kind is injected whatever its probability.
    pub pending: [AtomicU32; MAX_KINDS],
}

static CONTROL: AtomicPtr<Control> = AtomicPtr::new(null_mut());
/// State of the search for a control: 0 before the search, 1 if there is no control, 2 once [`CONTROL`] is
/// set.
static CONTROL_STATE: AtomicU8 = AtomicU8::new(0);

/// Type of a descriptor that is not subject to faults.
const UNTRACKED: u8 = 0;
/// Type of a descriptor returned by `accept4`: a connection from a client.
const CLIENT_CONNECTION: u8 = 1;
/// Type of an IPv4 socket that the process opened: a connection to a server.
const SERVER_CONNECTION: u8 = 2;
/// Type of a descriptor of a file that is subject to faults.
const TRACKED_FILE: u8 = 3;
/// Number of descriptors whose type is stored; higher descriptors are not subject to faults.
const MAX_DESCRIPTORS: usize = 65_536;
/// Type of each descriptor, by its number.
static DESCRIPTOR_TYPES: [AtomicU8; MAX_DESCRIPTORS] = [const { AtomicU8::new(UNTRACKED) }; MAX_DESCRIPTORS];

const EINTR: c_int = 4;
const EIO: c_int = 5;
const ENFILE: c_int = 23;
const ENOSPC: c_int = 28;
const EADDRNOTAVAIL: c_int = 99;
const ENETUNREACH: c_int = 101;
const ECONNABORTED: c_int = 103;
const ENOBUFS: c_int = 105;
const ETIMEDOUT: c_int = 110;
const EHOSTUNREACH: c_int = 113;
const AF_INET: c_int = 2;
const AT_FDCWD: c_int = -100;
const O_RDWR: c_int = 2;
const SHUT_RDWR: c_int = 2;
const CLOCK_REALTIME: c_int = 0;
const PROT_READ_WRITE: c_int = 3;
const MAP_SHARED: c_int = 1;

/// A buffer, with the layout of the C type `iovec`.
#[repr(C)]
#[derive(Clone, Copy)]
pub struct IoVec {
    base: *mut c_void,
    length: usize,
}

/// A point in time or a duration, with the layout of the C type `timespec`.
#[repr(C)]
pub struct TimeSpec {
    seconds: i64,
    nanoseconds: i64,
}

extern "C" {
    fn syscall(number: c_long, ...) -> c_long;
    fn __errno_location() -> *mut c_int;
    fn getenv(name: *const c_char) -> *const c_char;
}

/// Sets the control of this process, in place of the control file that the environment names.
pub fn set_control(control: &'static Control) {
    CONTROL.store(std::ptr::from_ref(control).cast_mut(), Relaxed);
    CONTROL_STATE.store(2, Relaxed);
}

/// Returns the control of this process, which the first call maps from the control file if there is one.
fn control() -> Option<&'static Control> {
    if CONTROL_STATE.load(Relaxed) == 0 {
        CONTROL_STATE.store(1, Relaxed);
        // SAFETY: the variable's text ends with a zero byte, and the control file has the length of `Control`
        // and stays mapped until the process exits.
        unsafe {
            let path = getenv(CONTROL_VARIABLE.as_ptr());
            if !path.is_null() {
                let fd = syscall(number::OPENAT, AT_FDCWD, path, O_RDWR, 0);
                let length = size_of::<Control>();
                let mapped =
                    syscall(number::MMAP, 0usize, length, PROT_READ_WRITE, MAP_SHARED, fd as c_int, 0usize);
                syscall(number::CLOSE, fd as c_int);
                if fd >= 0 && mapped > 0 {
                    CONTROL.store(mapped as *mut Control, Relaxed);
                    CONTROL_STATE.store(2, Relaxed);
                }
            }
        }
    }
    // SAFETY: the control that `CONTROL` points to is static, or is mapped until the process exits.
    unsafe { CONTROL.load(Relaxed).as_ref() }
}

/// Returns the next number of a random number generator (SplitMix64) that all threads share.
fn draw(control: &Control) -> u64 {
    let mut bits = control.seed.fetch_add(0x9e37_79b9_7f4a_7c15, Relaxed);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Returns whether a fault is injected into the current call, because one is pending or is drawn, and counts the
/// fault if so.
fn injects(kind: Kind) -> bool {
    let Some(control) = control() else { return false };
    let rate = control.rates[kind as usize].load(Relaxed);
    let pending = &control.pending[kind as usize];
    if rate == 0 && pending.load(Relaxed) == 0 {
        return false;
    }
    let thread = control.thread.load(Relaxed);
    // SAFETY: `gettid` has no arguments.
    if thread != 0 && c_long::from(thread) != unsafe { syscall(number::GETTID) } {
        return false;
    }
    let is_pending = pending.fetch_update(Relaxed, Relaxed, |count| count.checked_sub(1)).is_ok();
    if !is_pending && draw(control) as u32 % ALWAYS >= rate {
        return false;
    }
    control.injected[kind as usize].fetch_add(1, Relaxed);
    true
}

/// Sets `errno` and returns the result of a failed call.
fn fail_with(error: c_int) -> c_long {
    // SAFETY: the C library returns a valid pointer to `errno` of this thread.
    unsafe { *__errno_location() = error };
    -1
}

/// Draws the faults in order and fails with the error of the first one that is injected, if any.
fn first_failure(kinds: &[(Kind, c_int)]) -> Option<c_long> {
    kinds.iter().find(|(kind, _)| injects(*kind)).map(|(_, error)| fail_with(*error))
}

/// Returns the type of a descriptor, [`UNTRACKED`] if the type is not stored.
fn descriptor_type(fd: c_int) -> u8 {
    usize::try_from(fd)
        .ok()
        .and_then(|n| DESCRIPTOR_TYPES.get(n))
        .map_or(UNTRACKED, |kind| kind.load(Relaxed))
}

/// Stores the type of a descriptor. Does nothing for the result of a failed call, which is negative.
fn set_descriptor_type(fd: c_long, kind: u8) {
    if let Some(slot) = usize::try_from(fd).ok().and_then(|n| DESCRIPTOR_TYPES.get(n)) {
        slot.store(kind, Relaxed);
    }
}

/// Draws the faults in order. If one is injected, shuts the connection down, so that both ends notice, and
/// fails with the error of the fault.
fn break_connection(fd: c_int, kinds: &[(Kind, c_int)]) -> Option<c_long> {
    let (_, error) = kinds.iter().find(|(kind, _)| injects(*kind))?;
    // SAFETY: `shutdown` takes no pointers.
    unsafe { syscall(number::SHUTDOWN, fd, SHUT_RDWR) };
    Some(fail_with(*error))
}

/// Blocks the calling thread for [`Control::write_delay_ms`], for less than a second.
fn delay_write() {
    let write_delay_ms = control().map_or(0, |control| control.write_delay_ms.load(Relaxed));
    let time = TimeSpec { seconds: 0, nanoseconds: i64::from(write_delay_ms.min(999)) * 1_000_000 };
    // SAFETY: `time` lives until the call returns.
    unsafe { syscall(number::NANOSLEEP, &time, null_mut::<TimeSpec>()) };
}

/// Returns `length`, or a random smaller length of at least 1 if a short read or write is injected.
fn short_length(kind: Kind, length: usize) -> usize {
    match control() {
        Some(control) if length > 1 && injects(kind) => 1 + (draw(control) as usize) % (length - 1).min(64),
        _ => length,
    }
}

/// Draws the faults of a read from a socket, and fails with the error of the injected one, if any.
fn read_fault(fd: c_int) -> Option<c_long> {
    let disconnects = match descriptor_type(fd) {
        UNTRACKED | TRACKED_FILE => return None,
        SERVER_CONNECTION => [(Kind::ReadTimedOut, ETIMEDOUT), (Kind::ReadHostUnreachable, EHOSTUNREACH)],
        _ => [(Kind::ClientTimedOut, ETIMEDOUT), (Kind::ClientUnreachable, EHOSTUNREACH)],
    };
    first_failure(&[(Kind::ReadInterrupted, EINTR)]).or_else(|| break_connection(fd, &disconnects))
}

/// Draws the faults of a write to a socket, delays the write if that is drawn, and fails with the error of
/// the injected one, if any.
fn write_fault(fd: c_int) -> Option<c_long> {
    let disconnects = match descriptor_type(fd) {
        UNTRACKED | TRACKED_FILE => return None,
        SERVER_CONNECTION => [(Kind::WriteTimedOut, ETIMEDOUT), (Kind::WriteHostUnreachable, EHOSTUNREACH)],
        _ => [(Kind::ClientTimedOut, ETIMEDOUT), (Kind::ClientUnreachable, EHOSTUNREACH)],
    };
    if injects(Kind::WriteDelayed) {
        delay_write();
    }
    first_failure(&[(Kind::WriteInterrupted, EINTR), (Kind::WriteNoBuffers, ENOBUFS)])
        .or_else(|| break_connection(fd, &disconnects))
}

/// # Safety
/// The requirements of `accept4(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn accept4(fd: c_int, from: *mut c_void, length: *mut u32, flags: c_int) -> c_int {
    let failed = first_failure(&[
        (Kind::AcceptAborted, ECONNABORTED),
        (Kind::AcceptFileTable, ENFILE),
        (Kind::AcceptNoBuffers, ENOBUFS),
        (Kind::AcceptInterrupted, EINTR),
    ]);
    let accepted = failed.unwrap_or_else(|| syscall(number::ACCEPT4, fd, from, length, flags));
    set_descriptor_type(accepted, CLIENT_CONNECTION);
    accepted as c_int
}

/// # Safety
/// The requirements of `socket(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let failed = match domain {
        AF_INET => first_failure(&[(Kind::SocketFileTable, ENFILE), (Kind::SocketNoBuffers, ENOBUFS)]),
        _ => None,
    };
    let fd = failed.unwrap_or_else(|| syscall(number::SOCKET, domain, kind, protocol));
    set_descriptor_type(fd, if domain == AF_INET { SERVER_CONNECTION } else { UNTRACKED });
    fd as c_int
}

/// # Safety
/// The requirements of `connect(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, to: *const c_void, length: u32) -> c_int {
    let failed = match descriptor_type(fd) {
        SERVER_CONNECTION => first_failure(&[
            (Kind::ConnectNoAddress, EADDRNOTAVAIL),
            (Kind::ConnectUnreachable, ENETUNREACH),
            (Kind::ConnectNoBuffers, ENOBUFS),
        ]),
        _ => None,
    };
    failed.unwrap_or_else(|| syscall(number::CONNECT, fd, to, length)) as c_int
}

/// # Safety
/// The requirements of `epoll_wait(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    fd: c_int, events: *mut c_void, max_events: c_int, timeout: c_int,
) -> c_int {
    let failed = first_failure(&[(Kind::WaitInterrupted, EINTR)]);
    let wait = || syscall(number::EPOLL_PWAIT, fd, events, max_events, timeout, null_mut::<c_void>(), 8usize);
    failed.unwrap_or_else(wait) as c_int
}

/// # Safety
/// The requirements of `recv(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, bytes: *mut c_void, length: usize, flags: c_int) -> isize {
    if let Some(failed) = read_fault(fd) {
        return failed as isize;
    }
    let length =
        if descriptor_type(fd) == UNTRACKED { length } else { short_length(Kind::ReadShort, length) };
    let (no_address, no_length) = (null_mut::<c_void>(), null_mut::<u32>());
    syscall(number::RECVFROM, fd, bytes, length, flags, no_address, no_length) as isize
}

/// # Safety
/// The requirements of `send(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, bytes: *const c_void, length: usize, flags: c_int) -> isize {
    if let Some(failed) = write_fault(fd) {
        return failed as isize;
    }
    let length =
        if descriptor_type(fd) == UNTRACKED { length } else { short_length(Kind::WriteShort, length) };
    syscall(number::SENDTO, fd, bytes, length, flags, null_mut::<c_void>(), 0usize) as isize
}

/// # Safety
/// The requirements of `writev(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, buffers: *const IoVec, count: c_int) -> isize {
    if let Some(failed) = write_fault(fd) {
        return failed as isize;
    }
    let short = descriptor_type(fd) != UNTRACKED && count > 0 && injects(Kind::WriteShort);
    if short {
        // A short write accepts at most 64 bytes of the first buffer that is not empty.
        let first = (0..count as usize).map(|n| *buffers.add(n)).find(|buffer| buffer.length > 0);
        if let (Some(mut first), Some(control)) = (first, control()) {
            first.length = 1 + draw(control) as usize % first.length.min(64);
            return syscall(number::WRITEV, fd, &first, 1) as isize;
        }
    }
    syscall(number::WRITEV, fd, buffers, count) as isize
}
