//! Makes system calls of a process fail in ways that Linux documents, as another process tells it to.
//!
//! `fault-tests/build.rs` compiles this file alone into a library that the fault tests preload into gateways; the gateway's tests include
//! it as a module. It stands between the program and the C library: each function below takes the place of the one of the
//! same name, makes the call fail if its fault is due, and else carries it out.
//!
//! What is due stands in a [`Control`] that is mapped from the file at `TERNSTACK_FAULTS`, so that it can be changed from
//! outside at any moment; what has been injected is counted there.
mod files;
mod syscall_numbers;

use std::ffi::{c_char, c_int, c_long, c_void, CStr};
use std::ptr::null_mut;
use std::sync::atomic::Ordering::Relaxed;
use std::sync::atomic::{AtomicI32, AtomicI64, AtomicPtr, AtomicU32, AtomicU64, AtomicU8};
use syscall_numbers as number;

/// The variable that names the control file.
pub const CONTROL_VARIABLE: &CStr = c"TERNSTACK_FAULTS";
/// The variable that names the start of the paths whose files are subject to faults.
pub const FOLDER_VARIABLE: &CStr = c"TERNSTACK_FAULTS_FOLDER";
/// How many kinds of faults there may be.
pub const KINDS: usize = 32;
/// A rate of this injects at every call.
pub const ALWAYS: u32 = 1 << 16;

/// The kinds of faults, as places in [`Control::rates`] and [`Control::injected`].
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
    /// A read from a socket takes a part of the bytes.
    ReadShort = 10,
    /// A read from a socket fails with EINTR.
    ReadInterrupted = 11,
    /// A read from a server breaks the connection with ETIMEDOUT.
    ReadTimedOut = 12,
    /// A read from a server breaks the connection with EHOSTUNREACH.
    ReadHostUnreachable = 13,
    /// A write to a socket takes a part of the bytes.
    WriteShort = 14,
    /// A write to a socket fails with EINTR.
    WriteInterrupted = 15,
    /// A write to a server breaks the connection with ETIMEDOUT.
    WriteTimedOut = 16,
    /// A write to a server breaks the connection with EHOSTUNREACH.
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
    /// A write to a socket is delayed.
    WriteHeld = 23,
    /// A read from or write to a client breaks the connection with ETIMEDOUT.
    ClientTimedOut = 24,
    /// A read from or write to a client breaks the connection with EHOSTUNREACH.
    ClientUnreachable = 25,
    /// The wall clock is stepped.
    ClockStep = 26,
}

/// What is to be injected, and what has been. The fault tests read and write the same layout in the file.
#[derive(Default)]
#[repr(C)]
pub struct Control {
    /// Where the draws begin.
    pub seed: AtomicU64,
    /// What the wall clock is off by, in ns.
    pub wall_offset_ns: AtomicI64,
    /// Only calls of this thread are subject to faults; 0 for all threads.
    pub thread: AtomicI32,
    /// How long [`Kind::WriteHeld`] holds up a write, in ms.
    pub held_ms: AtomicU32,
    /// The chance of each kind, in parts of [`ALWAYS`].
    pub rates: [AtomicU32; KINDS],
    /// How often each kind has been injected.
    pub injected: [AtomicU64; KINDS],
}

static CONTROL: AtomicPtr<Control> = AtomicPtr::new(null_mut());
/// 0: not looked for yet; 1: there is none; 2: [`CONTROL`] has it.
static LOOKED: AtomicU8 = AtomicU8::new(0);

/// A descriptor that is not subject to faults.
const OTHER: u8 = 0;
/// A connection from a client.
const ACCEPTED: u8 = 1;
/// A socket for a connection to a server.
const CONNECTED: u8 = 2;
/// A file that is subject to faults.
const FILE: u8 = 3;
/// Descriptors from this number on are not subject to faults.
const DESCRIPTORS: usize = 65_536;
/// How each descriptor was opened.
static OPENED: [AtomicU8; DESCRIPTORS] = [const { AtomicU8::new(OTHER) }; DESCRIPTORS];

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

/// An `iovec`.
#[repr(C)]
#[derive(Clone, Copy)]
pub struct Slice {
    base: *mut c_void,
    length: usize,
}

/// A `timespec`.
#[repr(C)]
pub struct Time {
    seconds: i64,
    nanoseconds: i64,
}

extern "C" {
    fn syscall(number: c_long, ...) -> c_long;
    fn __errno_location() -> *mut c_int;
    fn getenv(name: *const c_char) -> *const c_char;
}

