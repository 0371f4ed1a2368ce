//! Tells since when this router owns a workspace.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use teaselworks_policy::membership::{View, owner_of};
use teaselworks_policy::name::Name;

/// Views remembered, each from when it was first seen.
const VIEWS: usize = 8;

/// The last views that differ in who may own.
///
/// A list of workspaces with a time each would cost a pass over all of them at every change of the
/// fleet; the views cost a few hashes when a workspace asks.
#[derive(Debug)]
pub struct Ownership {
    router: Name,
    views: VecDeque<(Duration, Arc<View>)>,
}

impl Ownership {
    /// Makes a memory without views.
    pub fn new(router: Name) -> Self {
        Self { router, views: VecDeque::new() }
    }

    /// Takes the present view, if its owners are others than those of the last one.
    pub fn note(&mut self, now: Duration, view: &Arc<View>) {
        let last = self.views.back();
        if last.is_some_and(|(_, last)| Arc::ptr_eq(last, view) || same_owners(last, view)) {
            return;
        }
        if self.views.len() == VIEWS {
            self.views.pop_front();
        }
        self.views.push_back((now, view.clone()));
    }

    /// Returns since when the workspace was never another router's by the views remembered;
    /// `None` when another router owns it now.
    pub fn owned_since(&self, workspace: &str) -> Option<Duration> {
        let mut owned_since = None;
        for (since, view) in self.views.iter().rev() {
            let owner = owner_of(view, workspace, None);
            if owner.is_none_or(|owner| owner.name != self.router) {
                break;
            }
            owned_since = Some(*since);
        }
        owned_since
    }
}

fn same_owners(a: &View, b: &View) -> bool {
    a.owners().map(|owner| &owner.name).eq(b.owners().map(|owner| &owner.name))
}
