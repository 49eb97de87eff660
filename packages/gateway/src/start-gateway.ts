/** Creates and connects the components of one gateway daemon, and stops them in order. */
import {randomUUID} from 'node:crypto';
import {setMaxListeners} from 'node:events';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {makeClientLedger} from '@shallotpass/common/client-limits/client-ledger.js';
import {computeMaxBodyBytes} from '@shallotpass/common/client-limits/client-limits.js';
import {makeHeldBytes} from '@shallotpass/common/client-limits/held-bytes.js';
import {makeOwedAnswers} from '@shallotpass/common/owed-answers.js';
import {initialStoreRole, getMaxRetryPauseMs} from '@shallotpass/core/gossip/store-role.js';
import {initialPathState} from '@shallotpass/core/paths/path-state.js';
import {makeCrashLedger} from '@shallotpass/core/crashes/crash-ledger.js';
import {makeAcceptBacklog} from './calls/accept-backlog.js';
import {type OpenConnection} from './calls/backend-agent.js';
import {makeBackendRegistry} from './calls/backend-registry.js';
import {makeIsUnnamedRefusal} from './calls/proof-of-answers.js';
import {listReadyBackends} from './calls/count-versions.js';
import {makeUnfinishedEvents} from './calls/unfinished-events.js';
import {maxBytesOfUnfinishedEvents} from './read-bounds.js';
import {listenForCallers, listenForReadinessChecks} from './calls/callers-listener.js';
import {type CallersServer} from './calls/callers-server.js';
import {computeInheritsRepeatsUntil} from './calls/repeat-limit.js';
import {type ClockSources, makeClocks} from './clocks.js';
import {drainGateway} from './drain-gateway.js';
import {type LoopMonitor, startLoopMonitor} from './loop-monitor.js';
import {type LeaderTask, startLeaderTask} from './leader/leader-task.js';
import {type EventLog} from './telemetry/event-log.js';
import {followConfiguration} from './store/follow-configuration.js';
import {followDirectory} from './store/follow-directory.js';
import {listenForMetrics} from './telemetry/metrics-listener.js';
import {collectProcessMetrics, makeGatewayMetrics} from './telemetry/gateway-metrics.js';
import {reportClients} from './telemetry/report-clients.js';
import {reportUnfinishedAnswers} from './telemetry/report-unfinished-answers.js';
import {readClientLimits} from './gateway-ledger.js';
import {type GatewaySettings} from './gateway-settings.js';
import {countDaemons, type GatewayState} from './gateway-state.js';
import {makeOrderPlanner} from './leader/order-planner.js';
import {clearParts} from './crashes/announce-verdicts.js';
import {recordPathSuccess, startPathProbes} from './paths/track-paths.js';
import {openDatagrams} from './peers/datagrams.js';
import {startGossip} from './peers/gossip.js';
import {type PeerQuerier, startPeerQueries} from './peers/query-peers.js';
import {getStoreVersions, listenForPeers, type SharedStateOptions} from './peers/shared-state.js';
import {isServedByPeers} from './peers/store-reading.js';
import {startOriginExchange} from './origins/origin-exchange.js';
import {makeOriginState} from './origins/origin-state.js';
import {makeRolloutPlanner} from './rollouts/plan-rollouts.js';
import {makeRolloutState} from './rollouts/rollout-state.js';
import {type Platform, type Topic} from './ports.js';
import {startKeeperExchange} from './quotas/keeper-exchange.js';
import {makeQuotaState} from './quotas/quota-state.js';

/** Interval between `figures` log lines. */
const figuresIntervalMs = 10_000;

/** Bound of the listeners on the signal that ends all components. More would show a leak. */
const maxSignalListeners = 30;

export type GatewayOptions = {
	readonly settings: GatewaySettings;
	readonly log: EventLog;
	/** Server that already listens and may have queued requests. */
	readonly callersServer?: CallersServer;
	/** Opens the connections to backend servers. Directly by default. */
	readonly openConnection?: OpenConnection;
	/** Opens the socket for messages of other daemons. */
	readonly openDatagrams?: typeof openDatagrams;
	/** The clocks of the instance, if not those of the system. */
	readonly clockSources?: ClockSources;
	readonly openPlatform: (onStoreCall: (topic: Topic, outcome: string, isAnswered: boolean) => void) => Platform;
};

export type Gateway = {
	readonly state: GatewayState;
	/**
	 * Answers the calls in flight, refuses new ones after a while, and resolves when the process may exit. The periods count from when
	 * the stop was requested, on the steady clock, or from now. A second call joins the first.
	 */
	readonly drain: (requestedAt?: number) => Promise<void>;
	/** Applies changed settings. Those of the listeners and of the instance take effect only at the next start. */
	readonly reload: (settings: GatewaySettings) => void;
	/** Stops immediately without draining, as in a crash, but keeps the process running. */
	readonly stop: () => void;
};

