/** Wires the tasks of one daemon together. Several daemons can live in one process. */
import {setMaxListeners} from 'node:events';
import {systemClock, waitQuietly, type Clock} from '@shallotpass/common/clock.js';
import {configurationStream, keyMemoryMs} from '@shallotpass/common/constants.js';
import {type ConfigurationRecord} from '@shallotpass/common/log-records.js';
import {type Settings} from '@shallotpass/common/settings-schema.js';
import {addMilliseconds, type Deadline, noConfigurationVersion} from '@shallotpass/common/types.js';
import {startAdminListener} from '@shallotpass/admin/listener.js';
import {makeBackendConnections} from '@shallotpass/backends/backend-connections.js';
import {makeAdmissionGate} from '@shallotpass/callers/admission-gate.js';
import {startCallerListener} from '@shallotpass/callers/listener.js';
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
import {defaultFleetTiming, runFleetDuty} from '@shallotpass/tasks/fleet-duty.js';
import {followPlatform} from './follow-platform.js';
import {makePeerHandlers} from './make-peer-handlers.js';
import {makePeerNews, peerTimeoutMs} from './peer-news.js';
import {listOffers, makeObserveFleet} from './observe-fleet.js';
import {openPlatform} from './open-platform.js';

export type Daemon = {
	readonly callers: string;
	readonly admin: string;
	readonly peers: string;
	readonly environment: Environment;
	readonly isReady: () => boolean;
	/** Stops taking requests, lets what runs finish, then stops. */
	readonly drain: () => Promise<void>;
	/** Stops at once, as a crash does. */
	readonly stop: () => Promise<void>;
	/** Bytes of the peer links since the start. */
	readonly countPeerBytes: () => number;
	readonly listMembers: () => string[];
	readonly getVersion: (team: string) => number;
};

type DaemonOptions = {
	readonly settings: Settings;
	readonly clock?: Clock;
	readonly random?: () => number;
	/** First configuration of a daemon on its own. */
	readonly configurationText?: string;
	/** Address that peers are told, where it is not the listener's own. */
	readonly announcePeersAs?: string;
	/** Told when an operator asks for a drain. */
	readonly onDrainAsked?: () => void;
};

/** After a drain begins, requests are still taken for so long: the balancer needs it to notice. */
const drainNoticeMs = 1000;

/** Daemons of an availability zone that follow the log; more would only make the log busier. */
const readersPerZone = 3;

/** Peers asked by a daemon that cannot judge the configuration alone. */
const mostAsked = 5;

const hoursToMs = 60 * 60 * 1000;

/** The key memory is promised to callers; a log that forgets earlier would break the promise silently. */
const checkRetention = (settings: Settings): void => {
	const retentionMs = (settings.platform?.logRetentionHours ?? Number.POSITIVE_INFINITY) * hoursToMs;
	if (retentionMs <= keyMemoryMs) {
		throw new RangeError(`platform.log_retention_hours: expected more than the key memory of ${keyMemoryMs / hoursToMs} hours, found ${settings.platform!.logRetentionHours}`);
	}
};

/** Peers reach this instance at the address of the settings, at the port that the listener got. */
const announceAddress = (settings: Settings, listening: string): string => {
	const {address} = settings.instance;
	const port = listening.slice(listening.lastIndexOf(':') + 1);
	return address.includes(':') ? `[${address}]:${port}` : `${address}:${port}`;
};

/** As measured on two deployments (docs/design/fleet.md); an instance stays an hour at least, for its cache is worth more than a short rest. */
const fleetPlan = {
	headroom: 1.3, peakReserve: 6, minPlaces: 1, minRuntimeMs: 3_600_000,
};

