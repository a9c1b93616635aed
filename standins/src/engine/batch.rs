//! Continuous batching: admission by KV memory, chunked prefill and decoding.

use std::{collections, sync, time};

use tokio::sync::mpsc;

use super::{Settings, cache};

/// The maximum number of prompt tokens that are prefilled in one step.
const MAX_PREFILL_TOKENS_PER_STEP: u64 = 1_024;

/// The time that each decoding request adds to a step.
const STEP_TIME_PER_DECODING_REQUEST: time::Duration = time::Duration::from_micros(100);

/// A submitted request.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The id of the request.
    pub id: u64,
    /// The number of the attempt.
    pub attempt: u32,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// The number of engines that share the work.
    pub group_size: u64,
    /// The position of the first token to send.
    pub resume_from: u64,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The hash of the prompt, which determines the response.
    pub prompt_hash: u64,
    /// The prefixes of the prompt.
    pub prefixes: Vec<limpetkeel::Prefix>,
    /// The length of the complete response, in tokens.
    pub max_tokens: u64,
}

/// A record of a request that started to run.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StartedRequest {
    /// The id of the request.
    pub id: u64,
    /// The number of the attempt.
    pub attempt: u32,
    /// The hash of the prompt, which determines the response.
    pub prompt_hash: u64,
}

/// The error of a request that needs more memory than the engine has.
pub struct TooLarge;

/// A generated token.
#[derive(Clone, Debug)]
pub struct Token {
    /// The position of the token in the complete response.
    pub position: u64,
    /// The text of the token.
    pub text: String,
    /// The numbers of prompt and response tokens, with the last token only.
    pub usage: Option<(u64, u64)>,
}

/// A request that is waiting or running.
struct Sequence {
    submission: Submission,
    /// The position of the request in the order of arrival.
    arrival: u64,
    /// The number of tokens still to be prefilled.
    prefill_remaining: u64,
    /// The position of the next token to generate.
    next_position: u64,
    token_sender: mpsc::UnboundedSender<Token>,
}

impl Sequence {
    /// Returns the memory that the request takes on this engine, in tokens.
    fn memory_tokens(&self) -> u64 {
        (self.submission.prompt_tokens + self.submission.max_tokens)
            .div_ceil(self.submission.group_size)
    }

    /// Returns the key by which requests are scheduled; the smallest is first.
    fn scheduling_key(&self, first_come_first_served: bool) -> (u32, u64) {
        (
            if first_come_first_served {
                0
            } else {
                self.submission.priority
            },
            self.arrival,
        )
    }
}

/// Memory that is reserved until it expires.
struct Reservation {
    tokens: u64,
    expires_at: time::Instant,
}

/// The requests of an engine and the memory that they use.
#[derive(Default)]
struct Batch {
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    reservations: collections::BTreeMap<u64, Reservation>,
    cache: cache::Cache,
    started: Vec<StartedRequest>,
    /// The number of submitted requests.
    arrivals: u64,
    /// The total number of prefilled tokens.
    prefilled_tokens: u64,
    /// The total number of decoded tokens.
    decoded_tokens: u64,
}

/// A batch that the batching loop and the request handlers share.
pub struct SharedBatch {
    settings: Settings,
    batch: parking_lot::Mutex<Batch>,
    /// Notified when a request is submitted or a reservation is released.
    work_available: tokio::sync::Notify,
}

impl SharedBatch {
    /// Creates an empty batch.
    pub fn new(settings: Settings) -> SharedBatch {
        SharedBatch {
            settings,
            batch: parking_lot::Mutex::default(),
            work_available: tokio::sync::Notify::new(),
        }
    }

    /// Queues a request and returns the receiver of its tokens.
    ///
    /// # Errors
    ///
    /// Returns [`TooLarge`] if the request needs more memory than the engine has.
    pub fn submit(
        &self,
        submission: Submission,
    ) -> Result<mpsc::UnboundedReceiver<Token>, TooLarge> {
        let (tx, rx) = mpsc::unbounded_channel();
        let mut batch = self.batch.lock();
        batch.arrivals += 1;
        let sequence = Sequence {
            arrival: batch.arrivals,
            prefill_remaining: 0,
            next_position: submission.resume_from,
            token_sender: tx,
            submission,
        };
        if sequence.memory_tokens() > self.settings.memory_tokens {
            return Err(TooLarge);
        }
        batch.waiting.push(sequence);
        drop(batch);
        self.work_available.notify_one();
        Ok(rx)
    }

