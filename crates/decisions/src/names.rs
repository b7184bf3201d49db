//! Names and identifiers used by all routers of the fleet.

use uuid::Uuid;

name_type! {
    /// Name of a router host or of an upstream.
    HostName;
    /// Name of an availability zone.
    ZoneName;
    /// Name of a region, which holds availability zones.
    RegionName;
    /// Name of a workspace.
    WorkspaceName;
    /// Name of a model.
    ModelName;
    /// Name of a version of a model.
    VersionName;
    /// Name of a cascade.
    CascadeName;
    /// Name of a routing rule.
    RuleName;
    /// Name of a plain service.
    ServiceName;
    /// Class of a request, by which the pass rates of a cascade are counted separately.
    ClassName;
    /// Identifier of a request, chosen by the caller or by the router.
    RequestId;
}

/// Random identifier of one incarnation of a router process, from its start to its end.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub Uuid);

impl Incarnation {
    /// Generates a new identifier.
    pub fn random() -> Self {
        Self(Uuid::new_v4())
    }
}

impl RequestId {
    /// Generates a UUIDv7 identifier, whose first bits contain the current time.
    pub fn generate() -> Self {
        Self::new(&Uuid::now_v7().to_string())
    }

    /// Time contained in a UUIDv7 identifier, in milliseconds since the Unix epoch.
    ///
    /// Returns `None` when the identifier is not a UUIDv7.
    pub fn time_ms(&self) -> Option<u64> {
        let uuid = Uuid::parse_str(self.as_str()).ok()?;
        if uuid.get_version_num() != 7 {
            return None;
        }
        let (seconds, nanos) = uuid.get_timestamp()?.to_unix();
        Some(seconds * 1_000 + u64::from(nanos) / 1_000_000)
    }
}
