//! Tables in Markdown, ready for a page.

/// Prints a heading and its rows.
pub fn print(heading: &[&str], rows: &[Vec<String>]) {
    println!("| {} |", heading.join(" | "));
    println!("|{}", "---|".repeat(heading.len()));
    for row in rows {
        println!("| {} |", row.join(" | "));
    }
    println!();
}
