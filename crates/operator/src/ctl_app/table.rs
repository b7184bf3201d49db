//! Plain tables for people.

/// Prints `rows` under `heads`, each column as wide as its widest cell.
pub fn print(heads: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows
            .iter()
            .filter_map(|row| row.get(column))
            .map(String::len);
        cells.chain([heads[column].len()]).max().unwrap_or_default()
    };
    let widths: Vec<_> = (0..heads.len()).map(width).collect();
    let heads: Vec<_> = heads.iter().map(|head| (*head).to_owned()).collect();
    for row in std::iter::once(&heads).chain(rows) {
        println!("{}", line(row, &widths));
    }
}

fn line(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths);
    let padded: Vec<_> = padded
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    padded.join("  ").trim_end().to_owned()
}
