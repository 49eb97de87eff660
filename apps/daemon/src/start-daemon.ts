/** Creates and connects the tasks of one daemon. Several daemons can run in one process. */
import {setMaxListeners} from 'node:events';
import {getHeapStatistics} from 'node:v8';
import {makeClientLedger} from '@shallotpass/common/client-limits/client-ledger.js';
import {makeHeldBytes} from '@shallotpass/common/client-limits/held-bytes.js';
import {systemClock, waitUntilOrAborted, type Clock} from '@shallotpass/common/clock.js';
import {configurationStream, idempotencyKeyRetentionMs} from '@shallotpass/common/constants.js';
import {type ConfigurationRecord} from '@shallotpass/common/log-records.js';
import {type Settings} from '@shallotpass/common/settings-schema.js';
import {addMilliseconds, type Deadline, noConfigurationVersion} from '@shallotpass/common/types.js';
import {startAdminListener} from '@shallotpass/admin/listener.js';
import {makeBackendConnections} from '@shallotpass/backends/backend-connections.js';
import {makeAdmissionGate} from '@shallotpass/callers/admission-gate.js';
import {type CallerListener, startCallerListener} from '@shallotpass/callers/listener.js';
import {type ConfigurationOffer} from '@shallotpass/core/configuration/types.js';
import {makeFleetPlanner} from '@shallotpass/core/fleet/plan-fleet.js';
import {rankByRendezvous} from '@shallotpass/core/routing/rank-by-rendezvous.js';
import {makePeerClient} from '@shallotpass/peers/peer-client.js';
import {splitAddress} from '@shallotpass/peers/peer-connection.js';
import {startPeerServer} from '@shallotpass/peers/peer-server.js';
import {makeBackendRegistry} from '@shallotpass/tasks/backend-registry.js';
import {makeClaimService} from '@shallotpass/tasks/claim-service.js';
import {startConfigurationTask} from '@shallotpass/tasks/configuration-task.js';
import {type Environment} from '@shallotpass/tasks/environment.js';
import {makeServiceId} from '@shallotpass/tasks/active-configurations.js';
import {runLoadReports} from '@shallotpass/tasks/load-reports.js';
import {startMembershipTask} from '@shallotpass/tasks/membership-task.js';
import {makeSuspectRegistry} from '@shallotpass/tasks/suspect-registry.js';
import {makeLogger} from '@shallotpass/telemetry/logger.js';
import {makeMetrics} from '@shallotpass/telemetry/metrics.js';
import {startTracing} from '@shallotpass/telemetry/tracing.js';
import {defaultFleetTiming, runFleetScaler} from '@shallotpass/tasks/fleet-scaler.js';
import {followPlatform} from './follow-platform.js';
import {makePeerHandlers} from './make-peer-handlers.js';
import {makePeerMessenger, peerTimeoutMs} from './peer-messenger.js';
import {listOffers, makeDemandMeter} from './demand-meter.js';
import {openPlatform} from './open-platform.js';

export type Daemon = {
	readonly callers: string;
	readonly admin: string;
	readonly peers: string;
	readonly environment: Environment;
	readonly isReady: () => boolean;
	/** Refuses new requests after a delay, waits until the running ones have finished, then stops. */
	readonly drain: () => Promise<void>;
	/** Stops immediately without draining, as in a crash. */
	readonly stop: () => Promise<void>;
	/** Number of bytes sent to and received from peers since the start. */
	readonly countPeerBytes: () => number;
	readonly listMembers: () => string[];
	readonly getVersion: (team: string) => number;
};

type DaemonOptions = {
	readonly settings: Settings;
	readonly clock?: Clock;
	readonly random?: () => number;
	/** Initial configuration of a daemon without a platform. */
	readonly configurationText?: string;
	/** Address that is announced to peers, if it differs from the listener's. */
	readonly announcedPeersAddress?: string;
	/** Called when an operator requests a drain or the cloud reclaims the instance. */
	readonly onDrainRequested?: () => void;
};

/** Time after the start of a drain in which requests are still accepted, so that the load balancer can notice the failing readiness checks. */
const drainDelayMs = 1000;

/** Number of daemons per availability zone that follow the log. More would only add load on the log. */
const readersPerZone = 3;

/** Maximum number of random peers that are asked for their accepted configurations, in addition to the seeds. */
const maxQueriedPeers = 5;

/** Part of the JavaScript heap that clients may take. */
const clientHeapShare = 0.4;

const msPerHour = 60 * 60 * 1000;

/** Throws unless the log keeps records longer than the key memory that callers are promised. A shorter retention would break this promise without an error. */
const checkRetention = (settings: Settings): void => {
	const retentionMs = (settings.platform?.logRetentionHours ?? Number.POSITIVE_INFINITY) * msPerHour;
	if (retentionMs <= idempotencyKeyRetentionMs) {
		throw new RangeError(`platform.log_retention_hours: expected more than the key memory of ${idempotencyKeyRetentionMs / msPerHour} hours, found ${settings.platform!.logRetentionHours}`);
	}
};

