//! Parses durations and points in time as operators write them.

/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;
/// Milliseconds in a minute.
const MINUTE_MS: u64 = 60 * SECOND_MS;
/// Milliseconds in an hour.
const HOUR_MS: u64 = 60 * MINUTE_MS;
/// Milliseconds in a day.
const DAY_MS: u64 = 24 * HOUR_MS;
/// Days from 1 March of year 0, the start of the shifted calendar, to the Unix epoch.
const EPOCH_DAYS: i64 = 719_468;

/// Parses a duration such as `250ms`, `30s`, `20m`, `2h` or `1d` and returns milliseconds.
pub(crate) fn duration(text: &str) -> Option<u64> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let value: u64 = text[..digits].parse().ok()?;
    let unit = match &text[digits..] {
        "ms" => 1,
        "s" => SECOND_MS,
        "m" => MINUTE_MS,
        "h" => HOUR_MS,
        "d" => DAY_MS,
        _ => return None,
    };
    value.checked_mul(unit)
}

/// Parses a time such as `2027-01-31T18:30Z` or `2027-01-31T18:30:05Z` and returns Unix time in
/// milliseconds.
pub(crate) fn timestamp(text: &str) -> Option<u64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let mut date = date.splitn(3, '-').map(|part| part.parse::<i64>().ok());
    let (year, month, day) = (date.next()??, date.next()??, date.next()??);
    let mut time = time.splitn(3, ':').map(|part| part.parse::<u64>().ok());
    let (hour, minute) = (time.next()??, time.next()??);
    let second = time.next().unwrap_or(Some(0))?;
    let is_valid = (1970..10_000).contains(&year)
        && (1..=12).contains(&month)
        && (1..=days_in_month(year, month)).contains(&day)
        && hour < 24
        && minute < 60
        && second < 60;
    if !is_valid {
        return None;
    }
    let days = u64::try_from(days_from_epoch(year, month, day)).ok()?;
    Some(days * DAY_MS + hour * HOUR_MS + minute * MINUTE_MS + second * SECOND_MS)
}

/// Returns the number of days in a month of the Gregorian calendar.
fn days_in_month(year: i64, month: i64) -> i64 {
    let leap = year % 4 == 0 && (year % 100 != 0 || year % 400 == 0);
    match month {
        2 if leap => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}

/// Counts the days from the Unix epoch to a date of the Gregorian calendar.
///
/// Years are counted from March, which puts the leap day at the end of the year.
fn days_from_epoch(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    era * 146_097 + year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year
        - EPOCH_DAYS
}
