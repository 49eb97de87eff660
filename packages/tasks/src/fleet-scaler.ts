/**
 * Scales the fleet of one availability zone. The daemon that holds the zone's lease decides how many instances
 * run there, writes the decisions to the log as orders, and carries out only the orders that the log shows as valid.
 * A holder that was paused past its lease, or one of two daemons whose state shows them as the holder, therefore
 * cannot start or end instances without a valid order. An order whose reply was lost is sent again with the same token,
 * so it starts at most one instance.
 */
import {randomUUID} from 'node:crypto';
import {waitUntilOrAborted} from '@shallotpass/common/clock.js';
import {type CloudInstance, type CloudService, type StartReply} from '@shallotpass/common/cloud-service.js';
import {fleetStream} from '@shallotpass/common/constants.js';
import {type FleetRecord} from '@shallotpass/common/log-records.js';
import {type LogService} from '@shallotpass/common/log-service.js';
import {addMilliseconds, type Deadline, type LogOffset} from '@shallotpass/common/types.js';
import {applyFleetRecord, isLeaseFree, makeFleetState} from '@shallotpass/core/fleet/fleet-state.js';
import {recordRefusal} from '@shallotpass/core/fleet/record-refusal.js';
import {
	makeOfferKey, type FleetLease, type FleetOrder, type FleetState, type Offer, type FleetPlanner, type Refusal,
} from '@shallotpass/core/fleet/types.js';
import {type Environment} from './environment.js';

/** Current demand and capacity as observed by the lease holder. */
export type FleetDemand = {
	readonly offers: readonly Offer[];
	/** Slots of backend servers that were not started by an order. */
	readonly fixedSlots: number;
	/** Slots that the expected demand requires. */
	readonly demandSlots: number;
};

export type FleetTiming = {
	readonly roundIntervalMs: number;
	readonly leaseMs: number;
	/** A started instance that does not appear in the cloud's instance list within this time is considered gone. */
	readonly listingTimeoutMs: number;
	readonly firstRefusalWaitMs: number;
	/** Time between announcing that an instance will end and ending it. */
	readonly drainMs: number;
};

export type FleetScalerOptions = {
	readonly environment: Environment;
	readonly log: LogService;
	readonly cloud: CloudService;
	readonly plan: FleetPlanner;
	readonly availabilityZone: string;
	/** Identifies the daemon process, so that a restarted daemon does not inherit the lease. */
	readonly holder: string;
	/** Measures demand and capacity. The running cloud instances are passed in to distinguish them from other backend servers. */
	readonly measureDemand: (instances: readonly CloudInstance[]) => FleetDemand;
	readonly timing: FleetTiming;
	/** Notifies all daemons that a backend server takes no new calls and when it ends. Its calls finish or move before then. */
	readonly announceEnd: (instanceId: string, leavesAt: Deadline) => void;
};

export type FleetScaler = {
	/** Runs one round: reads the log, takes or renews the lease, plans, and carries out the orders. */
	readonly runRound: () => Promise<void>;
	readonly getState: () => FleetState;
	/** Whether this process holds the lease, according to the records read so far. */
	readonly isHolder: () => boolean;
};

const readBatchSize = 500;

export const defaultFleetTiming: FleetTiming = {
	roundIntervalMs: 2000, leaseMs: 15_000, listingTimeoutMs: 60_000, firstRefusalWaitMs: 10_000, drainMs: 30_000,
};