export const startDaemon = async (options: DaemonOptions): Promise<Daemon> => {
	const {settings, clock = systemClock, random = Math.random} = options;
	checkRetention(settings);
	const stopping = new AbortController();
	// Every long poll of the daemon listens for its end.
	setMaxListeners(0, stopping.signal);
	const metrics = makeMetrics();
	const environment: Environment = {
		settings,
		clock,
		random,
		metrics,
		makeLogger: task => makeLogger(task, settings.instance.id),
		signal: stopping.signal,
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
		selfId: settings.instance.id, localAddress: settings.instance.address, keys: settings.peers.keys, now: clock.now, signal: stopping.signal,
	});
	if (platform.isEmbedded) {
		logger.warn('embedded_platform', {meaning: 'the log is in this process; for trying out only'});
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

	const peerNews = makePeerNews({
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
			const offer = await client.ask(address, 'offer', {}, addMilliseconds(clock.now(), peerTimeoutMs));
			// Numbers of the wire become offsets and versions again.
			return offer as unknown as ConfigurationOffer;
		},
		listPeerAddresses: () => [...settings.peers.seeds, ...peerNews.pickPeers(mostAsked).map(member => member.address)],
		isZoneReader: () => listZoneReaders().includes(settings.instance.id),
		getMemberIndex: () => membership.listReachable().indexOf(settings.instance.id),
		announceVersions() {
			void peerNews.spreadVersions(versions => {
				configuration.receiveVersions(versions.address, versions.versions);
			});
		},
	});
	configuration.onActivated(inForce => {
		registry.applyConfigurations(inForce);
	});

	const claims = makeClaimService({
		environment, log: platform.log, client, membership,
	});
	const suspects = makeSuspectRegistry({
		environment,
		registry,
		broadcast(news, lifted) {
			void peerNews.tellSuspects(news, lifted);
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
	const callerListener = await startCallerListener({
		listen: splitAddress(settings.listen.callers),
		services: {
			environment, configuration, membership, registry, claims, suspects, connections, gate, tracing, epoch,
		},
	});

	let isDraining = false;
	let draining: Promise<void> | undefined;
	const isReady = (): boolean => !isDraining && (configuration.hasReadLog() || configuration.getActiveConfigurations().teams.size > 0);

	const adminListener = await startAdminListener({
		listen: splitAddress(settings.listen.admin),
		isReady,
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
				if (options.onDrainAsked === undefined) {
					void drain();
				} else {
					options.onDrainAsked();
				}
			},
			askPeerStatuses: peerNews.askStatuses,
			countInFlight: callerListener.countInFlight,
			countWaiting: gate.countWaiting,
		},
	});

	let stopped: Promise<void> | undefined;
	const stopOnce = async (): Promise<void> => {
		stopping.abort();
		await Promise.all([callerListener.close(), adminListener.close(), peerServer.close(), connections.close(), platform.close()]);
		await tracing.shutdown();
	};

	const stop = async (): Promise<void> => {
		stopped ??= stopOnce();
		return stopped;
	};

	const drainOnce = async (): Promise<void> => {
		isDraining = true;
		logger.info('drain_began', {inFlight: callerListener.countInFlight()});
		membership.announceLeaving();
		await waitQuietly(clock, addMilliseconds(clock.now(), drainNoticeMs), stopping.signal);
		callerListener.startDraining();
		await callerListener.waitUntilIdle();
		await claims.waitForPendingOutcomes();
		logger.info('drain_ended');
		await stop();
	};

	const drain = async (): Promise<void> => {
		draining ??= drainOnce();
		return draining;
	};

	const isModelService = (serviceId: string): boolean => [...configuration.getActiveConfigurations().teams.values()].some(({team, configuration: file}) =>
		file.service.some(service => service.kind === 'model' && makeServiceId(team, service.name) === serviceId));

	membership.start(options.announcePeersAs ?? announceAddress(settings, peerServer.address));
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
		plan: makeFleetPlanner(fleetPlan),
		availabilityZone: settings.instance.availabilityZone,
		holder: `${settings.instance.id} ${epoch}`,
		timing: defaultFleetTiming,
		announceEnd(instanceId: string, leavesAt: Deadline) {
			registry.applyLeavingNotice(instanceId, leavesAt);
			void peerNews.tellLeaving(instanceId, leavesAt);
		},
		measureDemand: makeObserveFleet({
			clock,
			getInForce: configuration.getActiveConfigurations,
			listEngines: () => registry.list().filter(view => view.services.some(serviceId => isModelService(serviceId))),
			countWaiting: () => gate.countWaiting() * membership.listReachable().length,
		}),
	};
	if (platform.cloud !== undefined) {
		const hasOffers = (): boolean => listOffers(configuration.getActiveConfigurations()).length > 0;
		void runFleetDuty({...fleetOptions, cloud: platform.cloud}, () => !isDraining && hasOffers() && listZoneReaders().includes(settings.instance.id));
	}

	followPlatform({
		environment,
		platform,
		registry,
		membership,
		onOwnReclaim() {
			options.onDrainAsked?.();
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
