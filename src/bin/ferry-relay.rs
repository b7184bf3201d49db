//! The router on a host of the users' platform.

fn main() {
    ferry_router::relay::relay_app::main();
}
