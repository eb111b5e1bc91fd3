//! Runs one script of `review/`. The first argument names it, the second one is the folder of its record.

mod builds;
mod keys;
mod part;
mod parts;

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let name = arguments.get(1).map_or("", String::as_str);
    let folder = arguments.get(2).map_or(".", String::as_str);
    match name {
        "builds" => builds::run(folder),
        "keys" => keys::run(folder),
        "part" => part::run(folder),
        _ => {
            eprintln!("no such script: {name}");
            std::process::exit(2);
        }
    }
}
