/** Wires the parts of one gateway daemon and stops them in order. */
import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {firstRole, getLongestPause} from '@shallotpass/core/gossip/store-role.js';
import {emptyCrashRegister} from '@shallotpass/core/retries/crash-register.js';
import {openBackendRegistry} from './calls/backend-registry.js';
import {type CallersListener, listenForCallers, listenForReady} from './calls/callers-listener.js';
import {type CallersServer} from './calls/callers-server.js';
import {openClocks} from './clocks.js';
import {type LeaderTask, startLeaderTask} from './leader/leader-task.js';
import {type EventLog} from './telemetry/event-log.js';
import {followConfiguration} from './store/follow-configuration.js';
import {followDirectory} from './store/follow-directory.js';
import {listenForMetrics} from './telemetry/metrics-listener.js';
import {collectProcessFigures, openGatewayMetrics} from './telemetry/gateway-metrics.js';
import {type GatewaySettings} from './gateway-settings.js';
import {countDaemons, type GatewayState} from './gateway-state.js';
import {makeOrderPlanner} from './leader/order-plan.js';
import {startGossip} from './peers/gossip.js';
import {isServedByPeers, type PeerQuerier, startPeerQueries} from './peers/ask-peers.js';
import {getStoreKnowledge, listenForPeers, type SharedStateOptions} from './peers/shared-state.js';
import {type Platform, type Topic} from './ports.js';

/** Calls in flight are looked at this often while the daemon leaves, in milliseconds. */
const drainTickMs = 100;

/** Before the platform kills the process, in milliseconds. */
const killMarginMs = 300;

/** Between two lines of figures, in milliseconds. */
const figuresEveryMs = 10_000;

/** Connections without a call are kept for this long after SIGTERM, so that callers learn of the end with an answer. */
const keepIdleMs = 3200;

export type GatewayOptions = {
	readonly settings: GatewaySettings;
	readonly log: EventLog;
	/** Open already, with requests that may wait. */
	readonly callersServer?: CallersServer;
	readonly openPlatform: (onStoreCall: (topic: Topic, outcome: string, isAnswered: boolean) => void) => Platform;
};

export type Gateway = {
	readonly state: GatewayState;
	/** Finishes all calls, refuses new ones late, and resolves when the process may end. */
	readonly drain: () => Promise<void>;
	/** Takes settings that have changed; addresses of listeners hold until the next start. */
	readonly reload: (settings: GatewaySettings) => void;
	/** Ends at once, as a crash does, but for the process itself. */
	readonly stop: () => void;
};

const openState = ({settings, log}: GatewayOptions, platform: Platform, metrics: GatewayState['metrics']): GatewayState => ({
	settings,
	incarnation: randomUUID(),
	clocks: openClocks(),
	log,
	metrics,
	wire: platform.wire,
	engines: platform.engines,
	random: Math.random,
	configuration: undefined,
	configurationCheckedAt: Number.NEGATIVE_INFINITY,
	registry: openBackendRegistry(),
	directorySince: undefined,
	buckets: new Map(),
	spending: new Map(),
	inherited: undefined,
	hasSpending: false,
	startedAt: performance.now(),
	allowances: new Map(),
	usage: new Map(),
	crashes: emptyCrashRegister,
	workRates: new Map(),
	peers: new Map(),
	drainingSince: undefined,
	activeCalls: 0,
});

const drain = async (state: GatewayState, listener: CallersListener, controller: AbortController): Promise<void> => {
	const now = (): number => state.clocks.steady();
	const since = now();
	state.drainingSince = since;
	state.log.write('state', 'draining', {activeCalls: state.activeCalls, graceMs: state.settings.bounds.graceMs});
	const endAt = since + state.settings.bounds.graceMs - killMarginMs;
	while (now() < endAt && (state.activeCalls > 0 || now() < since + keepIdleMs)) {
		// eslint-disable-next-line no-await-in-loop -- a tick after the other
		await sleep(drainTickMs);
	}

	listener.close();
	listener.closeIdle();
	controller.abort();
	state.log.write('state', 'stopped', {activeCalls: state.activeCalls, tookMs: Math.round(now() - since)});
};

