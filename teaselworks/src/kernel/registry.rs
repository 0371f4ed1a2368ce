//! Registry of services, which returns typed handles by name.

use std::any::Any;
use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;
use std::sync::{Arc, RwLock};

/// Name of a service, with the type of its handle as a type parameter.
#[derive(Debug)]
pub struct ServiceName<T> {
    name: &'static str,
    handle: PhantomData<fn() -> T>,
}

impl<T> ServiceName<T> {
    /// Creates the name of a service whose handle has the type `T`.
    pub const fn new(name: &'static str) -> Self {
        Self { name, handle: PhantomData }
    }

    /// Returns the name as a string.
    pub const fn as_str(&self) -> &'static str {
        self.name
    }
}

/// Error of a registration or a lookup; each variant contains the name of the service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceError {
    /// No service is registered under the name.
    Missing(&'static str),
    /// A service is already registered under the name.
    Duplicate(&'static str),
    /// The service is registered with another type than that of the [`ServiceName`].
    WrongType(&'static str),
}

impl fmt::Display for ServiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServiceError::Missing(name) => write!(f, "service {name} is not registered"),
            ServiceError::Duplicate(name) => write!(f, "service {name} is already registered"),
            ServiceError::WrongType(name) => write!(f, "service {name} is of another type"),
        }
    }
}

/// Services of one process, by name.
#[derive(Default)]
pub struct ServiceRegistry {
    services: RwLock<BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>>,
}

impl ServiceRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service; fails with [`ServiceError::Duplicate`] if the name is already
    /// registered.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use teaselworks::kernel::{ServiceRegistry, ServiceName};
    ///
    /// const COUNTER: ServiceName<u32> = ServiceName::new("counter");
    /// let registry = ServiceRegistry::new();
    /// registry.register(&COUNTER, Arc::new(7)).unwrap();
    /// assert_eq!(*registry.find(&COUNTER).unwrap(), 7);
    /// ```
    pub fn register<T: Send + Sync + 'static>(
        &self,
        name: &ServiceName<T>,
        service: Arc<T>,
    ) -> Result<(), ServiceError> {
        let mut services = self.services.write().expect("service registry lock is never poisoned");
        if services.contains_key(name.name) {
            return Err(ServiceError::Duplicate(name.name));
        }
        services.insert(name.name, service);
        Ok(())
    }

    /// Returns a service by name; fails if it is not registered or has another type.
    pub fn find<T: Send + Sync + 'static>(
        &self,
        name: &ServiceName<T>,
    ) -> Result<Arc<T>, ServiceError> {
        let services = self.services.read().expect("service registry lock is never poisoned");
        let service = services.get(name.name).ok_or(ServiceError::Missing(name.name))?;
        service.clone().downcast().map_err(|_| ServiceError::WrongType(name.name))
    }
}
