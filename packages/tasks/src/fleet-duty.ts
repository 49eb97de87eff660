/**
 * Fleet duty of one availability zone. Whoever has the zone's lease decides how many
 * instances run there, writes that to the log, and only what the log then shows to
 * count is carried out. So a holder that was paused past its lease, or two that both
 * think they have it, start and end nothing that the log did not order; and an order
 * whose reply was lost is sent again with its token, which starts one instance in all.
 */
import {randomUUID} from 'node:crypto';
import {waitQuietly} from '@shallotpass/common/clock.js';
import {type CloudInstance, type CloudService, type StartReply} from '@shallotpass/common/cloud-service.js';
import {fleetStream} from '@shallotpass/common/constants.js';
import {type FleetRecord} from '@shallotpass/common/log-records.js';
import {type LogService} from '@shallotpass/common/log-service.js';
import {addMilliseconds, type Deadline, type LogOffset} from '@shallotpass/common/types.js';
import {foldFleetRecord, isLeaseFree, makeFleetState} from '@shallotpass/core/fleet/fold-fleet.js';
import {noteRefusal} from '@shallotpass/core/fleet/note-refusal.js';
import {
	makeOfferKey, type FleetLease, type FleetOrder, type FleetState, type Offer, type PlanFleet, type Refusal,
} from '@shallotpass/core/fleet/types.js';
import {type Environment} from './environment.js';

/** What the holder sees of the work. */
export type FleetDemand = {
	readonly offers: readonly Offer[];
	readonly fixedPlaces: number;
	readonly demandPlaces: number;
};

export type FleetTiming = {
	readonly roundEveryMs: number;
	readonly leaseMs: number;
	/** An instance that was started and has not shown on the cloud's list for so long is gone. */
	readonly shownWithinMs: number;
	readonly firstRefusalWaitMs: number;
	/** From the announcement of an end to the end. */
	readonly drainMs: number;
};

export type FleetDutyOptions = {
	readonly environment: Environment;
	readonly log: LogService;
	readonly cloud: CloudService;
	readonly plan: PlanFleet;
	readonly availabilityZone: string;
	/** The process, not the instance: a restarted one has no lease. */
	readonly holder: string;
	/** Is given what the cloud says runs, to tell it from backend servers of other origin. */
	readonly observe: (instances: readonly CloudInstance[]) => FleetDemand;
	readonly timing: FleetTiming;
	/** Tells all daemons that nothing new may go to a backend server, and when it ends; what it runs is finished or moved by then. */
	readonly announceEnd: (instanceId: string, leavesAt: Deadline) => void;
};

export type FleetDuty = {
	/** One round: reads, takes or keeps the lease, decides, carries out. */
	readonly round: () => Promise<void>;
	readonly getState: () => FleetState;
	/** Whether this process has the duty, as far as it has read. */
	readonly isHolder: () => boolean;
};

const readLimit = 500;

export const defaultFleetTiming: FleetTiming = {
	roundEveryMs: 2000, leaseMs: 15_000, shownWithinMs: 60_000, firstRefusalWaitMs: 10_000, drainMs: 30_000,
};

