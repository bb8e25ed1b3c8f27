//! Labels of the metrics of a gateway, and the values that they take.

use crate::answer_matching::UnidentifiedAnswer;
use prometheus_client::encoding::EncodeLabelSet;

/// Labels of the counts of live requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct RequestLabels {
    pub(super) route: String,
    pub(super) outcome: &'static str,
}

/// Label of the times of live requests.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct RouteLabel {
    pub(super) route: String,
}

/// Label of counts by outcome.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct OutcomeLabel {
    pub(super) outcome: &'static str,
}

/// What became of a second attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SecondAttemptOutcome {
    /// It was sent to a server.
    Started,
    /// It yielded the answer.
    Won,
    /// It was due, but the budget did not allow it.
    OverBudget,
}

impl SecondAttemptOutcome {
    pub(super) const ALL: [Self; 3] = [Self::Started, Self::Won, Self::OverBudget];

    pub(super) fn label(self) -> OutcomeLabel {
        let outcome = match self {
            Self::Started => "started",
            Self::Won => "won",
            Self::OverBudget => "over_budget",
        };
        OutcomeLabel { outcome }
    }
}

/// How an answer arrived that does not belong to the request that waits on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UnmatchedKind {
    /// It carries the ID of another request, and was skipped.
    Mismatched,
    /// It belongs to no known request, so that the connection was closed.
    Unidentified(UnidentifiedAnswer),
    /// No request waits on the connection, which was closed.
    Idle,
    /// The bytes are no answer, or one without end, so that the connection was closed.
    Malformed,
    /// All answers together held too many bytes, and this one most.
    Dropped,
}

impl UnmatchedKind {
    pub(super) const ALL: [Self; 8] = [
        Self::Mismatched,
        Self::Unidentified(UnidentifiedAnswer::WithoutId),
        Self::Unidentified(UnidentifiedAnswer::SeveralIds),
        Self::Unidentified(UnidentifiedAnswer::Unsigned),
        Self::Unidentified(UnidentifiedAnswer::TooManyMismatched),
        Self::Idle,
        Self::Malformed,
        Self::Dropped,
    ];

    pub(super) fn label(self) -> KindLabel {
        let kind = match self {
            Self::Mismatched => "mismatched",
            Self::Unidentified(UnidentifiedAnswer::WithoutId) => "without_id",
            Self::Unidentified(UnidentifiedAnswer::SeveralIds) => "several_ids",
            Self::Unidentified(UnidentifiedAnswer::Unsigned) => "unsigned",
            Self::Unidentified(UnidentifiedAnswer::TooManyMismatched) => "too_many_mismatched",
            Self::Idle => "idle",
            Self::Malformed => "malformed",
            Self::Dropped => "dropped",
        };
        KindLabel { kind }
    }
}

/// Label of counts by kind.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct KindLabel {
    pub(super) kind: &'static str,
}

/// Labels of the counts of calls about batch jobs.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct CallLabels {
    pub(super) call: &'static str,
    pub(super) outcome: &'static str,
}

/// Label of the counts of answers of the directory.
#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
pub(super) struct AnswerLabel {
    pub(super) answer: &'static str,
}
