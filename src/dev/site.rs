//! The two sites, scaled down to what one machine can carry.

use std::fmt;
use std::str::FromStr;

use crate::error::ModelError;
use crate::prelude::*;

/// Bundle of the Tuluá site.
const TULUA_BUNDLE: &str = include_str!("../../examples/tulua/bundle.ini");

/// Bundle of the Tran Hai site.
const TRAN_HAI_BUNDLE: &str = include_str!("../../examples/tran-hai/bundle.ini");

/// A site that runs sapphirecroft today.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    /// Empresa Municipal de Servicios Agrícolas de Tuluá.
    Tulua,
    /// Tran Hai Ramp Works.
    TranHai,
}

impl Site {
    /// Returns the text of the site's bundle.
    pub fn bundle(self) -> &'static str {
        match self {
            Self::Tulua => TULUA_BUNDLE,
            Self::TranHai => TRAN_HAI_BUNDLE,
        }
    }

    /// Returns the region's name.
    pub fn region(self) -> &'static str {
        match self {
            Self::Tulua => "valle",
            Self::TranHai => "mekong",
        }
    }

    /// Returns the availability zones.
    pub fn zones(self) -> &'static [&'static str] {
        match self {
            Self::Tulua => &["tulua", "buga", "sevilla"],
            Self::TranHai => &["can-tho", "vinh-long", "my-thuan", "cao-lanh"],
        }
    }

    /// Returns the name of the site's service.
    pub fn service(self) -> &'static str {
        match self {
            Self::Tulua => "ballast-booking",
            Self::TranHai => "grease-log",
        }
    }

    /// Returns the request classes, the most urgent first.
    pub fn classes(self) -> [&'static str; 3] {
        match self {
            Self::Tulua => ["fill-check", "booking", "report"],
            Self::TranHai => ["shift-entry", "crossing-log", "report"],
        }
    }

    /// Returns the batch classes, the most important first.
    pub fn batch_classes(self) -> [&'static str; 2] {
        match self {
            Self::Tulua => ["fleet-plan", "brine-monitor"],
            Self::TranHai => ["ramp-plan", "wear-monitor"],
        }
    }

    /// Returns the teams.
    pub fn teams(self) -> [&'static str; 2] {
        match self {
            Self::Tulua => ["tractor-service", "sugarcane-coop"],
            Self::TranHai => ["harbour-masters", "ramp-crews"],
        }
    }

    /// Returns the number of workers and the workers per rack.
    pub fn workers(self) -> (usize, usize) {
        match self {
            Self::Tulua => (65, 8),
            Self::TranHai => (50, 6),
        }
    }

    /// Returns the capacity of a worker.
    pub fn capacity(self) -> Resources {
        match self {
            Self::Tulua => Resources::new(64_000, 250_000, 0),
            Self::TranHai => Resources::new(32_000, 125_000, 0),
        }
    }
}

impl fmt::Display for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Tulua => "tulua",
            Self::TranHai => "tran-hai",
        })
    }
}

impl FromStr for Site {
    type Err = ModelError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "tulua" => Ok(Self::Tulua),
            "tran-hai" => Ok(Self::TranHai),
            _ => Err(ModelError::Number {
                kind: "site",
                text: text.to_string(),
            }),
        }
    }
}
