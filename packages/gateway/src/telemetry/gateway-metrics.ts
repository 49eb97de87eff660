/** Prometheus metrics of the gateway. Label values come from bounded sets: services, kinds of routes and fixed lists. */
import {
	collectDefaultMetrics,
	Counter,
	Gauge,
	Histogram,
	Registry,
} from 'prom-client';
import {type ClientLedger} from '@shallotpass/common/client-limits/client-ledger.js';
import {listenerNames} from '@shallotpass/common/client-limits/client-limits.js';

/** Histogram buckets in seconds, from plain responses of a few milliseconds to the longest streams. */
const durationBucketsS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 3, 6, 15, 30];

export type GatewayMetrics = {
	readonly registry: Registry;
	readonly calls: Counter<'service' | 'kind' | 'outcome'>;
	readonly callSeconds: Histogram<'service' | 'kind'>;
	readonly firstByteSeconds: Histogram<'service' | 'kind'>;
	readonly attempts: Counter<'service' | 'outcome'>;
	readonly storeCalls: Counter<'topic' | 'outcome'>;
	readonly dependencyAge: Gauge<'dependency'>;
	readonly cloudRequests: Counter<'duty' | 'outcome'>;
	readonly directoryAge: Gauge;
	readonly limitRefusals: Counter<'service'>;
	readonly yieldedCalls: Counter<'service' | 'reason'>;
	readonly repeats: Counter<'service' | 'outcome'>;
	readonly hedges: Counter<'service'>;
	readonly readExcesses: Counter<'service' | 'excess'>;
	readonly quotaAsks: Counter<'outcome'>;
	readonly limitedBackends: Gauge;
	readonly crashVerdicts: Gauge;
	readonly crashRefusals: Counter<'kind'>;
	readonly streamsBegun: Counter<'service' | 'version'>;
	readonly streamTakeUps: Counter<'service' | 'version' | 'outcome'>;
	readonly rememberedStreams: Gauge;
	readonly readyBackends: Gauge<'service' | 'version'>;
	readonly rolloutShare: Gauge<'service'>;
	readonly rolloutStage: Gauge<'service' | 'stage'>;
	readonly rolloutResults: Counter<'service' | 'version' | 'outcome'>;
	readonly peers: Gauge;
	readonly cutOff: Gauge;
	readonly peerCallsSent: Counter<'service' | 'outcome'>;
	readonly peerCallsReceived: Counter<'outcome'>;
	readonly callersLeft: Counter<'stage'>;
	readonly afterLeaveSeconds: Histogram;
	readonly loopStallSeconds: Histogram;
	readonly activeCalls: Gauge;
	readonly owedAnswers: Gauge;
	readonly heldBytes: Gauge;
	readonly clientConnections: Gauge<'listener'>;
	readonly clientBytes: Gauge<'kind'>;
	readonly clientsGivenUp: Counter<'listener' | 'limit' | 'kind'>;
	readonly clientsRefused: Counter<'listener'>;
	readonly unfinishedEventBytes: Gauge;
	readonly unfinishedAnswers: Counter<'reason' | 'awaited'>;
	readonly runsGivenUp: Counter<'reason'>;
	readonly successorSearches: Counter<'outcome'>;
	readonly stoppedRuns: Counter<'outcome'>;
	readonly uncaughtErrors: Counter<'origin'>;
};

export type DependencyAnswers = {
	/** When each dependency last answered, in milliseconds on the clock of `now`. A dependency that never answered has no entry. */
	readonly answeredAt: ReadonlyMap<string, number>;
	readonly now: () => number;
	/** Milliseconds since the directory was last known to be up to date. */
	readonly getDirectoryAgeMs: () => number;
	/** Counts the answers that are owed now. */
	readonly countOwedAnswers: () => number;
	readonly countHeldBytes: () => number;
	readonly getActiveCalls: () => number;
	readonly ledger: ClientLedger;
	readonly countUnfinishedEventBytes: () => number;
	/** Lists how many backend servers of each software version are ready. */
	readonly listReadyBackends: () => Iterable<{readonly service: string; readonly version: string; readonly ready: number}>;
};