export const makeFleetDuty = (options: FleetDutyOptions): FleetDuty => {
	const {environment, log, cloud, plan, availabilityZone, holder, observe, timing, announceEnd} = options;
	const {clock, signal, random} = environment;
	const logger = environment.makeLogger('fleet');
	/** When the cloud said that it started the instance of a token. */
	const startedAt = new Map<string, number>();
	/** Tokens whose instance was on the cloud's list. */
	const shown = new Set<string>();
	/** When instances that were announced to end do so. A holder that takes over announces them again. */
	const endsAt = new Map<string, Deadline>();
	let state = makeFleetState();

	const readToEnd = async (): Promise<void> => {
		for (;;) {
			// eslint-disable-next-line no-await-in-loop -- each reading starts where the last ended
			const reading = await log.read({
				stream: fleetStream, from: state.next, limit: readLimit, signal,
			});
			if (reading.kind === 'trimmed') {
				state = {...state, next: reading.earliest};
				continue;
			}

			for (const record of reading.records) {
				state = foldFleetRecord(state, record);
			}

			if (reading.records.length === 0) {
				state = {...state, next: Math.max(state.next, reading.next) as LogOffset};
				return;
			}
		}
	};

	const write = async (record: FleetRecord): Promise<void> => {
		await log.append({stream: fleetStream, record, signal});
		await readToEnd();
	};

	const getOwnLease = (): FleetLease | undefined => {
		const lease = state.leases.get(availabilityZone);
		return lease?.holder === holder && clock.now() < lease.until ? lease : undefined;
	};

	const writeLease = async (fencing: LogOffset | undefined): Promise<void> => write({
		kind: 'lease', id: randomUUID(), availabilityZone, holder, until: clock.now() + timing.leaseMs, fencing,
	});

	/**
	 * The lease, when it was had before and is kept. Whoever has just taken it decides in the
	 * next round: the other zones' holders may be taking theirs in this one, and a plan that
	 * does not know of them puts everything into one zone.
	 */
	const holdLease = async (): Promise<FleetLease | undefined> => {
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

	/** An instance that had started and is not there any more; its order is done with. */
	const isGone = ({token}: FleetOrder): boolean => {
		const since = startedAt.get(token);
		return shown.has(token) || (since !== undefined && clock.now() - since > timing.shownWithinMs);
	};

	const writeOrders = async (lease: FleetLease, change: {readonly starts?: readonly Offer[]; readonly closed?: readonly string[]; readonly refusals?: readonly Refusal[]}): Promise<void> => {
		const {starts = [], closed = [], refusals = []} = change;
		if (starts.length + closed.length + refusals.length === 0) {
			return;
		}

		await write({
			kind: 'orders',
			id: randomUUID(),
			availabilityZone,
			fencing: lease.fencing,
			orders: starts.map(({machineClass, isReclaimable}) => ({token: randomUUID(), machineClass, isReclaimable})),
			closed: [...closed],
			refusals: [...refusals],
		});
	};

	const tryStart = async (order: FleetOrder): Promise<StartReply | 'unknown'> => {
		try {
			const reply = await cloud.start({...order, signal});
			if (reply === 'started') {
				startedAt.set(order.token, clock.now());
			}

			environment.metrics.fleetStarts.inc({reply});
			return reply;
		} catch (error) {
			// It may have started; the order stays open and is sent again with its token.
			environment.metrics.fleetStarts.inc({reply: 'unknown'});
			logger.debug('start_unknown', {token: order.token, error});
			return 'unknown';
		}
	};

	/** Sends the open orders of this zone; those that the cloud refuses, or whose instance came and went, are closed. */
	const carryOutStarts = async (lease: FleetLease, running: ReadonlySet<string>): Promise<void> => {
		const orders = listOpenOrders(running).filter(order => order.availabilityZone === availabilityZone && !isGone(order) && !startedAt.has(order.token));
		const results = await Promise.all(orders.map(async order => ({order, reply: await tryStart(order)})));
		const refused = results.filter(result => result.reply === 'refused').map(result => result.order);
		const refusals = new Map(refused.map(order => [makeOfferKey(order), noteRefusal({
			known: state.refusals.get(makeOfferKey(order)), offer: order, now: clock.now(), firstWaitMs: timing.firstRefusalWaitMs, random,
		})]));
		if (refused.length > 0) {
			logger.info('starts_refused', {offers: [...refusals.keys()]});
		}

		const ended = results.filter(result => result.reply === 'ended').map(result => result.order);
		await writeOrders(lease, {closed: [...refused, ...ended].map(order => order.token), refusals: [...refusals.values()]});
	};

	/** Ends what runs for an order that is closed: not wanted any more, or started late by a holder that had lost its lease. */
	const carryOutEnds = async (instances: readonly CloudInstance[]): Promise<void> => {
		const unwanted = instances.filter(instance => instance.availabilityZone === availabilityZone && state.orders.get(instance.token)?.isClosed === true);
		await Promise.all(unwanted.map(async ({id}) => {
			const known = endsAt.get(id);
			if (known === undefined) {
				const at = addMilliseconds(clock.now(), timing.drainMs);
				endsAt.set(id, at);
				announceEnd(id, at);
				return;
			}

			if (clock.now() < known) {
				return;
			}

			try {
				await cloud.end(id, signal);
			} catch (error) {
				logger.debug('end_unknown', {instance: id, error});
			}
		}));
	};

	const decide = async (lease: FleetLease, instances: readonly CloudInstance[]): Promise<void> => {
		const wanted = instances.filter(instance => state.orders.get(instance.token)?.isClosed === false);
		const running = new Set(instances.map(instance => instance.token));
		for (const token of running) {
			shown.add(token);
		}

		const gone = listOpenOrders(running).filter(order => order.availabilityZone === availabilityZone && isGone(order));
		await writeOrders(lease, {closed: gone.map(order => order.token)});
		const now = clock.now();
		const demand = observe(instances);
		environment.metrics.fleetPlaces.set({what: 'needed'}, demand.demandPlaces);
		environment.metrics.fleetPlaces.set({what: 'fixed'}, demand.fixedPlaces);
		const {starts, ends} = plan({
			...demand,
			now,
			// A zone without a holder starts nothing, however cheap it is.
			offers: demand.offers.filter(offer => !isLeaseFree(state, offer.availabilityZone, now)),
			instances: wanted,
			// One whose instance came and went is no capacity, though a holder that is away has not closed it.
			openOrders: listOpenOrders(running).filter(order => !isGone(order)),
			refusals: [...state.refusals.values()],
		});
		await writeOrders(lease, {
			starts: starts.filter(offer => offer.availabilityZone === availabilityZone),
			closed: ends.filter(instance => instance.availabilityZone === availabilityZone).map(instance => instance.token),
		});
		await carryOutStarts(lease, running);
		await carryOutEnds(instances);
	};

	return {
		async round() {
			await readToEnd();
			const lease = await holdLease();
			environment.metrics.fleetHolder.set(lease === undefined ? 0 : 1);
			if (lease === undefined) {
				return;
			}

			await decide(lease, await cloud.list(signal));
		},
		getState: () => state,
		isHolder: () => getOwnLease() !== undefined,
	};
};

/** Does the duty until the daemon stops, while it is one of the zone's few candidates. While the log or the cloud is away, what runs is kept. */
export const runFleetDuty = async (options: FleetDutyOptions, isCandidate: () => boolean): Promise<void> => {
	const {clock, signal, random, makeLogger} = options.environment;
	const logger = makeLogger('fleet');
	const duty = makeFleetDuty(options);
	while (!signal.aborted) {
		/* eslint-disable no-await-in-loop -- one round after the other */
		try {
			if (isCandidate()) {
				await duty.round();
			}
		} catch (error) {
			if (signal.aborted) {
				return;
			}

			logger.debug('round_failed', {error});
		}

		await waitQuietly(clock, addMilliseconds(clock.now(), options.timing.roundEveryMs * (0.75 + (random() / 2))), signal);
		/* eslint-enable no-await-in-loop */
	}
};
