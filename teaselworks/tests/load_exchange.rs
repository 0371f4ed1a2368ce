//! Datagrams of the exchange of offered load, and the task that sends and receives them.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ciborium::{Value, cbor};
use proptest::prelude::*;
use teaselworks::datagram::{LoadMessage, Message, decode_message, encode_message};
use teaselworks::kernel::Shutdown;
use teaselworks::metrics::Metrics;
use teaselworks::relay::Shared;
use teaselworks_policy::clock::SystemClock;
use teaselworks_policy::fleet::{Fleet, FleetSettings};
use teaselworks_policy::membership::Membership;
use teaselworks_policy::retry::BudgetSettings;
use teaselworks_policy::shares::{
    Exchange, ExchangeKind, ExchangeMessage, OfferedRow, RankLoad, ReportedLoad, SharesSettings,
    Totals, WorkspaceKey,
};
use teaselworks_policy::upstream::ColdSettings;

/// Latest totals by router and service.
type TotalsByRouter = HashMap<(usize, Arc<str>), Totals>;

const MAX_DATAGRAM_BYTES: usize = 1_400;

fn message(load: ReportedLoad, kind: ExchangeKind) -> ExchangeMessage {
    ExchangeMessage { process: u64::MAX, sequence: u64::MAX, service: u64::MAX, load, kind }
}

fn encode(message: &ExchangeMessage) -> Vec<u8> {
    encode_message(&Message::Load(LoadMessage::pack(message))).to_vec()
}

fn decode(bytes: &[u8]) -> Option<ExchangeMessage> {
    match decode_message(bytes)? {
        Message::Load(load) => Some(load.unpack()),
        _ => None,
    }
}

/// Returns rows with up to 256 ranks and loads of any size.
fn any_rows() -> impl Strategy<Value = Vec<OfferedRow>> {
    let slots = || prop_oneof![0.0..0.01, 0.0..10.0, 0.0..1e6, Just(f64::NAN), Just(-1.0)];
    let rank = (any::<u8>(), slots(), slots());
    let rank = rank.prop_map(|(rank, new, returning)| RankLoad { rank, new, returning });
    let row = (any::<u32>(), slots(), prop::collection::vec(rank, 0..30));
    let row = row.prop_map(|(key, usual, ranks)| OfferedRow {
        workspace: WorkspaceKey(key),
        usual,
        ranks,
    });
    prop::collection::vec(row, 0..500)
}

proptest! {
    /// Guards against messages that are too large for a datagram, or that their receiver rejects.
    #[test]
    fn every_message_fits_and_is_decoded(rows in any_rows()) {
        let mut membership = Membership::new("a".into(), vec![]);
        membership.put("b".into(), ([127, 0, 0, 1], 80).into());
        let load = ReportedLoad { rows, in_progress: 1e9, is_overloaded: true };
        let mut exchange = Exchange::new(u64::MAX);
        let own = [("chat".into(), load)];
        let sent = exchange.on_tick(Duration::ZERO, &membership, &own).remove(0).1;
        let age = Duration::MAX;
        let kinds = [
            sent.kind,
            ExchangeKind::Group { is_frequent: true, routers: 99_999, age },
            ExchangeKind::Fleet { answers: (u64::MAX, u64::MAX), routers: 99_999, age },
        ];
        for kind in kinds {
            let bytes = encode(&message(sent.load.clone(), kind));
            prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{}", bytes.len());
            let decoded = decode(&bytes);
            prop_assert!(decoded.is_some());
            prop_assert_eq!(decoded.unwrap().load.rows.len(), sent.load.rows.len());
        }
    }

    /// Guards against a panic, or numbers that are no load, by damaged datagrams.
    #[test]
    fn damaged_messages_are_rejected_or_harmless(
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..6),
        length in any::<prop::sample::Index>(),
    ) {
        let ranks = vec![RankLoad { rank: 1, new: 3.0, returning: 0.5 }];
        let rows = vec![OfferedRow { workspace: WorkspaceKey(7), usual: 2.0, ranks }; 5];
        let load = ReportedLoad { rows, in_progress: 4.0, is_overloaded: true };
        let kind = ExchangeKind::Group { is_frequent: true, routers: 3, age: Duration::ZERO };
        let mut bytes = encode(&message(load, kind));
        for (index, byte) in damage {
            let index = index.index(bytes.len());
            bytes[index] = byte;
        }
        bytes.truncate(length.index(bytes.len()) + 1);
        if let Some(message) = decode(&bytes) {
            let is_load = |slots: f64| (0.0..=1e6).contains(&slots);
            prop_assert!(is_load(message.load.in_progress));
            for row in &message.load.rows {
                prop_assert!(is_load(row.usual));
                prop_assert!(row.ranks.iter().all(|load| is_load(load.new) && is_load(load.returning)));
            }
        }
    }
}

