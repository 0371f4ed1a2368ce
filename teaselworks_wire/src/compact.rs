//! Short forms of what messages hold: arrays in place of maps, numbers in place of names.
//!
//! A number is the position in a list of values, so that lists only grow at their ends; any other
//! change of a form needs a new version of the protocol (`handshake::VERSIONS`).

use serde::de::Error as _;
use serde::ser::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use teaselworks_policy::placement::Claim;
use teaselworks_policy::verdict::Verdict;

const CLAIMS: [Claim; 4] = [Claim::Holder, Claim::IfHeld, Claim::Fresh, Claim::Last];
const VERDICTS: [Verdict; 3] = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];

fn write_number<S: Serializer, T: PartialEq>(
    value: &T,
    values: &[T],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.serialize_u8(number_of(value, values).map_err(S::Error::custom)?)
}

fn number_of<T: PartialEq>(value: &T, values: &[T]) -> Result<u8, &'static str> {
    let position = values.iter().position(|other| other == value);
    position.and_then(|position| u8::try_from(position).ok()).ok_or("a value without a number")
}

fn read_number<'de, D: Deserializer<'de>, T: Copy>(
    values: &[T],
    deserializer: D,
) -> Result<T, D::Error> {
    value_of(u8::deserialize(deserializer)?, values).map_err(D::Error::custom)
}

fn value_of<T: Copy>(number: u8, values: &[T]) -> Result<T, &'static str> {
    values.get(usize::from(number)).copied().ok_or("a number without a value")
}

pub(crate) mod claim {
    use super::{CLAIMS, Claim, Deserializer, Serializer, read_number, write_number};

    pub(crate) fn serialize<S: Serializer>(claim: &Claim, out: S) -> Result<S::Ok, S::Error> {
        write_number(claim, &CLAIMS, out)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Claim, D::Error> {
        read_number(&CLAIMS, input)
    }
}

pub(crate) mod priority {
    use teaselworks_policy::verdict::Priority;

    use super::{Deserializer, Serializer, read_number, write_number};

    pub(crate) fn serialize<S: Serializer>(value: &Priority, out: S) -> Result<S::Ok, S::Error> {
        write_number(value, &Priority::ALL, out)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Priority, D::Error> {
        read_number(&Priority::ALL, input)
    }
}

pub(crate) mod purpose {
    use super::{Deserialize, Deserializer, Serialize, Serializer, read_number, write_number};
    use crate::message::Purpose;

    impl Serialize for Purpose {
        fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
            write_number(self, &Purpose::ALL, serializer)
        }
    }

    impl<'de> Deserialize<'de> for Purpose {
        fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
            read_number(&Purpose::ALL, deserializer)
        }
    }
}

pub(crate) mod attempt {
    use teaselworks_policy::name::AttemptId;

    use super::{Deserialize, Deserializer, Serialize, Serializer};

    pub(crate) fn serialize<S: Serializer>(id: &AttemptId, out: S) -> Result<S::Ok, S::Error> {
        (&id.router, id.incarnation, id.sequence, id.attempt).serialize(out)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<AttemptId, D::Error> {
        let (router, incarnation, sequence, attempt) = Deserialize::deserialize(input)?;
        Ok(AttemptId { router, incarnation, sequence, attempt })
    }
}

pub(crate) mod refusal {
    use teaselworks_policy::verdict::{Refusal, RefusalReason};

    use super::{Deserialize, Deserializer, Serialize, Serializer, VERDICTS, number_of, value_of};
    use serde::de::Error as _;
    use serde::ser::Error as _;

    pub(crate) fn serialize<S: Serializer>(refusal: &Refusal, out: S) -> Result<S::Ok, S::Error> {
        let reason = number_of(&refusal.reason, &RefusalReason::ALL).map_err(S::Error::custom)?;
        let verdict = number_of(&refusal.verdict, &VERDICTS).map_err(S::Error::custom)?;
        (reason, verdict, refusal.retry_after_ms, &refusal.detail).serialize(out)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(input: D) -> Result<Refusal, D::Error> {
        let (reason, verdict, retry_after_ms, detail) = Deserialize::deserialize(input)?;
        let reason = value_of(reason, &RefusalReason::ALL).map_err(D::Error::custom)?;
        let verdict = value_of(verdict, &VERDICTS).map_err(D::Error::custom)?;
        Ok(Refusal { reason, verdict, retry_after_ms, detail })
    }
}

pub(crate) mod headers {
    use super::{Deserialize, Deserializer, Serializer};
    use crate::message::Header;

    pub(crate) fn serialize<S: Serializer>(headers: &[Header], out: S) -> Result<S::Ok, S::Error> {
        out.collect_seq(headers.iter().map(|header| (&header.name, &header.value)))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        input: D,
    ) -> Result<Vec<Header>, D::Error> {
        let fields = Vec::<(String, String)>::deserialize(input)?;
        Ok(fields.into_iter().map(|(name, value)| Header { name, value }).collect())
    }
}