/// Has this process follow a control, in place of the file that the environment names.
pub fn set_control(control: &'static Control) {
    CONTROL.store(std::ptr::from_ref(control).cast_mut(), Relaxed);
    LOOKED.store(2, Relaxed);
}

fn control() -> Option<&'static Control> {
    if LOOKED.load(Relaxed) == 0 {
        LOOKED.store(1, Relaxed);
        // SAFETY: the variable's text ends with a zero byte, and the file is as long as `Control` and stays mapped.
        unsafe {
            let path = getenv(CONTROL_VARIABLE.as_ptr());
            if !path.is_null() {
                let file = syscall(number::OPENAT, AT_FDCWD, path, O_RDWR, 0);
                let length = size_of::<Control>();
                let at =
                    syscall(number::MMAP, 0usize, length, PROT_READ_WRITE, MAP_SHARED, file as c_int, 0usize);
                syscall(number::CLOSE, file as c_int);
                if file >= 0 && at > 0 {
                    CONTROL.store(at as *mut Control, Relaxed);
                    LOOKED.store(2, Relaxed);
                }
            }
        }
    }
    // SAFETY: what it points to is mapped, or static, for the rest of the process.
    unsafe { CONTROL.load(Relaxed).as_ref() }
}

/// The next draw of a generator that all threads share.
fn draw(control: &Control) -> u64 {
    let mut z = control.seed.fetch_add(0x9e37_79b9_7f4a_7c15, Relaxed);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Whether a fault is to be injected now; it is counted then.
fn due(kind: Kind) -> bool {
    let Some(control) = control() else { return false };
    let rate = control.rates[kind as usize].load(Relaxed);
    if rate == 0 || draw(control) as u32 % ALWAYS >= rate {
        return false;
    }
    let thread = control.thread.load(Relaxed);
    // SAFETY: the call has no arguments.
    if thread != 0 && c_long::from(thread) != unsafe { syscall(number::GETTID) } {
        return false;
    }
    control.injected[kind as usize].fetch_add(1, Relaxed);
    true
}

fn fail(error: c_int) -> c_long {
    // SAFETY: the place of this thread's error.
    unsafe { *__errno_location() = error };
    -1
}

/// The first due fault of some, each with its error.
fn failure(kinds: &[(Kind, c_int)]) -> Option<c_long> {
    kinds.iter().find(|(kind, _)| due(*kind)).map(|(_, error)| fail(*error))
}

fn opened(file: c_int) -> u8 {
    usize::try_from(file).ok().and_then(|n| OPENED.get(n)).map_or(OTHER, |kind| kind.load(Relaxed))
}

fn note(file: c_long, kind: u8) {
    if let Some(place) = usize::try_from(file).ok().and_then(|n| OPENED.get(n)) {
        place.store(kind, Relaxed);
    }
}

/// A connection that breaks: both ends see it, and the call fails with what the fault says.
fn broken(file: c_int, kinds: &[(Kind, c_int)]) -> Option<c_long> {
    let (_, error) = kinds.iter().find(|(kind, _)| due(*kind))?;
    // SAFETY: numbers only.
    unsafe { syscall(number::SHUTDOWN, file, SHUT_RDWR) };
    Some(fail(*error))
}

fn hold_up() {
    let held_ms = control().map_or(0, |control| control.held_ms.load(Relaxed));
    let time = Time { seconds: 0, nanoseconds: i64::from(held_ms.min(999)) * 1_000_000 };
    // SAFETY: the time lives through the call.
    unsafe { syscall(number::NANOSLEEP, &time, null_mut::<Time>()) };
}

/// How many bytes of so many a short read or write takes: some of them, one at least.
fn part(kind: Kind, length: usize) -> usize {
    match control() {
        Some(control) if length > 1 && due(kind) => 1 + (draw(control) as usize) % (length - 1).min(64),
        _ => length,
    }
}

fn read_fault(file: c_int) -> Option<c_long> {
    let lost = match opened(file) {
        OTHER | FILE => return None,
        CONNECTED => [(Kind::ReadTimedOut, ETIMEDOUT), (Kind::ReadHostUnreachable, EHOSTUNREACH)],
        _ => [(Kind::ClientTimedOut, ETIMEDOUT), (Kind::ClientUnreachable, EHOSTUNREACH)],
    };
    failure(&[(Kind::ReadInterrupted, EINTR)]).or_else(|| broken(file, &lost))
}

fn write_fault(file: c_int) -> Option<c_long> {
    let lost = match opened(file) {
        OTHER | FILE => return None,
        CONNECTED => [(Kind::WriteTimedOut, ETIMEDOUT), (Kind::WriteHostUnreachable, EHOSTUNREACH)],
        _ => [(Kind::ClientTimedOut, ETIMEDOUT), (Kind::ClientUnreachable, EHOSTUNREACH)],
    };
    if due(Kind::WriteHeld) {
        hold_up();
    }
    failure(&[(Kind::WriteInterrupted, EINTR), (Kind::WriteNoBuffers, ENOBUFS)])
        .or_else(|| broken(file, &lost))
}

/// # Safety
/// As `accept4(2)`.
#[no_mangle]
pub unsafe extern "C" fn accept4(file: c_int, from: *mut c_void, length: *mut u32, flags: c_int) -> c_int {
    let failed = failure(&[
        (Kind::AcceptAborted, ECONNABORTED),
        (Kind::AcceptFileTable, ENFILE),
        (Kind::AcceptNoBuffers, ENOBUFS),
        (Kind::AcceptInterrupted, EINTR),
    ]);
    let taken = failed.unwrap_or_else(|| syscall(number::ACCEPT4, file, from, length, flags));
    note(taken, ACCEPTED);
    taken as c_int
}

/// # Safety
/// As `socket(2)`.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    let failed = match domain {
        AF_INET => failure(&[(Kind::SocketFileTable, ENFILE), (Kind::SocketNoBuffers, ENOBUFS)]),
        _ => None,
    };
    let file = failed.unwrap_or_else(|| syscall(number::SOCKET, domain, kind, protocol));
    note(file, if domain == AF_INET { CONNECTED } else { OTHER });
    file as c_int
}