/** Combines the instance's address from the settings with the port that the listener is bound to. */
const makeAnnouncedAddress = (settings: Settings, boundAddress: string): string => {
	const {address} = settings.instance;
	const port = boundAddress.slice(boundAddress.lastIndexOf(':') + 1);
	return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
};

/** An instance runs for at least an hour, because its cache is worth more than what a short stop saves. */
const fleetPlannerOptions = {
	headroom: 1.3, peakReserve: 6, minSlots: 1, minRuntimeMs: 3_600_000,
};

export const startDaemon = async (options: DaemonOptions): Promise<Daemon> => {
	const {settings, clock = systemClock, random = Math.random} = options;
	checkRetention(settings);
	const stopController = new AbortController();
	// Every long poll adds a listener to the signal, which would exceed the default limit.
	setMaxListeners(0, stopController.signal);
	const metrics = makeMetrics();
	const environment: Environment = {
		settings,
		clock,
		random,
		metrics,
		makeLogger: task => makeLogger(task, settings.instance.id),
		signal: stopController.signal,
	};
	const logger = environment.makeLogger('daemon');
	const epoch = clock.now();
	const platform = openPlatform(settings, clock);
	const connections = makeBackendConnections();
	const tracing = startTracing({
		instance: settings.instance.id,
		otlp: settings.tracing.otlp,
		sampleRatio: settings.tracing.sampleRatio,
		logger: environment.makeLogger('trace'),
	});
	const client = makePeerClient({
		selfId: settings.instance.id, localAddress: settings.instance.address, keys: settings.peers.keys, now: clock.now, signal: stopController.signal,
	});
	if (platform.isEmbedded) {
		logger.warn('embedded_platform', {meaning: 'the log is kept in the memory of this process and is lost when it stops; use this for testing only'});
	}

	const registry = makeBackendRegistry({environment});
	const membership = startMembershipTask({
		environment,
		client,
		epoch,
		makeVersionDigest: () => configuration.makeVersionDigest(),
		receiveVersions(address, versions) {
			configuration.receiveVersions(address, versions);
		},
	});

	const peerMessenger = makePeerMessenger({
		environment, client, membership, getVersions: () => configuration.makeVersionDigest(),
	});

	const listZoneMembers = (): string[] => [
		settings.instance.id,
		...membership.listPeers()
			.filter(member => member.availabilityZone === settings.instance.availabilityZone && member.status !== 'suspect')
			.map(member => member.id),
	];
	const listZoneReaders = (): string[] => rankByRendezvous('configuration readers', listZoneMembers()).slice(0, readersPerZone);

	const configuration = startConfigurationTask({
		environment,
		log: platform.log,
		async fetchOffer(address) {
			const offer = await client.call(address, 'offer', {}, addMilliseconds(clock.now(), peerTimeoutMs));
			// The wire format has plain numbers for offsets and versions.
			return offer as unknown as ConfigurationOffer;
		},
		listPeerAddresses: () => [...settings.peers.seeds, ...peerMessenger.pickPeers(maxQueriedPeers).map(member => member.address)],
		isZoneReader: () => listZoneReaders().includes(settings.instance.id),
		getMemberIndex: () => membership.listReachable().indexOf(settings.instance.id),
		announceVersions() {
			void peerMessenger.announceVersions(versions => {
				configuration.receiveVersions(versions.address, versions.versions);
			});
		},
	});
	configuration.onActivated(configurations => {
		registry.applyConfigurations(configurations);
	});

	const claims = makeClaimService({
		environment, log: platform.log, client, membership,
	});
	const suspects = makeSuspectRegistry({
		environment,
		registry,
		broadcast(changedSuspects, lifted) {
			void peerMessenger.sendSuspects(changedSuspects, lifted);
		},
	});
	const gate = makeAdmissionGate({
		environment,
		getCapacity: registry.countSlots,
		countMembers: () => membership.listReachable().length,
	});

	const peerServer = await startPeerServer({
		listen: settings.listen.peers,
		selfId: settings.instance.id,
		keys: settings.peers.keys,
		handlers: makePeerHandlers({
			environment, configuration, membership, claims, suspects, registry, tracing,
		}),
		onRefused(reason, remote) {
			metrics.peerRefusals.inc();
			environment.makeLogger('peers').warn('peer_refused', {reason, remote});
		},
	});
	const components: {callerListener?: CallerListener} = {};
	let isDraining = false;
	let drainPromise: Promise<void> | undefined;
	const isReady = (): boolean => !isDraining && (configuration.hasReadLog() || configuration.getActiveConfigurations().teams.size > 0);

	const ledger = makeClientLedger({
		maxBytes: settings.limits.maxHeldBytes,
		maxObjectBytes: getHeapStatistics().heap_size_limit * clientHeapShare,
		maxDescriptors: Number.POSITIVE_INFINITY,
		maxConnections: {
			// The listener for callers refuses further ones itself.
			callers: Number.POSITIVE_INFINITY, operators: settings.limits.maxAdminConnections, ready: 0, metrics: 0, peers: 0,
		},
	});
	const heldBytes = makeHeldBytes(settings.limits.maxHeldBytes, ledger);
	const adminListener = await startAdminListener({
		listen: splitAddress(settings.listen.admin),
		isReady,
		ledger,
		services: {
			environment,
			configuration,
			membership,
			registry,
			suspects,
			log: platform.log,
			isEmbedded: platform.isEmbedded,
			isDraining: () => isDraining,
			drain() {
				if (options.onDrainRequested === undefined) {
					void drain();
				} else {
					options.onDrainRequested();
				}
			},
			fetchPeerStatuses: peerMessenger.fetchStatuses,
			countInFlight: () => components.callerListener?.countInFlight() ?? 0,
			countWaiting: gate.countWaiting,
		},
	});

	// The last listener, as its calls would be lost if another one could not be opened.
	const callerListener = await startCallerListener({
		listen: splitAddress(settings.listen.callers),
		services: {
			environment, ledger, heldBytes, configuration, membership, registry, claims, suspects, connections, gate, tracing, epoch,
		},
	});
	components.callerListener = callerListener;

	let stopPromise: Promise<void> | undefined;
	const stopOnce = async (): Promise<void> => {
		stopController.abort();
		await Promise.all([callerListener.close(), adminListener.close(), peerServer.close(), connections.close(), platform.close()]);
		await tracing.shutdown();
	};

	const stop = async (): Promise<void> => {
		stopPromise ??= stopOnce();
		return stopPromise;
	};

	const drainOnce = async (): Promise<void> => {
		isDraining = true;
		logger.info('drain_began', {inFlight: callerListener.countInFlight()});
		membership.announceLeaving();
		await waitUntilOrAborted(clock, addMilliseconds(clock.now(), drainDelayMs), stopController.signal);
		callerListener.startDraining();
		await callerListener.waitUntilIdle();
		await claims.waitForPendingOutcomes();
		logger.info('drain_ended');
		await stop();
	};

	const drain = async (): Promise<void> => {
		drainPromise ??= drainOnce();
		return drainPromise;
	};

	const isModelService = (serviceId: string): boolean => [...configuration.getActiveConfigurations().teams.values()].some(({team, configuration: teamConfiguration}) =>
		teamConfiguration.service.some(service => service.kind === 'model' && makeServiceId(team, service.name) === serviceId));

	membership.start(options.announcedPeersAddress ?? makeAnnouncedAddress(settings, peerServer.address));
	void runLoadReports({
		environment,
		registry,
		dispatcher: connections.shared,
		isEngine: serviceIds => serviceIds.some(serviceId => isModelService(serviceId)),
		listZoneMembers,
	});

	const fleetOptions = {
		environment,
		log: platform.log,
		plan: makeFleetPlanner(fleetPlannerOptions),
		availabilityZone: settings.instance.availabilityZone,
		holder: `${settings.instance.id} ${epoch}`,
		timing: defaultFleetTiming,
		announceEnd(instanceId: string, leavesAt: Deadline) {
			registry.applyLeavingNotice(instanceId, leavesAt);
			void peerMessenger.sendLeavingNotice(instanceId, leavesAt);
		},
		measureDemand: makeDemandMeter({
			clock,
			getActiveConfigurations: configuration.getActiveConfigurations,
			listEngines: () => registry.list().filter(view => view.services.some(serviceId => isModelService(serviceId))),
			countWaiting: () => gate.countWaiting() * membership.listReachable().length,
		}),
	};
	if (platform.cloud !== undefined) {
		const hasOffers = (): boolean => listOffers(configuration.getActiveConfigurations()).length > 0;
		void runFleetScaler({...fleetOptions, cloud: platform.cloud}, () => !isDraining && hasOffers() && listZoneReaders().includes(settings.instance.id));
	}

	followPlatform({
		environment,
		platform,
		registry,
		membership,
		onSelfReclaimed() {
			options.onDrainRequested?.();
			void drain();
		},
	});

	if (options.configurationText !== undefined) {
		const record: ConfigurationRecord = {
			kind: 'configuration', id: `start-${epoch}`, team: 'default', base: noConfigurationVersion, toml: options.configurationText, by: 'start', at: epoch,
		};
		await platform.log.append({stream: configurationStream, record});
	}

	return {
		callers: callerListener.address,
		admin: adminListener.address,
		peers: peerServer.address,
		environment,
		isReady,
		drain,
		stop,
		countPeerBytes: () => client.bytes.sent + client.bytes.received + peerServer.bytes.sent + peerServer.bytes.received,
		listMembers: membership.listReachable,
		getVersion: team => configuration.getActiveConfigurations().teams.get(team)?.version ?? noConfigurationVersion,
	};
};
