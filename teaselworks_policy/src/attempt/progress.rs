//! How far the bytes of one attempt got, and the verdict that follows.

use crate::verdict::Verdict;

/// How far one attempt got; it only moves forward.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Progress {
    /// No byte of the request was handed to a socket towards the upstream.
    #[default]
    NothingSent,
    /// A byte of the request may be on its way to the upstream.
    MaySent,
    /// The upstream began to answer.
    Answered,
}

impl Progress {
    /// Notes that bytes are about to be written.
    ///
    /// To be called before the write: a write that fails may have passed bytes on, so a note made
    /// after a successful write only would call such an attempt not run.
    pub fn sending(&mut self) {
        *self = (*self).max(Progress::MaySent);
    }

    /// Notes that the head of the answer arrived.
    pub fn answered(&mut self) {
        *self = Progress::Answered;
    }

    /// Returns the verdict if the attempt failed now.
    ///
    /// ```
    /// use teaselworks_policy::attempt::Progress;
    /// use teaselworks_policy::verdict::Verdict;
    ///
    /// let mut progress = Progress::default();
    /// assert_eq!(progress.verdict(), Verdict::NotRun);
    /// progress.sending();
    /// assert_eq!(progress.verdict(), Verdict::MayHaveRun);
    /// ```
    pub fn verdict(self) -> Verdict {
        match self {
            Progress::NothingSent => Verdict::NotRun,
            Progress::MaySent => Verdict::MayHaveRun,
            Progress::Answered => Verdict::Ran,
        }
    }

    /// Returns the verdict after the one asked said `stated`.
    ///
    /// Its statement that nothing ran is taken while no answer began: it alone knows. Once an
    /// answer began, a statement that nothing ran is a contradiction and is not believed.
    pub fn verdict_stated(self, stated: Verdict) -> Verdict {
        if self == Progress::Answered { Verdict::Ran } else { stated }
    }
}
