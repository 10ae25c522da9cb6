//! Numbers of Linux system calls, for each architecture that the shim supports.
#[cfg(target_arch = "aarch64")]
pub use aarch64::*;
#[cfg(target_arch = "x86_64")]
pub use x86_64::*;

#[cfg(target_arch = "x86_64")]
mod x86_64 {
    use std::ffi::c_long;
    pub const READ: c_long = 0;
    pub const WRITE: c_long = 1;
    pub const CLOSE: c_long = 3;
    pub const MMAP: c_long = 9;
    pub const WRITEV: c_long = 20;
    pub const NANOSLEEP: c_long = 35;
    pub const SOCKET: c_long = 41;
    pub const CONNECT: c_long = 42;
    pub const SENDTO: c_long = 44;
    pub const RECVFROM: c_long = 45;
    pub const SHUTDOWN: c_long = 48;
    pub const FSYNC: c_long = 74;
    pub const FDATASYNC: c_long = 75;
    pub const GETTID: c_long = 186;
    pub const CLOCK_GETTIME: c_long = 228;
    pub const OPENAT: c_long = 257;
    pub const EPOLL_PWAIT: c_long = 281;
    pub const ACCEPT4: c_long = 288;
}
#[cfg(target_arch = "aarch64")]
mod aarch64 {
    use std::ffi::c_long;
    pub const EPOLL_PWAIT: c_long = 22;
    pub const OPENAT: c_long = 56;
    pub const CLOSE: c_long = 57;
    pub const READ: c_long = 63;
    pub const WRITE: c_long = 64;
    pub const WRITEV: c_long = 66;
    pub const FSYNC: c_long = 82;
    pub const FDATASYNC: c_long = 83;
    pub const NANOSLEEP: c_long = 101;
    pub const CLOCK_GETTIME: c_long = 113;
    pub const GETTID: c_long = 178;
    pub const SOCKET: c_long = 198;
    pub const CONNECT: c_long = 203;
    pub const SENDTO: c_long = 206;
    pub const RECVFROM: c_long = 207;
    pub const SHUTDOWN: c_long = 210;
    pub const MMAP: c_long = 222;
    pub const ACCEPT4: c_long = 242;
}