/** Now and then one line with what metrics would show, for those who only have logs. */
const writeFigures = (state: GatewayState, storeCalls: ReadonlyMap<string, number>, signal: AbortSignal): void => {
	const timer = setInterval(() => {
		state.log.write('state', 'figures', {
			storeCalls: Object.fromEntries(storeCalls),
			daemons: countDaemons(state),
			activeCalls: state.activeCalls,
			backends: state.registry.byId.size,
			configuration: state.configuration?.configuration.version,
			configurationAgeMs: Math.round(state.clocks.steady() - state.configurationCheckedAt),
			rssMb: Math.round(process.memoryUsage.rss() / 1_048_576),
		});
	}, figuresEveryMs);
	timer.unref();
	signal.addEventListener('abort', () => {
		clearInterval(timer);
	}, {once: true});
};

export const startGateway = async (options: GatewayOptions): Promise<Gateway> => {
	const answeredAt = new Map<string, number>();
	const metrics = openGatewayMetrics({answeredAt, now: () => performance.now()});
	const storeCalls = new Map<string, number>();
	const platform = options.openPlatform((topic, outcome, isAnswered) => {
		if (isAnswered) {
			answeredAt.set(topic, performance.now());
		}

		metrics.storeCalls.inc({topic, outcome});
		storeCalls.set(topic, (storeCalls.get(topic) ?? 0) + 1);
	});
	const state = openState(options, platform, metrics);
	const controller = new AbortController();
	const {signal} = controller;
	collectProcessFigures(metrics);
	const listener = await listenForCallers(state, options.callersServer);
	const ready = await listenForReady(state);
	const scrapes = listenForMetrics(state);
	const plan = makeOrderPlanner(state);
	const parts: {duties?: LeaderTask; relay?: SharedStateOptions; asker?: PeerQuerier} = {};
	const isPaused = (): boolean => parts.relay === undefined ? state.settings.instance.firstStart : isServedByPeers(parts.relay);
	const getMaxRetryDelayMs = (): number => getLongestPause(parts.relay?.getStoreRole() ?? firstRole);
	const directory = followDirectory({
		gateway: state, platform, isPaused, getMaxRetryDelayMs, signal,
	});
	const gossip = await startGossip({
		gateway: state, platform, signal,
		getReportInput: members => ({leaseOffset: parts.duties?.getLeaseOffset() ?? -1, known: getStoreKnowledge({gateway: state, directory, members})}),
		onStoreKnowledge(known, address) {
			parts.asker?.handleStoreKnowledge(known, address);
		},
	});
	parts.duties = startLeaderTask({
		gateway: state, platform, planOrders: plan.planOrders, onCloudAnswer() {
			answeredAt.set('cloud', performance.now());
		}, onOrderAccepted: plan.recordAccepted, onOrderRefused: plan.recordRefusal, isFulfilled: plan.isFulfilled, getStoreRole: gossip.getStoreRole, signal,
	});
	const relay: SharedStateOptions = {
		gateway: state, directory, onConfiguration: listener.applyLimits, getStoreRole: gossip.getStoreRole, members: gossip.members, signal,
	};
	parts.relay = relay;
	void followConfiguration({
		gateway: state, platform, isPaused, getMaxRetryDelayMs, signal, onConfiguration: listener.applyLimits,
	});
	await listenForPeers(relay);
	parts.asker = startPeerQueries(relay);
	writeFigures(state, storeCalls, signal);
	state.log.write('state', 'started', {incarnation: state.incarnation, listen: state.settings.listen, isFirstStart: state.settings.instance.firstStart});
	return {
		state,
		drain: async () => drain(state, listener, controller),
		reload(settings) {
			state.settings = {...settings, listen: state.settings.listen, instance: state.settings.instance};
			state.log.write('state', 'settings_taken', {bounds: settings.bounds, store: settings.store.address});
		},
		stop() {
			controller.abort();
			listener.closeAll();
			ready.close();
			ready.closeAllConnections();
			scrapes?.close();
			scrapes?.closeAllConnections();
		},
	};
};
