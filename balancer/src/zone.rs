//! Localities of endpoints, and the two sides of this gateway's zone boundary.

/// The zone and the cell of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Locality {
    /// Zone, in the gateway's own numbering.
    pub zone: u32,
    /// Cell, a part of the zone.
    pub cell: u32,
}

/// A side of the zone boundary, as seen from this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ZoneSide {
    /// This gateway's own zone.
    Local,
    /// All other zones.
    Remote,
}

impl ZoneSide {
    /// Both sides, in the order in which the rules process them.
    pub const BOTH: [ZoneSide; 2] = [ZoneSide::Local, ZoneSide::Remote];

    /// Returns the side on which `zone` lies for a gateway in `own_zone`.
    pub fn of(zone: u32, own_zone: u32) -> Self {
        if zone == own_zone {
            ZoneSide::Local
        } else {
            ZoneSide::Remote
        }
    }
}

/// A value for each side of the zone boundary.
#[derive(Clone, Debug, Default)]
pub(crate) struct PerZoneSide<T> {
    /// Value for this gateway's own zone.
    pub local: T,
    /// Value for all other zones.
    pub remote: T,
}

impl<T> PerZoneSide<T> {
    pub fn get(&self, side: ZoneSide) -> &T {
        match side {
            ZoneSide::Local => &self.local,
            ZoneSide::Remote => &self.remote,
        }
    }

    pub fn get_mut(&mut self, side: ZoneSide) -> &mut T {
        match side {
            ZoneSide::Local => &mut self.local,
            ZoneSide::Remote => &mut self.remote,
        }
    }
}

impl<T> PerZoneSide<Vec<T>> {
    /// Iterates over all entries, local ones first.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.local.iter().chain(&self.remote)
    }

    /// Returns the number of entries on both sides.
    pub fn len(&self) -> usize {
        self.local.len() + self.remote.len()
    }
}