/// # Safety
/// As `connect(2)`.
#[no_mangle]
pub unsafe extern "C" fn connect(file: c_int, to: *const c_void, length: u32) -> c_int {
    let failed = match opened(file) {
        CONNECTED => failure(&[
            (Kind::ConnectNoAddress, EADDRNOTAVAIL),
            (Kind::ConnectUnreachable, ENETUNREACH),
            (Kind::ConnectNoBuffers, ENOBUFS),
        ]),
        _ => None,
    };
    failed.unwrap_or_else(|| syscall(number::CONNECT, file, to, length)) as c_int
}

/// # Safety
/// As `epoll_wait(2)`.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(file: c_int, events: *mut c_void, most: c_int, timeout: c_int) -> c_int {
    let failed = failure(&[(Kind::WaitInterrupted, EINTR)]);
    let wait = || syscall(number::EPOLL_PWAIT, file, events, most, timeout, null_mut::<c_void>(), 8usize);
    failed.unwrap_or_else(wait) as c_int
}

/// # Safety
/// As `recv(2)`.
#[no_mangle]
pub unsafe extern "C" fn recv(file: c_int, bytes: *mut c_void, length: usize, flags: c_int) -> isize {
    if let Some(failed) = read_fault(file) {
        return failed as isize;
    }
    let length = if opened(file) == OTHER { length } else { part(Kind::ReadShort, length) };
    let (nobody, size) = (null_mut::<c_void>(), null_mut::<u32>());
    syscall(number::RECVFROM, file, bytes, length, flags, nobody, size) as isize
}

/// # Safety
/// As `send(2)`.
#[no_mangle]
pub unsafe extern "C" fn send(file: c_int, bytes: *const c_void, length: usize, flags: c_int) -> isize {
    if let Some(failed) = write_fault(file) {
        return failed as isize;
    }
    let length = if opened(file) == OTHER { length } else { part(Kind::WriteShort, length) };
    syscall(number::SENDTO, file, bytes, length, flags, null_mut::<c_void>(), 0usize) as isize
}

/// # Safety
/// As `writev(2)`.
#[no_mangle]
pub unsafe extern "C" fn writev(file: c_int, slices: *const Slice, count: c_int) -> isize {
    if let Some(failed) = write_fault(file) {
        return failed as isize;
    }
    let short = opened(file) != OTHER && count > 0 && due(Kind::WriteShort);
    if short {
        // A short one takes a part of the first slice that has any bytes.
        let first = (0..count as usize).map(|n| *slices.add(n)).find(|slice| slice.length > 0);
        if let (Some(mut first), Some(control)) = (first, control()) {
            first.length = 1 + draw(control) as usize % first.length.min(64);
            return syscall(number::WRITEV, file, &first, 1) as isize;
        }
    }
    syscall(number::WRITEV, file, slices, count) as isize
}
