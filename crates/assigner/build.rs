//! The test runner finds scenario files when it is compiled, so a new one must make cargo compile it again.

fn main() {
    println!("cargo:rerun-if-changed=tests/scenarios");
}