export const makeGatewayMetrics = ({answeredAt, now, getDirectoryAgeMs, countOwedAnswers, countHeldBytes, getActiveCalls, ledger, countUnfinishedEventBytes, listReadyBackends}: DependencyAnswers): GatewayMetrics => {
	const registry = new Registry();
	const registers = [registry];
	return {
		registry,
		calls: new Counter({
			name: 'shallotpass_gateway_calls_total', help: 'Calls of callers by what became of them', labelNames: ['service', 'kind', 'outcome'], registers,
		}),
		callSeconds: new Histogram({
			name: 'shallotpass_gateway_call_seconds', help: 'Seconds from a request\'s head to the end of its answer', labelNames: ['service', 'kind'], buckets: durationBucketsS, registers,
		}),
		firstByteSeconds: new Histogram({
			name: 'shallotpass_gateway_first_byte_seconds', help: 'Seconds from a request\'s head to the head of its answer', labelNames: ['service', 'kind'], buckets: durationBucketsS, registers,
		}),
		attempts: new Counter({
			name: 'shallotpass_gateway_attempts_total', help: 'Calls sent to backend servers by outcome', labelNames: ['service', 'outcome'], registers,
		}),
		storeCalls: new Counter({
			name: 'shallotpass_gateway_store_calls_total', help: 'Calls to the platform\'s store by topic and outcome', labelNames: ['topic', 'outcome'], registers,
		}),
		dependencyAge: new Gauge({
			name: 'shallotpass_gateway_dependency_age_seconds', help: 'Seconds since a dependency last answered', labelNames: ['dependency'], registers,
			collect() {
				for (const [dependency, at] of answeredAt) {
					this.set({dependency}, (now() - at) / 1000);
				}
			},
		}),
		cloudRequests: new Counter({
			name: 'shallotpass_gateway_duties_total', help: 'Calls of the duties by outcome', labelNames: ['duty', 'outcome'], registers,
		}),
		directoryAge: new Gauge({
			name: 'shallotpass_gateway_directory_age_seconds', help: 'Seconds since the list of backend servers was last known to be up to date', registers,
			collect() {
				this.set(getDirectoryAgeMs() / 1000);
			},
		}),
		streamsBegun: new Counter({
			name: 'shallotpass_gateway_streams_begun_total', help: 'Streams that callers may take up, by the software version that began them', labelNames: ['service', 'version'], registers,
		}),
		streamTakeUps: new Counter({
			name: 'shallotpass_gateway_stream_take_ups_total', help: 'Streams that callers took up, by the version that began them and whether it was found and serves', labelNames: ['service', 'version', 'outcome'], registers,
		}),
		rememberedStreams: new Gauge({
			name: 'shallotpass_gateway_remembered_streams', help: 'Streams whose software version this daemon remembers, for itself and others', registers,
		}),
		readyBackends: new Gauge({
			name: 'shallotpass_gateway_ready_backends', help: 'Ready backend servers by service and software version', labelNames: ['service', 'version'], registers,
			collect() {
				this.reset();
				for (const {service, version, ready} of listReadyBackends()) {
					this.set({service, version}, ready);
				}
			},
		}),
		crashVerdicts: new Gauge({
			name: 'shallotpass_gateway_crash_verdicts', help: 'Parts of prompts and requests that are kept from backend servers as they crash them', registers,
		}),
		crashRefusals: new Counter({
			name: 'shallotpass_gateway_crash_refusals_total', help: 'Calls refused because they would crash backend servers, by what the verdict is on', labelNames: ['kind'], registers,
		}),
		limitRefusals: new Counter({
			name: 'shallotpass_gateway_limit_refusals_total', help: 'Calls refused because the limits that backend servers state leave no room', labelNames: ['service'], registers,
		}),
		yieldedCalls: new Counter({
			name: 'shallotpass_gateway_yielded_calls_total',
			help: 'Streams sent with a lower priority, as they could not be on time (late) or their account sends many times its usual (account)',
			labelNames: ['service', 'reason'],
			registers,
		}),
		repeats: new Counter({
			name: 'shallotpass_gateway_repeats_total', help: 'Repeats of calls that the limit allowed, denied, or got back as they were not sent', labelNames: ['service', 'outcome'], registers,
		}),
		hedges: new Counter({
			name: 'shallotpass_gateway_hedges_total', help: 'Plain calls that were sent to a second backend server while the first still worked on them', labelNames: ['service'], registers,
		}),
		readExcesses: new Counter({
			name: 'shallotpass_gateway_read_excesses_total', help: 'Answers of backend servers that were given up as they exceeded a bound or could not be read', labelNames: ['service', 'excess'], registers,
		}),
		quotaAsks: new Counter({
			name: 'shallotpass_gateway_quota_asks_total', help: 'Questions to other daemons that keep the limits of client accounts, by answer', labelNames: ['outcome'], registers,
		}),
		limitedBackends: new Gauge({name: 'shallotpass_gateway_limited_backends', help: 'Backend servers that state a limit', registers}),
		cutOff: new Gauge({name: 'shallotpass_gateway_cut_off', help: '1 while no new connection to any backend server can be opened, otherwise 0', registers}),
		peerCallsSent: new Counter({
			name: 'shallotpass_gateway_peer_calls_sent_total', help: 'Calls offered to other daemons by outcome', labelNames: ['service', 'outcome'], registers,
		}),
		peerCallsReceived: new Counter({
			name: 'shallotpass_gateway_peer_calls_received_total', help: 'Calls that other daemons offered to this one by outcome', labelNames: ['outcome'], registers,
		}),
		callersLeft: new Counter({
			name: 'shallotpass_gateway_callers_left_total', help: 'Calls whose callers left before their answer was complete, by how far the call had come', labelNames: ['stage'], registers,
		}),
		afterLeaveSeconds: new Histogram({
			name: 'shallotpass_gateway_after_leave_seconds', help: 'Seconds for which a call went on after its caller was seen to have left', buckets: durationBucketsS, registers,
		}),
		loopStallSeconds: new Histogram({
			name: 'shallotpass_gateway_loop_stall_seconds', help: 'Seconds for which the process handled nothing, of stalls over a tenth of a second', buckets: durationBucketsS, registers,
		}),
		rolloutShare: new Gauge({
			name: 'shallotpass_gateway_rollout_share', help: 'Share of the first sends of a service that goes to the new version of its rollout', labelNames: ['service'], registers,
		}),
		rolloutStage: new Gauge({
			name: 'shallotpass_gateway_rollout_stage', help: '1 for the stage of the rollout of a service, 0 for the others', labelNames: ['service', 'stage'], registers,
		}),
		rolloutResults: new Counter({
			name: 'shallotpass_gateway_rollout_results_total', help: 'Responses of backend servers during a rollout, of the new version and of others, by what they show of it', labelNames: ['service', 'version', 'outcome'], registers,
		}),
		peers: new Gauge({name: 'shallotpass_gateway_peers', help: 'Other daemons that were heard lately', registers}),
		activeCalls: new Gauge({
			name: 'shallotpass_gateway_active_calls', help: 'Calls in flight', registers,
			collect() {
				this.set(getActiveCalls());
			},
		}),
		clientConnections: new Gauge({
			name: 'shallotpass_gateway_client_connections', help: 'Open connections of clients, by listener', labelNames: ['listener'], registers,
			collect() {
				for (const listener of listenerNames) {
					this.set({listener}, ledger.countConnections(listener));
				}
			},
		}),
		clientBytes: new Gauge({
			name: 'shallotpass_gateway_client_bytes', help: 'Bytes that clients make the daemon hold: bodies, input that waits to be parsed, answers that they do not take, and objects', labelNames: ['kind'], registers,
			collect() {
				const {bodyBytes, inputBytes, outputBytes, objectBytes} = ledger.getTotals();
				this.set({kind: 'bodies'}, bodyBytes);
				this.set({kind: 'input'}, inputBytes);
				this.set({kind: 'answers'}, outputBytes);
				this.set({kind: 'objects'}, objectBytes);
			},
		}),
		clientsGivenUp: new Counter({
			name: 'shallotpass_gateway_clients_given_up_total', help: 'Connections of clients that were ended for want of room, by listener, by the limit, and by what became of them', labelNames: ['listener', 'limit', 'kind'], registers,
		}),
		clientsRefused: new Counter({
			name: 'shallotpass_gateway_clients_refused_total', help: 'New connections that were refused as all of their listener are in use', labelNames: ['listener'], registers,
		}),
		owedAnswers: new Gauge({
			name: 'shallotpass_gateway_owed_answers', help: 'Requests whose head was read and whose answer is not delivered yet', registers,
			collect() {
				this.set(countOwedAnswers());
			},
		}),
		heldBytes: new Gauge({
			name: 'shallotpass_gateway_held_bytes', help: 'Bytes of the bodies that calls under way hold in memory', registers,
			collect() {
				this.set(countHeldBytes());
			},
		}),
		unfinishedEventBytes: new Gauge({
			name: 'shallotpass_gateway_unfinished_event_bytes', help: 'Bytes of unfinished events, and of comments before them, that streams hold in memory', registers,
			collect() {
				this.set(countUnfinishedEventBytes());
			},
		}),
		unfinishedAnswers: new Counter({
			name: 'shallotpass_gateway_unfinished_answers_total', help: 'Answers that ended before they were delivered whole, by what ended them and what the call waited for', labelNames: ['reason', 'awaited'], registers,
		}),
		runsGivenUp: new Counter({
			name: 'shallotpass_gateway_runs_given_up_total', help: 'Answers of backend servers that were given up after their beginning, by reason', labelNames: ['reason'], registers,
		}),
		successorSearches: new Counter({
			name: 'shallotpass_gateway_successor_searches_total', help: 'Searches for a backend server that takes the rest of a stream whose run sends nothing, by outcome; the run is kept meanwhile', labelNames: ['outcome'], registers,
		}),
		stoppedRuns: new Counter({
			name: 'shallotpass_gateway_stopped_runs_total', help: 'Runs that were stopped to be moved, by what became of them', labelNames: ['outcome'], registers,
		}),
		uncaughtErrors: new Counter({
			name: 'shallotpass_gateway_uncaught_errors_total', help: 'Errors that nothing handled, after which the daemon went on, by how they arose', labelNames: ['origin'], registers,
		}),
	};
};

/** Adds the default process metrics, such as CPU time, memory and event loop lag. */
export const collectProcessMetrics = (metrics: GatewayMetrics): void => {
	collectDefaultMetrics({register: metrics.registry});
};
