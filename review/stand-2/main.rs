//! Runs one case of the second review: `stand CASE FOLDER`. Exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run.

mod base;
mod large_bodies;
mod lost_disk;
mod open_jobs;
mod platform;
mod remembered_items;
mod silent_links;

fn main() {
    // A stand-in that cannot do its part makes the case one that could not run. The programs end with
    // this process.
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        std::process::exit(base::CANNOT_RUN);
    }));
    let words: Vec<String> = std::env::args().collect();
    let (case, folder) = match &words[..] {
        [_, case, folder] => (case.as_str(), folder.as_str()),
        _ => std::process::exit(base::CANNOT_RUN),
    };
    let code = match case {
        "silent-links" => silent_links::run(folder),
        "remembered-items" => remembered_items::run(folder),
        "lost-disk" => lost_disk::run(folder),
        "open-jobs" => open_jobs::run(folder),
        "large-bodies" => large_bodies::run(folder),
        _ => base::CANNOT_RUN,
    };
    std::process::exit(code);
}
