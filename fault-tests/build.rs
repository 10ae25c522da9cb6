//! Builds the shared library that makes system calls of a gateway fail. The sources are those in `shim/`,
//! without any crate.
use std::env;
use std::path::PathBuf;
use std::process::Command;

fn main() {
    println!("cargo:rerun-if-changed=shim");
    let compiler = env::var_os("RUSTC").unwrap_or_else(|| "rustc".into());
    let out = PathBuf::from(env::var_os("OUT_DIR").expect("cargo sets OUT_DIR"));
    let mut build = Command::new(compiler);
    build.args(["--edition", "2021", "--crate-type", "cdylib", "--crate-name", "ternstack_faults"]);
    build.args(["-C", "opt-level=2", "-C", "panic=abort", "-A", "dead_code"]);
    build.arg("shim/faults.rs").arg("-o").arg(out.join("faults.so"));
    let status = build.status().expect("the Rust compiler can be started");
    assert!(status.success(), "shim/faults.rs does not compile: {status}");
}
