//! Encoding of rows of work, slowness and load.
//!
//! A fleet sends several thousand rows a second; this form takes about a quarter of the bytes of the same rows in CBOR. An upstream is named by a number of
//! 32 bits instead of its index in a sorted list, so that routers whose lists differ for a moment understand each other.

use xxhash_rust::xxh3::xxh3_64;

use super::{UpstreamWorkRow, WorkLoad};
use crate::registry::UpstreamIncarnation;

/// Parts of a row that are present.
const HAS_WORK: u8 = 1;
const HAS_SLOWNESS: u8 = 2;
const HAS_LOAD: u8 = 4;
const HAS_CONTENTION: u8 = 8;
/// Unit of work, in milliseconds; less matters to no choice.
const WORK_UNIT_MS: u32 = 32;
/// Unit of ages, in milliseconds.
const AGE_UNIT_MS: u32 = 16;
/// Units of a slowness and of its samples.
const SLOWNESS_UNITS: f64 = 64.0;
const SAMPLE_UNITS: f64 = 16.0;
/// Bytes of a number of 32 bits with seven bits in each byte.
const MAX_NUMBER_BYTES: usize = 5;

/// The rows of a message are malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error(
    "the rows end within a row, or hold a number that is too large; the router may be of a later build"
)]
pub struct RowError;

/// Number that stands for an incarnation of an upstream in messages.
pub fn short_id(incarnation: &UpstreamIncarnation) -> u32 {
    let born = incarnation.started_at.map_or(0, |at| at.0);
    let both = format!("{} {born}", incarnation.id);
    xxh3_64(both.as_bytes()) as u32
}

/// Appends `row` of the upstream with the short id `id`.
pub fn write_row(bytes: &mut Vec<u8>, id: u32, row: &UpstreamWorkRow) {
    let contention = row.load.and_then(|load| load.contention);
    let has_work = row.requests > 0 || row.work_ms > 0;
    let has_slowness = row.samples > 0.0;
    let flags = [
        (has_work, HAS_WORK),
        (has_slowness, HAS_SLOWNESS),
        (row.load.is_some(), HAS_LOAD),
        (contention.is_some(), HAS_CONTENTION),
    ];
    bytes.extend(id.to_le_bytes());
    bytes.push(
        flags
            .iter()
            .filter(|(has, _)| *has)
            .map(|(_, flag)| flag)
            .sum(),
    );
    if has_work {
        write_number(bytes, row.work_ms.div_ceil(WORK_UNIT_MS));
        write_number(bytes, row.requests);
    }
    if has_slowness {
        write_number(bytes, (row.slowness * SLOWNESS_UNITS).round() as u32);
        write_number(bytes, (row.samples * SAMPLE_UNITS).ceil() as u32);
    }
    if let Some(load) = row.load {
        let age = load.age_ms.div_ceil(AGE_UNIT_MS);
        for number in [load.running, load.waiting, load.slots, age] {
            write_number(bytes, number);
        }
        if let Some(percent) = contention {
            write_number(bytes, percent);
        }
    }
}

/// Decodes rows; those of upstreams whose short ids `find` doesn't know are left out.
///
/// # Errors
///
/// Fails when the bytes are no rows.
pub fn read_rows(
    mut bytes: &[u8],
    find: impl Fn(u32) -> Option<UpstreamIncarnation>,
) -> Result<Vec<UpstreamWorkRow>, RowError> {
    let mut rows = Vec::new();
    while let Some((id, rest)) = bytes.split_first_chunk() {
        bytes = rest;
        let id = u32::from_le_bytes(*id);
        let row = read_row(&mut bytes)?;
        if let Some(upstream) = find(id) {
            rows.push(UpstreamWorkRow { upstream, ..row });
        }
    }
    match bytes.is_empty() {
        true => Ok(rows),
        false => Err(RowError),
    }
}

/// Reads a row after its id.
fn read_row(bytes: &mut &[u8]) -> Result<UpstreamWorkRow, RowError> {
    let (flags, rest) = bytes.split_first().ok_or(RowError)?;
    *bytes = rest;
    let has = |flag| flags & flag != 0;
    let mut row = UpstreamWorkRow {
        upstream: UpstreamIncarnation {
            id: "".into(),
            started_at: None,
        },
        work_ms: 0,
        requests: 0,
        slowness: 1.0,
        samples: 0.0,
        load: None,
    };
    if has(HAS_WORK) {
        row.work_ms = read_number(bytes)?.saturating_mul(WORK_UNIT_MS);
        row.requests = read_number(bytes)?;
    }
    if has(HAS_SLOWNESS) {
        row.slowness = f64::from(read_number(bytes)?) / SLOWNESS_UNITS;
        row.samples = f64::from(read_number(bytes)?) / SAMPLE_UNITS;
    }
    if has(HAS_LOAD) {
        row.load = Some(WorkLoad {
            running: read_number(bytes)?,
            waiting: read_number(bytes)?,
            slots: read_number(bytes)?,
            age_ms: read_number(bytes)?.saturating_mul(AGE_UNIT_MS),
            contention: match has(HAS_CONTENTION) {
                true => Some(read_number(bytes)?),
                false => None,
            },
        });
    }
    Ok(row)
}

/// Appends `number`, seven bits in each byte, the lowest first.
pub(super) fn write_number(bytes: &mut Vec<u8>, mut number: u32) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

/// Reads a number that [`write_number`] wrote.
pub(super) fn read_number(bytes: &mut &[u8]) -> Result<u32, RowError> {
    let mut number = 0_u64;
    for index in 0..MAX_NUMBER_BYTES {
        let (byte, rest) = bytes.split_first().ok_or(RowError)?;
        *bytes = rest;
        number |= u64::from(byte & 0x7f) << (7 * index);
        if byte & 0x80 == 0 {
            return u32::try_from(number).map_err(|_| RowError);
        }
    }
    Err(RowError)
}
