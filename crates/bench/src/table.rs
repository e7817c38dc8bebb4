//! Output of Markdown tables.

/// Prints a Markdown table and an empty line.
pub fn print(heading: &[&str], rows: &[Vec<String>]) {
    println!("| {} |", heading.join(" | "));
    println!("|{}", "---|".repeat(heading.len()));
    for row in rows {
        println!("| {} |", row.join(" | "));
    }
    println!();
}
