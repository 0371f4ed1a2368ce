//! Typed handles to services, found by name.

use std::any::Any;
use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;
use std::sync::{Arc, RwLock};

/// Name of a service and the type of its handle.
#[derive(Debug)]
pub struct ServiceName<T> {
    name: &'static str,
    handle: PhantomData<fn() -> T>,
}

impl<T> ServiceName<T> {
    /// Names a service whose handle is a `T`.
    pub const fn new(name: &'static str) -> Self {
        Self { name, handle: PhantomData }
    }

    /// Returns the name as text.
    pub const fn as_str(&self) -> &'static str {
        self.name
    }
}

/// Why a service could not be registered or found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServiceError {
    /// No service of that name is registered.
    Missing(&'static str),
    /// A service of that name is registered already.
    Duplicate(&'static str),
    /// The service's handle has another type than the name says.
    WrongType(&'static str),
}

impl fmt::Display for ServiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ServiceError::Missing(name) => write!(f, "no service named {name}"),
            ServiceError::Duplicate(name) => write!(f, "a second service named {name}"),
            ServiceError::WrongType(name) => write!(f, "service {name} has another type"),
        }
    }
}

/// Services of one process by name.
#[derive(Default)]
pub struct Registry {
    services: RwLock<BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>>,
}

impl Registry {
    /// Makes an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service; fails when the name is taken.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use teaselworks::kernel::{Registry, ServiceName};
    ///
    /// const COUNTER: ServiceName<u32> = ServiceName::new("counter");
    /// let registry = Registry::new();
    /// registry.register(&COUNTER, Arc::new(7)).unwrap();
    /// assert_eq!(*registry.find(&COUNTER).unwrap(), 7);
    /// ```
    pub fn register<T: Send + Sync + 'static>(
        &self,
        name: &ServiceName<T>,
        service: Arc<T>,
    ) -> Result<(), ServiceError> {
        let mut services = self.services.write().expect("registry lock is never poisoned");
        if services.contains_key(name.name) {
            return Err(ServiceError::Duplicate(name.name));
        }
        services.insert(name.name, service);
        Ok(())
    }

    /// Finds a service; fails when it is missing or of another type.
    pub fn find<T: Send + Sync + 'static>(
        &self,
        name: &ServiceName<T>,
    ) -> Result<Arc<T>, ServiceError> {
        let services = self.services.read().expect("registry lock is never poisoned");
        let service = services.get(name.name).ok_or(ServiceError::Missing(name.name))?;
        service.clone().downcast().map_err(|_| ServiceError::WrongType(name.name))
    }
}