type Identity = Pick<GatewayState, 'incarnation' | 'clocks' | 'stopSignal' | 'loop'>;

/** Makes a signal to which each call may listen. */
const makeSharedController = (): AbortController => {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	return controller;
};

const makeState = ({settings, log, openConnection, callersServer}: GatewayOptions, platform: Platform, {metrics, startedAt, ledger, ...identity}: Identity & Pick<GatewayState, 'metrics' | 'startedAt' | 'ledger'>): GatewayState => ({
	settings,
	...identity,
	acceptBacklog: makeAcceptBacklog(identity.clocks.steady, identity.loop),
	quota: makeQuotaState({settings, ...identity}),
	log,
	metrics,
	wire: platform.wire,
	engines: platform.engines,
	random: Math.random,
	configuration: undefined,
	configurationCheckedAt: Number.NEGATIVE_INFINITY,
	registry: makeBackendRegistry(openConnection, makeIsUnnamedRefusal(platform.wire)),
	origins: makeOriginState(),
	rollouts: makeRolloutState(),
	directoryReadAt: undefined,
	directoryStatus: {
		offset: 0, source: 'store', confirmedAt: Number.NEGATIVE_INFINITY, storeAnsweredAt: Number.NEGATIVE_INFINITY,
	},
	inherited: {kind: 'unknown'},
	isSpendingLoaded: false,
	startedAt,
	repeatAccounts: new Map(),
	inheritsRepeatsUntil: computeInheritsRepeatsUntil(settings, startedAt),
	daemonCounts: [],
	usage: new Map(),
	crashes: makeCrashLedger(),
	unreportedCrashes: {areOwn: false, areFromPeers: false},
	crashTrials: new Map(),
	announcedVerdicts: new Map(),
	workRates: new Map(),
	longWorkRates: new Map(),
	lanes: new Map(),
	partUses: new Map(),
	usualDemands: new Map(),
	callRates: new Map(),
	rankTimes: new Map(),
	participants: new Map(),
	participantLevels: new Map(),
	unreportedLimits: {areOwn: false, areFromPeers: false},
	peers: new Map(),
	registeredDaemons: undefined,
	drainingSince: undefined,
	lastAnswers: makeSharedController(),
	activeCalls: 0,
	runningCalls: 0,
	answers: callersServer?.answers ?? makeOwedAnswers(),
	ledger,
	heldBytes: makeHeldBytes(computeMaxBodyBytes(settings.instance.memoryMb), ledger),
	unfinishedEvents: makeUnfinishedEvents(maxBytesOfUnfinishedEvents),
	paths: initialPathState,
	onPathsLost: new Set(),
	nextSuspicionAt: 0,
	nextAskAt: 0,
	peerCalls: {
		sent: new Map(), received: 0, avoidedUntil: new Map(), avoidedZonesUntil: new Map(), unservedUntil: new Map(), isBusy: false,
	},
	listMembers: () => [],
});

/** Periodically logs the main metrics, for operators who only have logs. */
const logFigures = (state: GatewayState, storeCalls: ReadonlyMap<string, number>, signal: AbortSignal): void => {
	const timer = setInterval(() => {
		state.log.write('state', 'figures', {
			storeCalls: Object.fromEntries(storeCalls),
			daemons: countDaemons(state),
			activeCalls: state.activeCalls,
			owedAnswers: state.answers.count(),
			clientConnections: state.ledger.countConnections('callers'),
			clientBytes: Math.round(state.ledger.getTotals().bytes),
			backends: state.registry.byId.size,
			configuration: state.configuration?.configuration.version,
			configurationAgeMs: Math.round(state.clocks.steady() - state.configurationCheckedAt),
			rssMb: Math.round(process.memoryUsage.rss() / 1_048_576),
		});
	}, figuresIntervalMs);
	timer.unref();
	signal.addEventListener('abort', () => {
		clearInterval(timer);
	}, {once: true});
};

