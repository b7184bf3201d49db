//! Plain-text tables with aligned columns.

/// Prints `rows` under `headers`, each column as wide as its widest cell.
pub fn print(headers: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows
            .iter()
            .filter_map(|row| row.get(column))
            .map(String::len);
        cells
            .chain([headers[column].len()])
            .max()
            .unwrap_or_default()
    };
    let widths: Vec<_> = (0..headers.len()).map(width).collect();
    let headers: Vec<_> = headers.iter().map(|header| (*header).to_owned()).collect();
    for row in std::iter::once(&headers).chain(rows) {
        println!("{}", format_line(row, &widths));
    }
}

fn format_line(cells: &[String], widths: &[usize]) -> String {
    let padded = cells.iter().zip(widths);
    let padded: Vec<_> = padded
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    padded.join("  ").trim_end().to_owned()
}
