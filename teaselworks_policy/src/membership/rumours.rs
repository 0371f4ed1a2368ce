//! News waiting to ride on messages, each a bounded number of times.

use std::collections::BTreeMap;

use crate::name::Name;

#[derive(Clone, Debug)]
struct Rumour<T> {
    news: T,
    sent: u32,
}

/// News by subject; fresh ones go first.
#[derive(Clone, Debug)]
pub struct Rumours<T> {
    waiting: BTreeMap<Name, Rumour<T>>,
}

impl<T> Default for Rumours<T> {
    fn default() -> Self {
        Self { waiting: BTreeMap::new() }
    }
}

impl<T: Clone> Rumours<T> {
    /// Adds news, which replace older ones about the same subject.
    pub fn add(&mut self, subject: Name, news: T) {
        self.waiting.insert(subject, Rumour { news, sent: 0 });
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Counts `times` more sendings of the news that `known` names: a peer has them already.
    pub fn age(&mut self, times: u32, repeats: u32, known: impl Fn(&T) -> bool) {
        self.waiting.retain(|_, rumour| {
            if known(&rumour.news) {
                rumour.sent += times;
            }
            rumour.sent < repeats
        });
    }

    /// Takes the `limit` least sent news; each is forgotten after `repeats` times.
    ///
    /// ```
    /// use teaselworks_policy::membership::Rumours;
    ///
    /// let mut rumours = Rumours::default();
    /// rumours.add("a".into(), 1);
    /// assert_eq!(rumours.take(8, 2), [1]);
    /// assert_eq!(rumours.take(8, 2), [1]);
    /// assert!(rumours.is_empty());
    /// ```
    pub fn take(&mut self, limit: usize, repeats: u32) -> Vec<T> {
        let mut order: Vec<(u32, Name)> =
            self.waiting.iter().map(|(subject, rumour)| (rumour.sent, subject.clone())).collect();
        order.sort_by_key(|(sent, _)| *sent);
        order.truncate(limit);
        let mut taken = Vec::with_capacity(order.len());
        for (_, subject) in order {
            let Some(rumour) = self.waiting.get_mut(&subject) else { continue };
            taken.push(rumour.news.clone());
            rumour.sent += 1;
            if rumour.sent >= repeats {
                self.waiting.remove(&subject);
            }
        }
        taken
    }
}
