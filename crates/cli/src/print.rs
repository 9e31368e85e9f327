//! Prints answers as text for people or as JSON for programs.

use trace::Explanation;

use crate::client::Answer;

/// Prints an answer as JSON, or as text whose tables have a heading if `heading` is set.
pub fn answer(answer: &Answer, json: bool, heading: bool) {
    if json {
        match serde_json::to_string(answer) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("{error}"),
        }
        return;
    }
    match answer {
        Answer::Accepted { number, .. } => println!("accepted as change {number}"),
        Answer::Table { columns, rows } => table(columns, rows, heading),
    }
}

/// Prints why a request failed or was late, after the log lines that show it.
pub fn explanation(explanation: &Explanation, json: bool) {
    if json {
        match serde_json::to_string(explanation) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("{error}"),
        }
        return;
    }
    for line in &explanation.lines {
        println!("{} {}", line.node, line.text);
    }
    for cause in &explanation.causes {
        println!("cause: {cause}");
    }
}

fn table(columns: &[String], rows: &[Vec<String>], heading: bool) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain([columns[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let format_row = |cells: &[String]| {
        let padded: Vec<String> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        padded.join("  ").trim_end().to_owned()
    };
    // Without a heading, scripts can process the rows with cut and awk.
    if heading {
        println!("{}", format_row(columns).to_uppercase());
    }
    for row in rows {
        println!("{}", format_row(row));
    }
}