    /// Cancels a request, whether it is waiting or running, and releases its reservation.
    pub fn cancel(&self, id: u64) {
        let mut batch = self.batch.lock();
        batch
            .waiting
            .retain(|sequence| sequence.submission.id != id);
        batch
            .running
            .retain(|sequence| sequence.submission.id != id);
        batch.reservations.remove(&id);
    }

    /// Reserves memory under an id, or renews the reservation if it exists. Returns `false` if there
    /// is not enough free memory.
    pub fn reserve(&self, id: u64, tokens: u64, ttl: time::Duration) -> bool {
        let mut batch = self.batch.lock();
        batch.expire_reservations();
        let renewal = batch.reservations.contains_key(&id);
        if !renewal && batch.used_tokens() + tokens > self.settings.memory_tokens {
            return false;
        }
        let expires_at = time::Instant::now() + ttl;
        batch
            .reservations
            .insert(id, Reservation { tokens, expires_at });
        true
    }

    /// Releases a reservation.
    pub fn release_reservation(&self, id: u64) {
        self.batch.lock().reservations.remove(&id);
        self.work_available.notify_one();
    }

    /// Returns the cache evictions after a position.
    pub fn cache_events(&self, after: u64) -> cache::Events {
        self.batch.lock().cache.events(after)
    }

    /// Returns the id and the memory, in tokens, of every running and waiting request and of every
    /// reservation.
    pub fn memory_by_holder(&self) -> Vec<(u64, u64)> {
        let batch = self.batch.lock();
        let sequences = batch.running.iter().chain(&batch.waiting);
        let request_memory =
            sequences.map(|sequence| (sequence.submission.id, sequence.memory_tokens()));
        let reservation_memory = batch
            .reservations
            .iter()
            .map(|(id, reservation)| (*id, reservation.tokens));
        request_memory.chain(reservation_memory).collect()
    }

    /// Returns the memory in use and the reserved part of it, in tokens.
    pub fn memory_usage(&self) -> (u64, u64) {
        let mut batch = self.batch.lock();
        batch.expire_reservations();
        (
            batch.used_tokens(),
            batch
                .reservations
                .values()
                .map(|reservation| reservation.tokens)
                .sum(),
        )
    }

    /// Returns the total numbers of prefilled and decoded tokens.
    pub fn token_totals(&self) -> (u64, u64) {
        let batch = self.batch.lock();
        (batch.prefilled_tokens, batch.decoded_tokens)
    }

    /// Returns the requests that started to run, oldest first.
    pub fn started(&self) -> Vec<StartedRequest> {
        self.batch.lock().started.clone()
    }
}

/// Runs the steps of a batch until the process exits.
pub async fn run(shared: sync::Arc<SharedBatch>) {
    loop {
        let work_available = shared.work_available.notified();
        let step = shared.batch.lock().begin_step(&shared.settings);
        let Some(step) = step else {
            let idle_timeout = time::Duration::from_millis(200);
            let _ = tokio::time::timeout(idle_timeout, work_available).await;
            continue;
        };
        tokio::time::sleep(step.duration).await;
        shared.batch.lock().end_step(&step);
    }
}

/// One step of the batch.
struct Step {
    duration: time::Duration,
    /// The number of tokens to prefill, by request id.
    prefills: Vec<(u64, u64)>,
}

impl Batch {
    /// Returns the memory of running requests and of reservations, in tokens.
    fn used_tokens(&self) -> u64 {
        let running: u64 = self.running.iter().map(Sequence::memory_tokens).sum();
        running
            + self
                .reservations
                .values()
                .map(|reservation| reservation.tokens)
                .sum::<u64>()
    }

    fn expire_reservations(&mut self) {
        let now = time::Instant::now();
        self.reservations
            .retain(|_, reservation| reservation.expires_at > now);
    }

