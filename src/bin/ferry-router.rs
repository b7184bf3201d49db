//! Entry point of `ferry-router`.

fn main() {
    ferry_router::app::main();
}