/// Guards against numbers and lengths that no router sends, each in an otherwise valid message.
#[test]
fn numbers_out_of_bounds_are_rejected() {
    let valid = || [Value::from(1_000), Value::from(5), Value::from(2), Value::from(5)];
    let decode = |[in_progress, usual, routers, age]: [Value; 4], ranks: usize| {
        let ranks = vec![(0, 1, 1); ranks];
        let load = cbor!({
            "p" => 1, "q" => 1, "s" => 1, "o" => false, "r" => [[1, usual, ranks]],
            "n" => in_progress, "k" => {"g" => [true, routers, age]},
        });
        let mut bytes = Vec::new();
        ciborium::into_writer(&cbor!({ "load" => load.unwrap() }).unwrap(), &mut bytes).unwrap();
        decode(&bytes)
    };
    assert!(decode(valid(), 16).is_some());
    assert_eq!(decode(valid(), 17), None);
    for index in 0..4 {
        for wrong in
            [Value::from(-1), Value::from(f64::NAN), Value::from(0.5), 2_000_000_000.into()]
        {
            let mut values = valid();
            values[index] = wrong;
            assert_eq!(decode(values.clone(), 1), None, "{values:?}");
        }
    }
}

/// Guards against a driver that loses messages, or gives totals to the wrong service.
#[tokio::test]
async fn three_routers_exchange_their_load_over_sockets() {
    let sockets: Vec<_> =
        (0..3).map(|_| std::net::UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<_> = sockets.iter().map(|socket| socket.local_addr().unwrap()).collect();
    drop(sockets);
    let received: Arc<Mutex<TotalsByRouter>> = Arc::default();
    let settings = FleetSettings {
        load_factor: 1.25,
        cold: ColdSettings { overshoot: 1.5, slack: 5.0 },
        budget: BudgetSettings { ratio: 0.1, slack: 10.0, window: Duration::from_secs(10) },
        shares: SharesSettings::default(),
        max_staleness: Duration::from_secs(1),
    };
    for (number, address) in addresses.iter().enumerate() {
        let mut membership = Membership::new(format!("router-{number}").into(), vec![]);
        for (number, address) in addresses.iter().enumerate() {
            membership.put(format!("router-{number}").into(), *address);
        }
        let fleet = Fleet::new(settings, membership, 1);
        let clock = Arc::new(SystemClock::new());
        let metrics = Arc::new(Metrics::new());
        let shared =
            Arc::new(Shared::new(clock, metrics.clone(), Shutdown::new(), "zone".into(), fleet));
        shared.datagrams.open(*address).await.unwrap();
        let receiver = shared.clone();
        tokio::spawn(async move {
            receiver
                .datagrams
                .receive(|message, sender| receiver.on_message(message, sender))
                .await;
        });
        let received = received.clone();
        tokio::spawn(async move {
            let load = |in_progress| ReportedLoad { in_progress, ..ReportedLoad::default() };
            let own = move |_: &mut Fleet, _| {
                vec![("chat".into(), load(2.0)), ("tags".into(), load(1.0))]
            };
            let sink = |_: &mut Fleet, _, service: &Arc<str>, totals| {
                received.lock().unwrap().insert((number, service.clone()), totals);
            };
            shared.exchange_load(number as u64, own, sink).await;
        });
    }
    let is_whole = || {
        let received = received.lock().unwrap();
        let is_whole = |((_, service), totals): (&(usize, Arc<str>), &Totals)| {
            totals.routers == 3
                && totals.in_progress == if &**service == "chat" { 6.0 } else { 3.0 }
        };
        received.len() == 6 && received.iter().all(is_whole)
    };
    let waiting = async {
        while !is_whole() {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(10), waiting).await;
    assert!(waited.is_ok(), "{:?}", received.lock().unwrap());
}