    /// Admits waiting requests and plans the next step. Returns `None` if nothing is running.
    fn begin_step(&mut self, settings: &Settings) -> Option<Step> {
        self.expire_reservations();
        self.waiting
            .retain(|sequence| !sequence.token_sender.is_closed());
        self.running
            .retain(|sequence| !sequence.token_sender.is_closed());
        self.admit(settings);
        if self.running.is_empty() {
            return None;
        }
        let prefills = self.plan_prefills(settings);
        let prefill_secs = |(id, tokens): &(u64, u64)| {
            let group_size = self
                .running_sequence(*id)
                .map_or(1, |sequence| sequence.submission.group_size);
            *tokens as f64 / (settings.prefill_tokens_per_second * group_size) as f64
        };
        let prefill_total_secs: f64 = prefills.iter().map(prefill_secs).sum();
        let decoding_count = self
            .running
            .iter()
            .filter(|sequence| sequence.prefill_remaining == 0)
            .count() as u32;
        let base_duration = if decoding_count > 0 {
            settings.step_duration
        } else {
            time::Duration::ZERO
        };
        let duration = base_duration
            + STEP_TIME_PER_DECODING_REQUEST * decoding_count
            + time::Duration::from_secs_f64(prefill_total_secs).max(time::Duration::from_millis(1));
        Some(Step { duration, prefills })
    }

    /// Moves waiting requests to the running ones in scheduling order, until the next one does not
    /// fit into the memory or all slots are taken.
    fn admit(&mut self, settings: &Settings) {
        self.waiting
            .sort_by_key(|sequence| sequence.scheduling_key(settings.first_come_first_served));
        while let Some(next) = self.waiting.first() {
            let fits = self.used_tokens() + next.memory_tokens() <= settings.memory_tokens;
            if !fits || self.running.len() >= settings.slots as usize {
                return;
            }
            let mut sequence = self.waiting.remove(0);
            let submission = &sequence.submission;
            let cached = self.cache.cached_tokens(&submission.prefixes);
            sequence.prefill_remaining = (submission.prompt_tokens + submission.resume_from)
                .saturating_sub(cached)
                .max(1);
            self.cache.insert(&submission.prefixes);
            self.started.push(StartedRequest {
                id: submission.id,
                attempt: submission.attempt,
                prompt_hash: submission.prompt_hash,
            });
            self.running.push(sequence);
        }
    }

    /// Distributes the prefill budget of a step over the running requests, in scheduling order.
    fn plan_prefills(&self, settings: &Settings) -> Vec<(u64, u64)> {
        let mut prefilling: Vec<_> = self
            .running
            .iter()
            .filter(|sequence| sequence.prefill_remaining > 0)
            .collect();
        prefilling
            .sort_by_key(|sequence| sequence.scheduling_key(settings.first_come_first_served));
        let mut budget = MAX_PREFILL_TOKENS_PER_STEP;
        let mut prefills = Vec::new();
        for sequence in prefilling {
            let tokens = sequence.prefill_remaining.min(budget);
            if tokens == 0 {
                break;
            }
            budget -= tokens;
            prefills.push((sequence.submission.id, tokens));
        }
        prefills
    }

    fn running_sequence(&self, id: u64) -> Option<&Sequence> {
        self.running
            .iter()
            .find(|sequence| sequence.submission.id == id)
    }

    /// Applies a step: counts prefilled tokens and emits a token for every decoding request.
    fn end_step(&mut self, step: &Step) {
        let (mut prefilled_tokens, mut decoded_tokens) = (0, 0);
        for sequence in &mut self.running {
            let prefill = step
                .prefills
                .iter()
                .find(|(id, _)| *id == sequence.submission.id);
            if let Some((_, tokens)) = prefill {
                sequence.prefill_remaining = sequence.prefill_remaining.saturating_sub(*tokens);
                prefilled_tokens += tokens;
            }
            if sequence.prefill_remaining == 0 {
                sequence.emit_token();
                decoded_tokens += 1;
            }
        }
        self.prefilled_tokens += prefilled_tokens;
        self.decoded_tokens += decoded_tokens;
        self.running
            .retain(|sequence| sequence.next_position < sequence.submission.max_tokens);
    }
}

impl Sequence {
    /// Generates the next token and sends it.
    fn emit_token(&mut self) {
        let position = self.next_position;
        self.next_position += 1;
        let submission = &self.submission;
        let is_last = self.next_position >= submission.max_tokens;
        let token = Token {
            position,
            text: super::token_text(submission.prompt_hash, position),
            usage: is_last.then_some((submission.prompt_tokens, submission.max_tokens)),
        };
        let _ = self.token_sender.send(token);
    }
}
