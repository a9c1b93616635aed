//! The tables of routes and pools, which operators edit and change together.

use std::collections;

use crate::{error, name, pool, revision, route};

/// The tables as operators declare them and as the store contains them.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declarations {
    /// The routes by name.
    #[serde(default)]
    pub routes: collections::BTreeMap<String, route::Declaration>,
    /// The pools by name.
    #[serde(default)]
    pub pools: collections::BTreeMap<String, pool::Declaration>,
}

/// A difference between two sets of declarations; the text names the entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TableChange {
    /// The entry is new.
    Add(String),
    /// The entry differs.
    Update(String),
    /// The entry is removed.
    Remove(String),
}

impl Declarations {
    /// Lists the changes if `next` replaced these declarations.
    pub fn diff(&self, next: &Declarations) -> Vec<TableChange> {
        let mut changes = diff_entries("route", &self.routes, &next.routes);
        changes.extend(diff_entries("pool", &self.pools, &next.pools));
        changes
    }

    /// Validates all entries and the references from routes to pools, and returns all errors.
    pub fn validation_errors(&self) -> Vec<error::Error> {
        let mut errors = Vec::new();
        for (name, declaration) in &self.pools {
            errors.extend(pool::Pool::try_from((name.as_str(), declaration)).err());
        }
        for (name, declaration) in &self.routes {
            match route::Route::try_from((name.as_str(), declaration)) {
                Ok(route) => errors.extend(self.check_pool(&route)),
                Err(e) => errors.push(e),
            }
        }
        errors
    }

    /// Returns an error if the pool of a route does not exist or is of the other kind.
    fn check_pool(&self, route: &route::Route) -> Option<error::Error> {
        let Some(pool) = self.pools.get(route.pool().as_str()) else {
            return Some(error::Error::DanglingPool {
                route: route.name().clone(),
                pool: route.pool().clone(),
            });
        };
        if pool.kind == route.kind() {
            return None;
        }
        Some(error::Error::InvalidDeclaration {
            field: format!("routes.{}.kind", route.name()),
            rule: error::Rule::KindMatchesPool,
        })
    }
}

/// Lists the differences between two tables, labelled with the kind of their entries.
fn diff_entries<T: PartialEq>(
    kind: &str,
    old: &collections::BTreeMap<String, T>,
    new: &collections::BTreeMap<String, T>,
) -> Vec<TableChange> {
    let mut changes = Vec::new();
    for (name, entry) in new {
        match old.get(name) {
            None => changes.push(TableChange::Add(format!("{kind} {name}"))),
            Some(before) if before != entry => {
                changes.push(TableChange::Update(format!("{kind} {name}")));
            }
            Some(_) => {}
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        changes.push(TableChange::Remove(format!("{kind} {name}")));
    }
    changes
}

/// Validated tables at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tables {
    revision: revision::Revision,
    routes: collections::BTreeMap<name::RouteName, route::Route>,
    pools: collections::BTreeMap<name::PoolName, pool::Pool>,
    declarations: Declarations,
}

impl Tables {
    /// Returns the revision of the tables.
    pub fn revision(&self) -> revision::Revision {
        self.revision
    }

    /// Returns the declarations that the tables were created from.
    pub fn declarations(&self) -> &Declarations {
        &self.declarations
    }

    /// Iterates over the routes in order of their names.
    pub fn routes(&self) -> impl Iterator<Item = &route::Route> {
        self.routes.values()
    }

    /// Iterates over the pools in order of their names.
    pub fn pools(&self) -> impl Iterator<Item = &pool::Pool> {
        self.pools.values()
    }

    /// Returns the pool with this name.
    pub fn pool(&self, name: &name::PoolName) -> Option<&pool::Pool> {
        self.pools.get(name)
    }

    /// Returns the route with this name and kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the route does not exist or is of the other kind.
    pub fn route(&self, name: &str, kind: route::Kind) -> error::Result<&route::Route> {
        let Some(route) = self.routes.get(name) else {
            let name = name.chars().take(name::MAX_NAME_BYTES).collect();
            return Err(error::Error::UnknownRoute(name));
        };
        if route.kind() != kind {
            return Err(error::Error::WrongRouteKind(route.name().clone()));
        }
        Ok(route)
    }

    /// Replaces the tables if `next` has a higher revision; returns `true` if they were replaced.
    ///
    /// Equal and lower revisions are ignored, so that tables in force are never reverted.
    pub fn replace_if_newer(&mut self, next: Tables) -> bool {
        if next.revision <= self.revision {
            return false;
        }
        *self = next;
        true
    }
}

impl TryFrom<(revision::Revision, Declarations)> for Tables {
    type Error = error::Error;

    /// # Errors
    ///
    /// Returns the first error of [`Declarations::validation_errors`].
    fn try_from(
        (revision, declarations): (revision::Revision, Declarations),
    ) -> error::Result<Tables> {
        if let Some(first_error) = declarations.validation_errors().into_iter().next() {
            return Err(first_error);
        }
        let mut routes = collections::BTreeMap::new();
        for (name, declaration) in &declarations.routes {
            let route = route::Route::try_from((name.as_str(), declaration))?;
            routes.insert(route.name().clone(), route);
        }
        let mut pools = collections::BTreeMap::new();
        for (name, declaration) in &declarations.pools {
            let pool = pool::Pool::try_from((name.as_str(), declaration))?;
            pools.insert(pool.name().clone(), pool);
        }
        Ok(Tables {
            revision,
            routes,
            pools,
            declarations,
        })
    }
}
