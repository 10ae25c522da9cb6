//! Clients of a soak: most send one message after another; some leave, write slowly, or send several at once.
use crate::history::{Book, What};
use crate::peers::{next, Message};
use crate::site::{Messages, CLASSES};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::Arc;
use std::time::Duration;
use ternstack_gateway::http1::{CompleteMessage, Reader, StatusLine, MAX_BODY_BYTES};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// The most messages that a client sends at once.
pub const MOST_AT_ONCE: u64 = 12;

/// What clients of one gateway go by.
#[derive(Debug, Default)]
pub struct Gate {
    /// New connections do not come any more: the front has heard of the gateway's end.
    pub closed: AtomicBool,
    /// Nothing comes any more.
    pub over: AtomicBool,
}

/// How a client treats one message.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Manner {
    Plain,
    Leaves(Duration),
    Slowly(Duration),
    Several(usize),
}

impl Manner {
    fn draw(rng: &mut impl Rng, patience: Duration) -> Self {
        match rng.random_range(0..100) {
            0..8 => Manner::Leaves(patience.mul_f64(rng.random_range(0.0..0.5))),
            8..12 => Manner::Slowly(Duration::from_millis(rng.random_range(5..150))),
            12..16 => Manner::Several(rng.random_range(2..=MOST_AT_ONCE as usize)),
            _ => Manner::Plain,
        }
    }
}

/// One client of a gateway.
pub struct Client {
    /// The gateway's number.
    pub gateway: usize,
    /// Where it listens.
    pub at: SocketAddr,
    /// Where it writes down what it sees.
    pub book: Book,
    /// Makes its messages.
    pub messages: Messages,
    /// Tells it when to stop.
    pub gate: Arc<Gate>,
    /// For its draws.
    pub seed: u64,
}

impl Client {
    /// Sends until it is told that all is over.
    pub async fn run(self) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        let mut kept: Option<TcpStream> = None;
        while !self.gate.over.load(Relaxed) {
            let class = CLASSES[rng.random_range(0..CLASSES.len())];
            let message = self.messages.next(class);
            let manner = Manner::draw(&mut rng, message.patience);
            kept = match self.connected(kept.take()).await {
                Some((stream, used)) => self.send(stream, used, &message, manner).await,
                None => None,
            };
            sleep(Duration::from_millis(rng.random_range(2..30))).await;
        }
    }

    /// A connection, and whether it has carried a message before; `None` if there is none to be had now.
    async fn connected(&self, kept: Option<TcpStream>) -> Option<(TcpStream, bool)> {
        if let Some(stream) = kept {
            return Some((stream, true));
        }
        if self.gate.closed.load(Relaxed) {
            return None;
        }
        let dialled = timeout(Duration::from_secs(1), TcpStream::connect(self.at)).await;
        let stream = dialled.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        Some((stream, false))
    }

    /// Sends a message; the connection, if it can carry another one.
    async fn send(
        &self, mut stream: TcpStream, used: bool, message: &Message, manner: Manner,
    ) -> Option<TcpStream> {
        let text = message.text();
        match manner {
            Manner::Leaves(after) => {
                stream.write_all(text.as_bytes()).await.ok()?;
                self.note_asked(message);
                sleep(after).await;
                self.book.note(What::Left { id: message.id.clone() });
                return None;
            }
            Manner::Several(count) => return self.send_several(stream, used, message, count).await,
            Manner::Slowly(pause) => {
                let (first, rest) = text.split_at(text.len() / 2);
                stream.write_all(first.as_bytes()).await.ok()?;
                sleep(pause).await;
                stream.write_all(rest.as_bytes()).await.ok()?;
            }
            Manner::Plain => stream.write_all(text.as_bytes()).await.ok()?,
        }
        self.note_asked(message);
        let mut reader = Reader::new(MAX_BODY_BYTES);
        match self.answer(&mut stream, &mut reader, message).await {
            Some(answer) => (answer.keep_alive && reader.is_idle()).then_some(stream),
            None if used && !reader.has_begun() => {
                // The end of a resting connection crossed the message.
                self.send_again(message).await
            }
            None => self.note_unanswered(message),
        }
    }

    /// Sends a message once more, over a new connection.
    async fn send_again(&self, message: &Message) -> Option<TcpStream> {
        let Some((mut stream, _)) = self.connected(None).await else {
            self.book.note(What::Moved { id: message.id.clone() });
            return None;
        };
        self.book.note(What::Again { id: message.id.clone(), gateway: self.gateway });
        if stream.write_all(message.text().as_bytes()).await.is_err() {
            return self.note_unanswered(message);
        }
        let mut reader = Reader::new(MAX_BODY_BYTES);
        match self.answer(&mut stream, &mut reader, message).await {
            Some(answer) => (answer.keep_alive && reader.is_idle()).then_some(stream),
            None => self.note_unanswered(message),
        }
    }

    /// Sends some messages at once, and reads their answers in order. An answer that ends the connection tells that those
    /// behind it were not taken.
    async fn send_several(
        &self, mut stream: TcpStream, used: bool, first: &Message, count: usize,
    ) -> Option<TcpStream> {
        let more = (1..count).map(|_| self.messages.next("look"));
        let all: Vec<Message> = std::iter::once(first.clone()).chain(more).collect();
        let text: String = all.iter().map(Message::text).collect();
        stream.write_all(text.as_bytes()).await.ok()?;
        all.iter().for_each(|message| self.note_asked(message));
        let mut reader = Reader::new(MAX_BODY_BYTES);
        let mut answered = 0;
        let mut goes_on = true;
        while goes_on && answered < all.len() {
            match self.answer(&mut stream, &mut reader, &all[answered]).await {
                Some(answer) => (answered, goes_on) = (answered + 1, answer.keep_alive),
                None => break,
            }
        }
        let crossed = used && answered == 0 && !reader.has_begun();
        for message in &all[answered..] {
            if crossed || !goes_on {
                self.book.note(What::Moved { id: message.id.clone() });
            } else {
                self.note_unanswered(message);
            }
        }
        (answered == all.len() && goes_on).then_some(stream)
    }

    /// Reads the next answer, and writes it down as a message's.
    async fn answer(
        &self, stream: &mut TcpStream, reader: &mut Reader<StatusLine>, message: &Message,
    ) -> Option<CompleteMessage<StatusLine>> {
        let patience = message.patience + Duration::from_secs(2);
        let (answer, _) = timeout(patience, next(stream, reader, &self.book)).await.ok()??;
        self.book.note(What::Answered {
            id: message.id.clone(),
            status: answer.start_line.code,
            body: String::from_utf8_lossy(&answer.body).into_owned(),
            advice: answer.fields.text("retry-after").is_some(),
        });
        Some(answer)
    }

    fn note_asked(&self, message: &Message) {
        self.book.note(What::Asked {
            id: message.id.clone(),
            class: message.class.into(),
            gateway: self.gateway,
            patience_ms: message.patience.as_millis() as u64,
        });
    }

    fn note_unanswered(&self, message: &Message) -> Option<TcpStream> {
        self.book.note(What::Unanswered { id: message.id.clone(), how: "the connection ended".into() });
        None
    }
}
