//! Encoding of rows of demand. About 16 bytes a row: an answer to a router has a row for each workspace and priority of the fleet.

use super::demand_row::{DemandKey, DemandRow};
use super::row_codec::{RowError, read_number, write_number};

/// Unit of ages, in milliseconds.
const AGE_UNIT_MS: u32 = 16;

/// Encodes `rows`.
pub fn write_demand(rows: &[DemandRow]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for row in rows {
        bytes.extend(row.key.service.to_le_bytes());
        bytes.extend(row.key.workspace.to_le_bytes());
        bytes.push(row.key.priority);
        let age = row.age_ms.div_ceil(AGE_UNIT_MS);
        for number in [row.demand, row.completed, age] {
            write_number(&mut bytes, number);
        }
    }
    bytes
}

/// Decodes rows.
///
/// # Errors
///
/// Fails when the bytes are no rows.
pub fn read_demand(mut bytes: &[u8]) -> Result<Vec<DemandRow>, RowError> {
    let mut rows = Vec::new();
    while !bytes.is_empty() {
        let service = read_id(&mut bytes)?;
        let workspace = read_id(&mut bytes)?;
        let (priority, rest) = bytes.split_first().ok_or(RowError)?;
        bytes = rest;
        rows.push(DemandRow {
            key: DemandKey {
                service,
                workspace,
                priority: *priority,
            },
            demand: read_number(&mut bytes)?,
            completed: read_number(&mut bytes)?,
            age_ms: read_number(&mut bytes)?.saturating_mul(AGE_UNIT_MS),
        });
    }
    Ok(rows)
}

fn read_id(bytes: &mut &[u8]) -> Result<u32, RowError> {
    let (id, rest) = bytes.split_first_chunk().ok_or(RowError)?;
    *bytes = rest;
    Ok(u32::from_le_bytes(*id))
}
