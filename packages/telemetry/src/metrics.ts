/** All metrics with their names, help texts and labels. The reference page for operators is generated from this table. */
import {
	collectDefaultMetrics,
	Counter,
	Gauge,
	Histogram,
	Registry,
} from 'prom-client';

type MetricDescription = {
	readonly kind: 'counter' | 'gauge' | 'histogram';
	readonly name: string;
	readonly help: string;
	readonly labels: readonly string[];
};

const describeCounter = (name: string, help: string, labels: readonly string[] = []): MetricDescription => ({
	kind: 'counter', name: `shallotpass_${name}`, help, labels,
});
const describeGauge = (name: string, help: string, labels: readonly string[] = []): MetricDescription => ({
	kind: 'gauge', name: `shallotpass_${name}`, help, labels,
});
const describeHistogram = (name: string, help: string, labels: readonly string[] = []): MetricDescription => ({
	kind: 'histogram', name: `shallotpass_${name}`, help, labels,
});

export const metricDescriptions = {
	requests: describeCounter('requests_total', 'Requests answered, by service and result: ok, or the error kind', ['service', 'result']),
	requestSeconds: describeHistogram('request_seconds', 'Seconds from the first byte of a request to the last of its answer', ['service']),
	firstTokenSeconds: describeHistogram('first_token_seconds', 'Seconds from a request to the first token, by class', ['class']),
	tokens: describeCounter('tokens_total', 'Token chunks passed on to callers', ['service']),
	attempts: describeCounter('attempts_total', 'Tries at backend servers, by service and result', ['service', 'result']),
	retries: describeCounter('retries_total', 'Tries after the first, by service', ['service']),
	waiting: describeGauge('waiting_requests', 'Requests that wait for a backend server'),
	running: describeGauge('running_requests', 'Requests that run at backend servers'),
	connections: describeGauge('caller_connections', 'Open connections of callers'),
	claims: describeCounter('claims_total', 'Claims by what they came to', ['verdict']),
	claimSeconds: describeHistogram('claim_seconds', 'Seconds that a claim took'),
	logAppends: describeCounter('log_appends_total', 'Appends to the log by stream and result', ['stream', 'result']),
	logOutages: describeCounter('log_outages_total', 'Readings of the log that failed', ['stream']),
	configurationVersion: describeGauge('configuration_version', 'Version in force by team', ['team']),
	configurationFailures: describeCounter('configuration_failures_total', 'Accepted configurations that could not be put in force'),
	members: describeGauge('members', 'Members of the region by status', ['status']),
	peerBytes: describeGauge('peer_bytes', 'Bytes of the peer links since the start', ['direction']),
	peerRefusals: describeCounter('peer_refusals_total', 'Peer connections refused'),
	backends: describeGauge('backends', 'Backend servers by state', ['state']),
	suspects: describeGauge('suspect_requests', 'Requests suspected of ending backend servers'),
	fleetHolder: describeGauge('fleet_holder', 'Whether this daemon holds the fleet lease of its availability zone, 0 or 1'),
	fleetStarts: describeCounter('fleet_starts_total', 'Starts asked of the cloud by what it said', ['reply']),
	fleetPlaces: describeGauge('fleet_places', 'Places that the work needs and that run, as the holder of the lease sees them', ['what']),
} as const satisfies Record<string, MetricDescription>;

/** Histogram buckets in seconds, from 0.5 ms to 5 minutes. */
const durationBucketsS = [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.43, 1, 2.5, 5, 10, 30, 60, 300];

export type Metrics = {
	readonly registry: Registry;
	readonly requests: Counter;
	readonly requestSeconds: Histogram;
	readonly firstTokenSeconds: Histogram;
	readonly tokens: Counter;
	readonly attempts: Counter;
	readonly retries: Counter;
	readonly waiting: Gauge;
	readonly running: Gauge;
	readonly connections: Gauge;
	readonly claims: Counter;
	readonly claimSeconds: Histogram;
	readonly logAppends: Counter;
	readonly logOutages: Counter;
	readonly configurationVersion: Gauge;
	readonly configurationFailures: Counter;
	readonly members: Gauge;
	readonly peerBytes: Gauge;
	readonly peerRefusals: Counter;
	readonly backends: Gauge;
	readonly suspects: Gauge;
	readonly fleetHolder: Gauge;
	readonly fleetStarts: Counter;
	readonly fleetPlaces: Gauge;
};

const makeMetric = (description: MetricDescription, registry: Registry): Counter | Gauge | Histogram => {
	const options = {
		name: description.name, help: description.help, labelNames: [...description.labels], registers: [registry],
	};
	switch (description.kind) {
		case 'counter': {
			return new Counter(options);
		}

		case 'gauge': {
			return new Gauge(options);
		}

		case 'histogram': {
			return new Histogram({...options, buckets: durationBucketsS});
		}
	}
};

/** Creates the metrics of one daemon in a registry of their own, so that several daemons can run in one process. */
export const makeMetrics = (): Metrics => {
	const registry = new Registry();
	const metrics = Object.fromEntries(Object.entries(metricDescriptions).map(([key, description]) => [key, makeMetric(description, registry)]));
	// The table and the type have the same keys.
	return Object.assign(metrics as Omit<Metrics, 'registry'>, {registry});
};

/** Adds metrics of the process, such as CPU time, memory and event loop delay. Call this only once per process. */
export const collectProcessMetrics = (metrics: Metrics): void => {
	collectDefaultMetrics({register: metrics.registry});
};
