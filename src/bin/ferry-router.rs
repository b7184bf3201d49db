//! Entry point of `ferry-router`, the router in front of model engines and plain services.

fn main() {
    ferry_router::app::main();
}
