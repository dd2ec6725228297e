//! Configuration as it is stated, before it is indexed for lookup.

use std::sync::Arc;

use super::config::{
    CustomerRecord, ForwardConfig, ForwardConfigError, InvalidValue, RequestLimits, RouteRule,
    ServicePolicy,
};

/// A route and what indexing drops of it.
#[derive(Clone, Debug, PartialEq)]
pub struct StatedRoute {
    /// The route. Its targets may be empty, which `ConfigParts::into_config` refuses.
    pub rule: RouteRule,
    /// Names of the regions in `RouteRule::regions`.
    pub region_names: Vec<String>,
    /// Services of the split whose weight is not above 0.
    pub idle_services: Vec<Arc<str>>,
    /// The route has a split, and none of its weights is above 0.
    pub has_idle_split: bool,
}

/// A customer and its keys. Has no `Debug`, so that keys cannot get into a log.
#[derive(Clone, PartialEq, Eq)]
pub struct StatedCustomer {
    /// The customer.
    pub record: CustomerRecord,
    /// Names of the regions in `CustomerRecord::regions`.
    pub region_names: Vec<String>,
    /// Keys that identify the customer; secret.
    pub keys: Vec<String>,
}

/// Parts of a configuration in the order in which they are stated, with duplicates.
#[derive(Clone, PartialEq)]
pub struct ConfigParts {
    /// Version; increases with each change of the configuration.
    pub version: u64,
    /// Limits on what a caller may send.
    pub limits: RequestLimits,
    /// Routes.
    pub routes: Vec<StatedRoute>,
    /// Services.
    pub services: Vec<ServicePolicy>,
    /// Customers; `None` for an installation without customers.
    pub customers: Option<Vec<StatedCustomer>>,
    /// Values of services that cannot be used.
    pub invalid: Vec<InvalidValue>,
}

impl ConfigParts {
    /// Indexes the parts.
    ///
    /// # Errors
    ///
    /// Fails if a route has no target.
    pub fn into_config(self) -> Result<ForwardConfig, ForwardConfigError> {
        let routes = self.routes.into_iter().map(|route| route.rule).collect();
        let customers = self.customers.map(|customers| {
            customers.into_iter().map(|customer| (customer.record, customer.keys)).collect()
        });
        let config =
            ForwardConfig::new(self.version, self.limits, routes, self.services, customers)?;
        Ok(config.with_invalid(self.invalid))
    }
}