export const startGateway = async (options: GatewayOptions): Promise<Gateway> => {
	const ledger = options.callersServer?.ledger ?? makeClientLedger(readClientLimits(options.settings.instance));
	ledger.setLimits(readClientLimits(options.settings.instance));
	const lastAnswerAt = new Map<string, number>();
	const metrics = makeGatewayMetrics({
		answeredAt: lastAnswerAt, now: () => performance.now(), countOwedAnswers: () => state.answers.count(), countHeldBytes: () => state.heldBytes.count(), ledger, getActiveCalls: () => state.activeCalls, countUnfinishedEventBytes: () => state.unfinishedEvents.count(), getDirectoryAgeMs: () => state.clocks.steady() - state.directoryStatus.confirmedAt, listReadyBackends: () => listReadyBackends(state.registry.versionsByService),
	});
	const storeCalls = new Map<string, number>();
	const platform = options.openPlatform((topic, outcome, isAnswered) => {
		if (isAnswered) {
			lastAnswerAt.set(topic, performance.now());
		}

		metrics.storeCalls.inc({topic, outcome});
		storeCalls.set(topic, (storeCalls.get(topic) ?? 0) + 1);
	});
	const controller = makeSharedController();
	const clocks = makeClocks(options.clockSources);
	const loop: LoopMonitor = options.callersServer?.loop ?? startLoopMonitor({steady: clocks.steady, signal: controller.signal});
	const state: GatewayState = makeState(options, platform, {
		ledger, incarnation: randomUUID(), clocks, loop, stopSignal: controller.signal, metrics, startedAt: clocks.steady(),
	});
	loop.onStall = stalledMs => {
		metrics.loopStallSeconds.observe(stalledMs / 1000);
		options.log.write('state', 'loop_stalled', {stalledMs: Math.round(stalledMs), activeCalls: state.activeCalls});
	};

	state.registry.onConnected = incarnation => {
		recordPathSuccess(state, incarnation);
	};

	reportUnfinishedAnswers(state);
	reportClients(state);
	ledger.countOpened = () => state.registry.openConnections;
	clearParts(state);
	const {signal} = controller;
	// Each component waits on the signal, some of them several times.
	setMaxListeners(maxSignalListeners, signal);
	collectProcessMetrics(metrics);
	const listener = await listenForCallers(state, options.callersServer);
	const readyServer = await listenForReadinessChecks(state);
	const metricsServer = listenForMetrics(state);
	const orderPlanner = makeOrderPlanner(state);
	const components: {leaderTask?: LeaderTask; sharedState?: SharedStateOptions; peerQuerier?: PeerQuerier} = {};
	const isPaused = (): boolean => components.sharedState === undefined ? state.settings.instance.firstStart : isServedByPeers(components.sharedState);
	const getMaxRetryDelayMs = (): number => getMaxRetryPauseMs(components.sharedState?.getStoreRole() ?? initialStoreRole);
	const directory = followDirectory({
		gateway: state, platform, isPaused, getMaxRetryDelayMs, signal,
	});
	const datagrams = await (options.openDatagrams ?? openDatagrams)(state, signal);
	const gossip = startGossip({
		gateway: state, platform, datagrams, signal,
		getReportInput: members => ({leaseOffset: components.leaderTask?.getLeaseOffset() ?? -1, known: getStoreVersions({gateway: state, directory, members})}),
		onStoreVersions(known, address) {
			components.peerQuerier?.handleStoreVersions(known, address);
		},
	});
	startKeeperExchange({
		gateway: state, datagrams, self: gossip.self, signal,
	});
	startOriginExchange({gateway: state, datagrams, signal});
	components.leaderTask = startLeaderTask({
		gateway: state, platform, planOrders: orderPlanner.planOrders, planRollouts: makeRolloutPlanner(state).planRollouts, onCloudAnswer() {
			lastAnswerAt.set('cloud', performance.now());
		}, onOrderAccepted: orderPlanner.recordAccepted, onOrderRefused: orderPlanner.recordRefusal, isFulfilled: orderPlanner.isFulfilled, getStoreRole: gossip.getStoreRole, signal,
	});
	const sharedStateOptions: SharedStateOptions = {
		gateway: state, directory, onConfiguration: listener.applyLimits, getStoreRole: gossip.getStoreRole, members: gossip.members, signal,
	};
	components.sharedState = sharedStateOptions;
	void followConfiguration({
		gateway: state, platform, isPaused, getMaxRetryDelayMs, signal, onConfiguration: listener.applyLimits,
	});
	await listenForPeers(sharedStateOptions);
	components.peerQuerier = startPeerQueries(sharedStateOptions);
	void startPathProbes(state, signal);
	logFigures(state, storeCalls, signal);
	state.log.write('state', 'started', {incarnation: state.incarnation, listen: state.settings.listen, isFirstStart: state.settings.instance.firstStart});
	let drained: Promise<void> | undefined;
	return {
		state,
		async drain(requestedAt) {
			drained ??= drainGateway({
				gateway: state, listener, requestedAt, stopComponents() {
					controller.abort();
				},
			});
			return drained;
		},
		reload(settings) {
			state.settings = {...settings, listen: state.settings.listen, instance: state.settings.instance};
			clearParts(state);
			state.log.write('state', 'settings_taken', {bounds: settings.bounds, store: settings.store.address});
		},
		stop() {
			controller.abort();
			listener.closeAll();
			readyServer.close();
			readyServer.closeAllConnections();
			metricsServer?.close();
			metricsServer?.closeAllConnections();
		},
	};
};
