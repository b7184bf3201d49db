//! Ends of answers in all sequences of up to six events of an upstream's life.

use ferry_decisions::ends::{AnswerEnd, EndMark, EndPlace, EndVerdict, ProcessSign};

/// Number of events of the longest sequences.
const LONGEST: u32 = 6;

/// What happens to an upstream that is sending an answer without framing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LifeEvent {
    /// The answer comes to its end.
    Complete,
    /// The process ends, and the answer with it.
    Crash,
    /// The process starts again at the same address.
    Restart,
    /// It says that it leaves.
    Leave,
    /// It asks for a pause.
    Pause,
    /// The router's own path to it is lost.
    LosePath,
    /// The path works again.
    HealPath,
}

const EVENTS: [LifeEvent; 7] = [
    LifeEvent::Complete,
    LifeEvent::Crash,
    LifeEvent::Restart,
    LifeEvent::Leave,
    LifeEvent::Pause,
    LifeEvent::LosePath,
    LifeEvent::HealPath,
];

/// Who listens at the upstream's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listener {
    /// The process that sent the answer.
    Sender,
    Nobody,
    /// A later process.
    Successor,
}

#[derive(Debug, Clone, Copy)]
struct Life {
    listener: Listener,
    is_leaving: bool,
    is_path_lost: bool,
    /// Whether the answer is whole; absent while it goes on.
    is_whole: Option<bool>,
}

impl Life {
    const NEW: Self = Self {
        listener: Listener::Sender,
        is_leaving: false,
        is_path_lost: false,
        is_whole: None,
    };

    fn after(mut self, event: LifeEvent) -> Self {
        match event {
            LifeEvent::Complete if self.listener == Listener::Sender => {
                self.is_whole = self.is_whole.or(Some(true));
            }
            LifeEvent::Crash => {
                self.listener = Listener::Nobody;
                self.is_whole = self.is_whole.or(Some(false));
            }
            LifeEvent::Restart if self.listener == Listener::Nobody => {
                self.listener = Listener::Successor;
            }
            LifeEvent::Leave => self.is_leaving = true,
            LifeEvent::LosePath => self.is_path_lost = true,
            LifeEvent::HealPath => self.is_path_lost = false,
            // A pause is about requests; connections are accepted as before.
            LifeEvent::Complete | LifeEvent::Restart | LifeEvent::Pause => {}
        }
        self
    }

    /// What a connection says that the router opens now, and on which it asks the process who it is.
    fn own_sign(&self) -> ProcessSign {
        match (self.is_path_lost, self.listener) {
            (true, _) => ProcessSign::Unreached,
            (false, Listener::Nobody) => ProcessSign::Refused,
            (false, Listener::Sender) => ProcessSign::Same,
            (false, Listener::Successor) => ProcessSign::Replaced,
        }
    }

    /// The verdict now, with another router that reaches the upstream's host or without one.
    fn verdict(&self, place: EndPlace, has_witness: bool) -> EndVerdict {
        let end = AnswerEnd {
            mark: EndMark::Close,
            place,
        };
        let is_reached = has_witness && self.listener == Listener::Sender;
        let sign = self.own_sign().with_witness(is_reached);
        end.plain_verdict()
            .unwrap_or_else(|| end.verdict(sign, self.is_leaving))
    }
}

/// Calls `check` with each sequence of up to [`LONGEST`] events, and with the life that it leads to.
fn for_each_life(mut check: impl FnMut(&[LifeEvent], Life)) {
    for length in 0..=LONGEST {
        for number in 0..EVENTS.len().pow(length) {
            let mut rest = number;
            let events: Vec<_> = (0..length)
                .map(|_| {
                    let event = EVENTS[rest % EVENTS.len()];
                    rest /= EVENTS.len();
                    event
                })
                .collect();
            let life = events
                .iter()
                .fold(Life::NEW, |life, event| life.after(*event));
            check(&events, life);
        }
    }
}

/// Guards against an answer that its upstream's end cut off and that counts as whole, also where the next process listens at the same address
/// before anybody asks.
#[test]
fn no_answer_that_a_dead_process_cut_off_counts_as_whole() {
    let mut cut = 0;
    for_each_life(|events, life| {
        if life.is_whole != Some(false) {
            return;
        }
        cut += 1;
        for has_witness in [false, true] {
            let verdict = life.verdict(EndPlace::Boundary, has_witness);
            assert_ne!(
                verdict,
                EndVerdict::Whole,
                "{events:?}, witness: {has_witness}"
            );
        }
    });
    assert!(cut > 0);
}

/// The price of the check: an answer of a process that lives and that somebody reaches is always delivered, whatever it said of itself.
#[test]
fn each_whole_answer_of_a_process_that_is_reached_counts_as_whole() {
    for_each_life(|events, life| {
        if life.is_whole != Some(true) || life.listener != Listener::Sender {
            return;
        }
        let verdict = life.verdict(EndPlace::Boundary, true);
        assert_eq!(verdict, EndVerdict::Whole, "{events:?}");
        let alone = life.verdict(EndPlace::Boundary, false);
        let expected = match life.is_path_lost {
            true => EndVerdict::Unproven,
            false => EndVerdict::Whole,
        };
        assert_eq!(alone, expected, "{events:?}");
    });
}

/// A process that leaves ends when it is done: its end is no evidence against it.
#[test]
fn the_end_of_a_process_that_leaves_is_not_held_against_it() {
    for_each_life(|events, life| {
        if life.is_leaving && life.listener != Listener::Sender {
            let verdict = life.verdict(EndPlace::Boundary, true);
            assert_eq!(verdict, EndVerdict::Unproven, "{events:?}");
        }
    });
}

#[test]
fn an_end_inside_or_before_an_event_is_a_break_whatever_follows() {
    for_each_life(|events, life| {
        for place in [EndPlace::InsideEvent, EndPlace::BeforeEvents] {
            assert_eq!(life.verdict(place, true), EndVerdict::Broken, "{events:?}");
        }
    });
}

#[test]
fn an_end_that_its_framing_marks_needs_no_sign() {
    let verdict = |mark, place| AnswerEnd { mark, place }.plain_verdict();
    assert_eq!(
        verdict(EndMark::Framing, EndPlace::Boundary),
        Some(EndVerdict::Whole)
    );
    assert_eq!(
        verdict(EndMark::Framing, EndPlace::BeforeEvents),
        Some(EndVerdict::Whole)
    );
    assert_eq!(
        verdict(EndMark::Framing, EndPlace::InsideEvent),
        Some(EndVerdict::Broken)
    );
    assert_eq!(
        verdict(EndMark::Reset, EndPlace::Boundary),
        Some(EndVerdict::Broken)
    );
    assert_eq!(verdict(EndMark::Close, EndPlace::Boundary), None);
}
