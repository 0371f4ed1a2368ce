//! Order of configurations: a higher number wins, and each names the one it follows from.

use crate::name::Name;

/// Identity of a configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Version {
    /// Number; 0 before the first patch.
    pub number: u64,
    /// Digest over all patches that led to it; two configurations of one number differ in it.
    pub lineage: Name,
}

impl Version {
    /// Returns the version before the first patch.
    pub fn none() -> Self {
        Self { number: 0, lineage: "".into() }
    }
}

/// How an offered version stands to the one in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Relation {
    /// The same.
    Same,
    /// Newer: to be fetched.
    Newer,
    /// Older: a stale read, a peer that lags, or a platform restored from a backup.
    Older,
    /// Of the same number and another content.
    Diverged,
}

/// Compares an offered version with the one in force.
///
/// ```
/// use teaselworks_policy::store::version::{Relation, Version, relation};
///
/// let held = Version { number: 8, lineage: "a".into() };
/// let restored = Version { number: 5, lineage: "b".into() };
/// assert_eq!(relation(&held, &restored), Relation::Older);
/// ```
pub fn relation(held: &Version, offered: &Version) -> Relation {
    match offered.number.cmp(&held.number) {
        std::cmp::Ordering::Less => Relation::Older,
        std::cmp::Ordering::Greater => Relation::Newer,
        std::cmp::Ordering::Equal if offered.lineage == held.lineage => Relation::Same,
        std::cmp::Ordering::Equal => Relation::Diverged,
    }
}

/// What to do with a patch that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PatchStep {
    /// It is contained in what is in force.
    Skip,
    /// It comes next.
    Apply,
    /// Patches before it are missing.
    Gap,
    /// It follows from another configuration than the one in force.
    Foreign,
}

/// Places a patch that made `number` from `parent` against the version in force.
///
/// Only the number would not do: after a backup was restored and patched again, the platform's
/// patch 6 follows from another 5. Applied to ours it would make a configuration that no operator
/// ever accepted, on some routers only.
///
/// ```
/// use teaselworks_policy::store::version::{PatchStep, Version, patch_step};
///
/// let held = Version { number: 5, lineage: "a".into() };
/// assert_eq!(patch_step(&held, 6, "a"), PatchStep::Apply);
/// assert_eq!(patch_step(&held, 6, "b"), PatchStep::Foreign);
/// assert_eq!(patch_step(&held, 7, "c"), PatchStep::Gap);
/// ```
pub fn patch_step(held: &Version, number: u64, parent: &str) -> PatchStep {
    if number <= held.number {
        return PatchStep::Skip;
    }
    if number > held.number + 1 {
        return PatchStep::Gap;
    }
    if *held.lineage != *parent {
        return PatchStep::Foreign;
    }
    PatchStep::Apply
}

/// What the platform holds when a patch is to be committed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission<'a> {
    /// Version that the platform's head names.
    pub head: &'a Version,
    /// Number under which a patch of this identifier was accepted.
    pub accepted_as: Option<u64>,
    /// Whether that patch had this content.
    pub same_content: bool,
    /// Number that the submitter saw.
    pub expect: u64,
}

/// What to do next with a submitted patch.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmissionStep {
    /// It was accepted under this number, now or by an earlier try.
    Accepted(u64),
    /// Its identifier belongs to another patch.
    IdentifierTaken,
    /// Others were accepted since the submitter looked.
    Stale,
    /// The submitter names a number that does not exist yet, or the router lags: load and look
    /// again.
    Load,
    /// The platform is behind this router, or holds another configuration of the number.
    PlatformBehind,
    /// Validate and write it.
    Commit,
}

/// Decides what to do with a submitted patch, given the version in force here.
///
/// The identifier goes first: after a lost answer the patch itself has moved the head, and the
/// number alone would call its own resubmission stale.
///
/// ```
/// use teaselworks_policy::store::version::{Submission, SubmissionStep, Version, submission_step};
///
/// let head = Version { number: 6, lineage: "b".into() };
/// let lost =
///     Submission { head: &head, accepted_as: Some(6), same_content: true, expect: 5 };
/// assert_eq!(submission_step(&head, &lost), SubmissionStep::Accepted(6));
/// ```
pub fn submission_step(held: &Version, submission: &Submission<'_>) -> SubmissionStep {
    if let Some(number) = submission.accepted_as {
        return match submission.same_content {
            true => SubmissionStep::Accepted(number),
            false => SubmissionStep::IdentifierTaken,
        };
    }
    match relation(held, submission.head) {
        Relation::Older | Relation::Diverged => SubmissionStep::PlatformBehind,
        Relation::Newer => SubmissionStep::Load,
        Relation::Same if submission.expect != held.number => SubmissionStep::Stale,
        Relation::Same => SubmissionStep::Commit,
    }
}
