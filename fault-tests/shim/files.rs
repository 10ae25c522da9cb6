//! Calls on files and on the wall clock.
use super::*;

/// # Safety
/// As `read(2)`.
#[no_mangle]
pub unsafe extern "C" fn read(file: c_int, bytes: *mut c_void, length: usize) -> isize {
    let failed = match opened(file) {
        FILE => failure(&[(Kind::FileRead, EIO)]),
        _ => None,
    };
    failed.unwrap_or_else(|| syscall(number::READ, file, bytes, length)) as isize
}

/// # Safety
/// As `write(2)`.
#[no_mangle]
pub unsafe extern "C" fn write(file: c_int, bytes: *const c_void, length: usize) -> isize {
    let failed = match opened(file) {
        FILE => failure(&[(Kind::FileWrite, ENOSPC)]),
        _ => None,
    };
    failed.unwrap_or_else(|| syscall(number::WRITE, file, bytes, length)) as isize
}

/// # Safety
/// As `fsync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fsync(file: c_int) -> c_int {
    let failed = failure(&[(Kind::FileSync, EIO)]);
    failed.unwrap_or_else(|| syscall(number::FSYNC, file)) as c_int
}

/// # Safety
/// As `fdatasync(2)`.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(file: c_int) -> c_int {
    let failed = failure(&[(Kind::FileSync, EIO)]);
    failed.unwrap_or_else(|| syscall(number::FDATASYNC, file)) as c_int
}

/// # Safety
/// As `open(2)`.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: u32) -> c_int {
    let folder = getenv(FOLDER_VARIABLE.as_ptr());
    let ours =
        !folder.is_null() && CStr::from_ptr(path).to_bytes().starts_with(CStr::from_ptr(folder).to_bytes());
    let failed = if ours { failure(&[(Kind::FileOpen, ENFILE)]) } else { None };
    let file = failed.unwrap_or_else(|| syscall(number::OPENAT, AT_FDCWD, path, flags, mode));
    note(file, if ours { FILE } else { OTHER });
    file as c_int
}

/// # Safety
/// As `close(2)`.
#[no_mangle]
pub unsafe extern "C" fn close(file: c_int) -> c_int {
    note(c_long::from(file), OTHER);
    syscall(number::CLOSE, file) as c_int
}

/// # Safety
/// As `clock_gettime(2)`.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Time) -> c_int {
    let done = syscall(number::CLOCK_GETTIME, clock, time);
    if let (CLOCK_REALTIME, 0, Some(control)) = (clock, done, control()) {
        let offset = control.wall_offset_ns.load(Relaxed);
        if offset != 0 {
            let now = i128::from((*time).seconds) * 1_000_000_000 + i128::from((*time).nanoseconds);
            let stepped = (now + i128::from(offset)).max(0);
            (*time).seconds = (stepped / 1_000_000_000) as i64;
            (*time).nanoseconds = (stepped % 1_000_000_000) as i64;
            control.injected[Kind::ClockStep as usize].fetch_add(1, Relaxed);
        }
    }
    done as c_int
}
