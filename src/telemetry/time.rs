//! Formats wall-clock times.

const SECOND_MS: u64 = 1_000;
const DAY_S: u64 = 86_400;

/// Formats a time in milliseconds since the Unix epoch as `YYYY-MM-DD HH:MM:SS` in UTC.
#[must_use]
pub fn utc_text(unix_ms: u64) -> String {
    let seconds = unix_ms / SECOND_MS;
    let (year, month, day) = civil_date(seconds / DAY_S);
    let rest = seconds % DAY_S;
    let (hour, minute, second) = (rest / 3_600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02}")
}

/// Converts days since 1970-01-01 to year, month and day.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // With years that begin in March, the leap day is the last day of its year, and all eras of 400 years have the same
    // length. The day count is shifted to 0000-03-01.
    let days = days + 719_468;
    let era = days / 146_097;
    let day_of_era = days % 146_097;
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
