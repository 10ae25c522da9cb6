//! Functions of the C library for files and for the wall clock.
use super::*;

/// # Safety
/// The requirements of `read(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn read(fd: c_int, bytes: *mut c_void, length: usize) -> isize {
    let failed = match descriptor_type(fd) {
        TRACKED_FILE => first_failure(&[(Kind::FileRead, EIO)]),
        _ => None,
    };
    failed.unwrap_or_else(|| syscall(number::READ, fd, bytes, length)) as isize
}

/// # Safety
/// The requirements of `write(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, bytes: *const c_void, length: usize) -> isize {
    let failed = match descriptor_type(fd) {
        TRACKED_FILE => first_failure(&[(Kind::FileWrite, ENOSPC)]),
        _ => None,
    };
    failed.unwrap_or_else(|| syscall(number::WRITE, fd, bytes, length)) as isize
}

/// # Safety
/// The requirements of `fsync(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    let failed = first_failure(&[(Kind::FileSync, EIO)]);
    failed.unwrap_or_else(|| syscall(number::FSYNC, fd)) as c_int
}

/// # Safety
/// The requirements of `fdatasync(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn fdatasync(fd: c_int) -> c_int {
    let failed = first_failure(&[(Kind::FileSync, EIO)]);
    failed.unwrap_or_else(|| syscall(number::FDATASYNC, fd)) as c_int
}

/// # Safety
/// The requirements of `open(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: u32) -> c_int {
    let folder = getenv(FOLDER_VARIABLE.as_ptr());
    let injectable =
        !folder.is_null() && CStr::from_ptr(path).to_bytes().starts_with(CStr::from_ptr(folder).to_bytes());
    let failed = if injectable { first_failure(&[(Kind::FileOpen, ENFILE)]) } else { None };
    let fd = failed.unwrap_or_else(|| syscall(number::OPENAT, AT_FDCWD, path, flags, mode));
    set_descriptor_type(fd, if injectable { TRACKED_FILE } else { UNTRACKED });
    fd as c_int
}

/// # Safety
/// The requirements of `close(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn close(fd: c_int) -> c_int {
    set_descriptor_type(c_long::from(fd), UNTRACKED);
    syscall(number::CLOSE, fd) as c_int
}

/// # Safety
/// The requirements of `clock_gettime(2)` apply.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut TimeSpec) -> c_int {
    let result = syscall(number::CLOCK_GETTIME, clock, time);
    if let (CLOCK_REALTIME, 0, Some(control)) = (clock, result, control()) {
        let offset = control.wall_offset_ns.load(Relaxed);
        if offset != 0 {
            let now = i128::from((*time).seconds) * 1_000_000_000 + i128::from((*time).nanoseconds);
            let stepped = (now + i128::from(offset)).max(0);
            (*time).seconds = (stepped / 1_000_000_000) as i64;
            (*time).nanoseconds = (stepped % 1_000_000_000) as i64;
            control.injected[Kind::ClockStep as usize].fetch_add(1, Relaxed);
        }
    }
    result as c_int
}