export const makeFleetScaler = (options: FleetScalerOptions): FleetScaler => {
	const {environment, log, cloud, plan, availabilityZone, holder, measureDemand, timing, announceEnd} = options;
	const {clock, signal, random} = environment;
	const logger = environment.makeLogger('fleet');
	/** When the cloud confirmed the start of an instance, by order token. */
	const startTimes = new Map<string, number>();
	/** When the instance of an order was last in the cloud's instance list, by order token. */
	const listedAt = new Map<string, number>();
	/** When announced instances end, by instance id. A new lease holder announces them again. */
	const endTimes = new Map<string, Deadline>();
	let state = makeFleetState();

	const readToEnd = async (): Promise<void> => {
		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- each read starts where the previous one ended
			const result = await log.read({
				stream: fleetStream, from: state.next, limit: readBatchSize, signal,
			});
			if (result.kind === 'trimmed') {
				state = {...state, next: result.earliest};
				continue;
			}

			for (const record of result.records) {
				state = applyFleetRecord(state, record);
			}

			if (result.records.length === 0) {
				state = {...state, next: Math.max(state.next, result.next) as LogOffset};
				return;
			}
		}
	};

	const appendRecord = async (record: FleetRecord): Promise<void> => {
		await log.append({stream: fleetStream, record, signal});
		await readToEnd();
	};

	const getOwnLease = (): FleetLease | undefined => {
		const lease = state.leases.get(availabilityZone);
		return lease?.holder === holder && clock.now() < lease.until ? lease : undefined;
	};

	const writeLease = async (fencing: LogOffset | undefined): Promise<void> => appendRecord({
		kind: 'lease', id: randomUUID(), availabilityZone, holder, until: clock.now() + timing.leaseMs, fencing,
	});

	/**
	 * Renews the lease, or takes it if it is free. Returns it only if this process held it before, so a new holder
	 * starts planning in the next round. Holders in other zones may take their leases in the same round, and
	 * a plan made without them would put all instances into one zone.
	 */
	const renewOrTakeLease = async (): Promise<FleetLease | undefined> => {
		const lease = getOwnLease();
		if (lease !== undefined) {
			if (lease.until - clock.now() < timing.leaseMs / 2) {
				await writeLease(lease.fencing);
			}

			return getOwnLease();
		}

		if (isLeaseFree(state, availabilityZone, clock.now())) {
			await writeLease(undefined);
		}

		return undefined;
	};

	const listOpenOrders = (running: ReadonlySet<string>): FleetOrder[] =>
		[...state.orders.values()].filter(order => !order.isClosed && !running.has(order.token));

	/**
	 * Whether the instance of an order that is not listed was started before and seems to be gone. A listing may lack instances that run.
	 * In this zone the cloud is asked for each of them, in others two rounds pass.
	 */
	const isInstanceGone = ({token, availabilityZone: orderZone}: FleetOrder): boolean => {
		const lastListed = listedAt.get(token);
		if (lastListed !== undefined) {
			return orderZone === availabilityZone || clock.now() - lastListed > 2 * timing.roundIntervalMs;
		}

		const startTime = startTimes.get(token);
		return startTime !== undefined && clock.now() - startTime > timing.listingTimeoutMs;
	};

	const writeOrders = async (lease: FleetLease, changes: {readonly starts?: readonly Offer[]; readonly closed?: readonly string[]; readonly refusals?: readonly Refusal[]}): Promise<void> => {
		const {starts = [], closed = [], refusals = []} = changes;
		if (starts.length + closed.length + refusals.length === 0) {
			return;
		}

		await appendRecord({
			kind: 'orders',
			id: randomUUID(),
			availabilityZone,
			fencing: lease.fencing,
			orders: starts.map(({machineClass, isReclaimable}) => ({token: randomUUID(), machineClass, isReclaimable})),
			closed: [...closed],
			refusals: [...refusals],
		});
	};

	const requestStart = async (order: FleetOrder): Promise<StartReply | 'unknown'> => {
		try {
			const reply = await cloud.start({...order, signal});
			if (reply === 'started') {
				startTimes.set(order.token, clock.now());
			}

			environment.metrics.fleetStarts.inc({reply});
			return reply;
		} catch (error) {
			// The instance may have started. The order stays open and is sent again with the same token.
			environment.metrics.fleetStarts.inc({reply: 'unknown'});
			logger.debug('start_unknown', {token: order.token, error});
			return 'unknown';
		}
	};

	/** Sends the zone's open orders to the cloud. Closes orders that the cloud refuses or whose instance has already ended. */
	const startOrderedInstances = async (lease: FleetLease, running: ReadonlySet<string>): Promise<void> => {
		const orders = listOpenOrders(running).filter(order => order.availabilityZone === availabilityZone && !isInstanceGone(order) && !startTimes.has(order.token));
		const results = await Promise.all(orders.map(async order => ({order, reply: await requestStart(order)})));
		const refused = results.filter(result => result.reply === 'refused').map(result => result.order);
		const refusals = new Map(refused.map(order => [makeOfferKey(order), recordRefusal({
			known: state.refusals.get(makeOfferKey(order)), offer: order, now: clock.now(), firstWaitMs: timing.firstRefusalWaitMs, random,
		})]));
		if (refused.length > 0) {
			logger.info('starts_refused', {offers: [...refusals.keys()]});
		}

		const ended = results.filter(result => result.reply === 'ended').map(result => result.order);
		await writeOrders(lease, {closed: [...refused, ...ended].map(order => order.token), refusals: [...refusals.values()]});
	};

	/** Ends instances whose order is closed, because they are no longer needed or were started by a holder whose lease had expired. */
	const endClosedInstances = async (instances: readonly CloudInstance[]): Promise<void> => {
		const unwanted = instances.filter(instance => instance.availabilityZone === availabilityZone && state.orders.get(instance.token)?.isClosed === true);
		await Promise.all(unwanted.map(async ({id}) => {
			const endTime = endTimes.get(id);
			if (endTime === undefined) {
				const at = addMilliseconds(clock.now(), timing.drainMs);
				endTimes.set(id, at);
				announceEnd(id, at);
				return;
			}

			if (clock.now() < endTime) {
				return;
			}

			try {
				await cloud.end(id, signal);
			} catch (error) {
				logger.debug('end_unknown', {instance: id, error});
			}
		}));
	};

	/**
	 * Closes the orders whose instances have ended: if they were listed before, the cloud confirms it, as a start with the same token starts no
	 * other instance. One that was never listed, and is still not listed after the timeout, counts as gone.
	 */
	const closeEndedOrders = async (lease: FleetLease, running: ReadonlySet<string>): Promise<void> => {
		const missing = listOpenOrders(running).filter(order => order.availabilityZone === availabilityZone && isInstanceGone(order));
		const neverListed = missing.filter(({token}) => !listedAt.has(token)).map(({token}) => token);
		const results = await Promise.all(missing.filter(({token}) => listedAt.has(token)).map(async order => ({token: order.token, reply: await requestStart(order)})));
		for (const {token} of results.filter(({reply}) => reply === 'started')) {
			listedAt.delete(token);
		}

		const ended = results.filter(({reply}) => reply === 'ended' || reply === 'refused').map(({token}) => token);
		await writeOrders(lease, {closed: [...neverListed, ...ended]});
	};

	const updateFleet = async (lease: FleetLease, instances: readonly CloudInstance[]): Promise<void> => {
		const wanted = instances.filter(instance => state.orders.get(instance.token)?.isClosed === false);
		const running = new Set(instances.map(instance => instance.token));
		for (const token of running) {
			listedAt.set(token, clock.now());
		}

		await closeEndedOrders(lease, running);
		const now = clock.now();
		const demand = measureDemand(instances);
		environment.metrics.fleetPlaces.set({what: 'needed'}, demand.demandSlots);
		environment.metrics.fleetPlaces.set({what: 'fixed'}, demand.fixedSlots);
		const {starts, ends} = plan({
			...demand,
			now,
			// A zone without a lease holder cannot start instances, so its offers are left out regardless of price.
			offers: demand.offers.filter(offer => !isLeaseFree(state, offer.availabilityZone, now)),
			instances: wanted,
			// An order whose instance is gone adds no capacity, even if an absent holder has not closed it yet.
			openOrders: listOpenOrders(running).filter(order => !isInstanceGone(order)),
			refusals: [...state.refusals.values()],
		});
		await writeOrders(lease, {
			starts: starts.filter(offer => offer.availabilityZone === availabilityZone),
			closed: ends.filter(instance => instance.availabilityZone === availabilityZone).map(instance => instance.token),
		});
		await startOrderedInstances(lease, running);
		await endClosedInstances(instances);
	};

	return {
		async runRound() {
			await readToEnd();
			const lease = await renewOrTakeLease();
			environment.metrics.fleetHolder.set(lease === undefined ? 0 : 1);
			if (lease === undefined) {
				return;
			}

			await updateFleet(lease, await cloud.list(signal));
		},
		getState: () => state,
		isHolder: () => getOwnLease() !== undefined,
	};
};

/**
 * Runs rounds until the daemon stops, as long as it is one of the zone's candidates for the fleet lease.
 * While the log or the cloud API is unreachable, running instances are kept.
 */
export const runFleetScaler = async (options: FleetScalerOptions, isCandidate: () => boolean): Promise<void> => {
	const {clock, signal, random, makeLogger} = options.environment;
	const logger = makeLogger('fleet');
	const scaler = makeFleetScaler(options);
	while (!signal.aborted) {
		/* eslint-disable no-await-in-loop -- rounds run one at a time */
		try {
			if (isCandidate()) {
				await scaler.runRound();
			}
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			logger.debug('round_failed', {error});
		}

		await waitUntilOrAborted(clock, addMilliseconds(clock.now(), options.timing.roundIntervalMs * (0.75 + (random() / 2))), signal);
		/* eslint-enable no-await-in-loop */
	}
};
