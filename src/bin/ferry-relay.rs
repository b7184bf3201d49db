//! Entry point of `ferry-relay`, the router on hosts of the users' platform.

fn main() {
    ferry_router::relay::relay_app::main();
}
