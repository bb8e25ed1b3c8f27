//! Prints the tables of `docs/operations/settings.md`, the last column empty.

use wingshore_settings::catalogue;

fn main() {
    for role in catalogue() {
        println!("\n## `role = \"{}\"`\n", role.role);
        for key in role.keys {
            let default = key.default.map_or_else(
                || "must be there".to_owned(),
                |default| format!("`{default}`"),
            );
            let name = key.key.replace("[1]", "[]");
            println!("| `{name}` | {default} | {} | |", key.allowed);
        }
    }
}
