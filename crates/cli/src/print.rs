//! Printing answers for people and for programs.

use trace::Account;

use crate::client::Answer;

/// Prints an answer.
pub fn answer(answer: &Answer, json: bool, terminal: bool) {
    if json {
        match serde_json::to_string(answer) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("{error}"),
        }
        return;
    }
    match answer {
        Answer::Accepted { number, .. } => println!("accepted as change {number}"),
        Answer::Table { columns, rows } => table(columns, rows, terminal),
    }
}

/// Prints what is known of a request: the lines that bear on it, and why it ended as it did.
pub fn account(account: &Account, json: bool) {
    if json {
        match serde_json::to_string(account) {
            Ok(text) => println!("{text}"),
            Err(error) => eprintln!("{error}"),
        }
        return;
    }
    for line in &account.lines {
        println!("{} {}", line.node, line.text);
    }
    for cause in &account.causes {
        println!("cause: {cause}");
    }
}

fn table(columns: &[String], rows: &[Vec<String>], terminal: bool) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count());
        cells.chain([columns[column].len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    let line = |cells: &[String]| {
        let padded: Vec<String> =
            cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        padded.join("  ").trim_end().to_owned()
    };
    // Headings are for people only, so that scripts can read rows with cut and awk.
    if terminal {
        println!("{}", line(columns).to_uppercase());
    }
    for row in rows {
        println!("{}", line(row));
    }
}
